package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge reports compressed data that expands beyond its limit.
var ErrTooLarge = errors.New("wire: data expands beyond its limit")

// Compress returns b compressed as RFC 1951 says, for parts of messages that repeat
// names and addresses.
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

// Expand reverses Compress. It returns ErrTooLarge for what expands to more than
// limit bytes.
func Expand(compressed []byte, limit int) ([]byte, error) {
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
