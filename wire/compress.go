package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is returned for compressed data that is larger than the limit when decompressed.
var ErrTooLarge = errors.New("wire: decompressed data exceeds the limit")

// Compress returns b compressed with DEFLATE (RFC 1951), for parts of messages that repeat names
// and addresses.
func Compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("wire: compress: %w", err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("wire: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("wire: compress: %w", err)
	}
	return bytes.Clone(out.Bytes()), nil
}

// Decompress decompresses the output of Compress. It returns ErrTooLarge if the result has more than
// limit bytes.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("wire: decompress: %w", err)
	case len(b) > limit:
		return nil, ErrTooLarge
	}
	return b, nil
}
