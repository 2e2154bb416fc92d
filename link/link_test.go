package link

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against frames that change on their way, and against a decoder that
// crashes or allocates without bound on malformed input.
func FuzzFrames(f *testing.F) {
	whole, _ := AppendFrame(nil, 7, []byte("payload"))
	f.Add(whole)
	f.Add(whole[:6])
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewFrameReader(bytes.NewReader(b))
		var again []byte
		for {
			frame, err := r.ReadFrame()
			if err != nil {
				break
			}
			again, err = AppendFrame(again, frame.Type, frame.Payload)
			assert.NilError(t, err)
		}
		assert.Assert(t, bytes.HasPrefix(b, again))
	})
}

// Guards against a cut frame that passes for the end of a stream.
func TestCutFrameIsNoEnd(t *testing.T) {
	whole, err := AppendFrame(nil, 7, []byte("payload"))
	assert.NilError(t, err)
	for n := 1; n < len(whole); n++ {
		_, err := NewFrameReader(bytes.NewReader(whole[:n])).ReadFrame()
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "cut at %d: %v", n, err)
	}
	_, err = AppendFrame(nil, 7, make([]byte, MaxPayload+1))
	assert.ErrorIs(t, err, ErrFrameTooLarge)
}
