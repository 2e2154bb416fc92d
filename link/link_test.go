package link

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against frames that are altered by encoding and decoding, and against a decoder that
// crashes on malformed input or allocates without bound.
func FuzzFrames(f *testing.F) {
	encoded, _ := AppendFrame(nil, 7, []byte("payload"))
	f.Add(encoded)
	f.Add(encoded[:6])
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewFrameReader(bytes.NewReader(b))
		var reencoded []byte
		for {
			frame, err := r.ReadFrame()
			if err != nil {
				break
			}
			reencoded, err = AppendFrame(reencoded, frame.Type, frame.Payload)
			assert.NilError(t, err)
		}
		assert.Assert(t, bytes.HasPrefix(b, reencoded))
	})
}

// Guards against a truncated frame that is taken for the regular end of a stream.
func TestTruncatedFrameIsNotEOF(t *testing.T) {
	encoded, err := AppendFrame(nil, 7, []byte("payload"))
	assert.NilError(t, err)
	for n := 1; n < len(encoded); n++ {
		_, err := NewFrameReader(bytes.NewReader(encoded[:n])).ReadFrame()
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "cut at %d: %v", n, err)
	}
	_, err = AppendFrame(nil, 7, make([]byte, MaxPayload+1))
	assert.ErrorIs(t, err, ErrFrameTooLarge)
}
