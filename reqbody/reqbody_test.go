package reqbody

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a body that is altered, cut or repeated by the way it is held, and against memory that
// is not given back to the budget.
func TestBodyIsWhatWasRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 3*MinHeld), rapid.IntRange(MaxHeld-10, MaxHeld+4*holdStep)).Draw(t, "size")
		want := make([]byte, size)
		r := rand.New(rand.NewPCG(uint64(size), 1))
		for i := range want {
			want[i] = byte(r.Uint32())
		}
		length := int64(size)
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		start := rapid.SampledFrom([]int64{0, holdStep, 32 * holdStep}).Draw(t, "budget")
		budget := NewBudget(start)
		var source io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "short reads") {
			source = iotest.HalfReader(source)
		}
		b, err := Read(source, length, budget)
		assert.NilError(t, err)
		assert.Assert(t, len(b.Held()) <= MinHeld+int(start) && len(b.Held()) <= MaxHeld+MinHeld)
		if b.Whole() {
			assert.Equal(t, b.Length(), int64(size))
		} else {
			assert.Equal(t, b.Length(), length)
		}
		for opens := 0; opens < 2 && b.Replayable(); opens++ {
			got, err := io.ReadAll(b.Open())
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
		}
		assert.Equal(t, b.Replayable(), b.Whole())
		b.Release()
		assert.Equal(t, budget.left, start)
	})
}

// Guards against a body whose reading failed and that counts as complete or keeps its memory.
func TestFailedReadGivesMemoryBack(t *testing.T) {
	budget := NewBudget(4 * holdStep)
	broken := errors.New("connection reset")
	_, err := Read(io.MultiReader(bytes.NewReader(make([]byte, MinHeld+holdStep)), iotest.ErrReader(broken)), -1, budget)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, budget.left, int64(4*holdStep))
}
