package distribute

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
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
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return encodedDelta{}, fmt.Errorf("distribute: compress: %w", err)
	}
	if _, err := w.Write(encoded); err != nil {
		return encodedDelta{}, fmt.Errorf("distribute: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return encodedDelta{}, fmt.Errorf("distribute: compress: %w", err)
	}
	return encodedDelta{bytes.Clone(b.Bytes()), true}, nil
}

// plain returns the encoded delta without compression. It returns errTooLarge
// for one over limit bytes.
func (e encodedDelta) plain(limit int) ([]byte, error) {
	if !e.compressed {
		return e.data, nil
	}
	r := flate.NewReader(bytes.NewReader(e.data))
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("distribute: decompress: %w", err)
	case len(b) > limit:
		return nil, errTooLarge
	}
	return b, nil
}
