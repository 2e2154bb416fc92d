package distribute

import (
	"fmt"

	"github.com/godwithub/godwithub/wire"
)

// minCompressed is the size of an encoded delta, in bytes, from which it is
// compressed. A whole configuration shrinks to about a tenth, which counts on
// narrow links when many nodes start at once; a single change gains nothing.
const minCompressed = 2 << 10

// encodedDelta is a delta as it travels.
type encodedDelta struct {
	data       []byte
	compressed bool
}

// newEncodedDelta returns an encoded delta, compressed if that is worth it.
func newEncodedDelta(encoded []byte) (encodedDelta, error) {
	if len(encoded) < minCompressed {
		return encodedDelta{data: encoded}, nil
	}
	b, err := wire.Compress(encoded)
	if err != nil {
		return encodedDelta{}, fmt.Errorf("distribute: %w", err)
	}
	return encodedDelta{b, true}, nil
}

// plain returns the encoded delta without compression. It returns wire.ErrTooLarge
// for one over limit bytes.
func (e encodedDelta) plain(limit int) ([]byte, error) {
	if !e.compressed {
		return e.data, nil
	}
	b, err := wire.Expand(e.data, limit)
	if err != nil {
		return nil, fmt.Errorf("distribute: %w", err)
	}
	return b, nil
}
