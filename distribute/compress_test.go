package distribute

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/wire"
)

// Guards against deltas that are corrupted by compression, and against small messages that decompress
// to more than the memory of a node.
func TestCompressedDelta(t *testing.T) {
	small, large := []byte("one change"), bytes.Repeat([]byte("route 1 of service shop; "), 1000)
	for _, b := range [][]byte{small, large} {
		e, err := newEncodedDelta(b)
		assert.NilError(t, err)
		got, err := e.decompress(len(b))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, b))
	}
	e, err := newEncodedDelta(large)
	assert.NilError(t, err)
	assert.Assert(t, len(e.data) < len(large)/10, "%d of %d bytes", len(e.data), len(large))
	_, err = e.decompress(len(large) - 1)
	assert.ErrorIs(t, err, wire.ErrTooLarge)
	_, err = encodedDelta{e.data[:len(e.data)/2], true}.decompress(len(large))
	assert.ErrorContains(t, err, "decompress")
}
