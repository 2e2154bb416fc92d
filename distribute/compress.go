package distribute

import (
	"fmt"

	"github.com/godwithub/godwithub/wire"
)

// minCompressSize is the size, in bytes, from which an encoded delta is compressed. A whole
// configuration shrinks to about a tenth, which matters on slow links when many nodes start at once;
// compressing a single change gains nothing.
const minCompressSize = 2 << 10

// encodedDelta is an encoded resource.Delta as it is sent, possibly compressed.
type encodedDelta struct {
	data       []byte
	compressed bool
}

// newEncodedDelta returns an encoded delta, compressed from minCompressSize on.
func newEncodedDelta(encoded []byte) (encodedDelta, error) {
	if len(encoded) < minCompressSize {
		return encodedDelta{data: encoded}, nil
	}
	b, err := wire.Compress(encoded)
	if err != nil {
		return encodedDelta{}, fmt.Errorf("distribute: %w", err)
	}
	return encodedDelta{b, true}, nil
}

// decompress returns the encoded delta without compression. It returns wire.ErrTooLarge if a
// compressed delta expands to more than limit bytes.
func (e encodedDelta) decompress(limit int) ([]byte, error) {
	if !e.compressed {
		return e.data, nil
	}
	b, err := wire.Decompress(e.data, limit)
	if err != nil {
		return nil, fmt.Errorf("distribute: %w", err)
	}
	return b, nil
}
