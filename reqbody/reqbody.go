// Package reqbody holds the bodies of requests at a node within a memory budget. The start of a body is
// held, so that it can be sent again; the rest of a large one passes through once.
package reqbody

import (
	"errors"
	"io"
	"sync"
)

const (
	// MinHeld is how many bytes of every body may be held, regardless of the budget.
	MinHeld = 32 << 10
	// MaxHeld is the largest body, in bytes, that is held as a whole.
	MaxHeld = 256 << 10
	// holdStep is how many bytes are taken from the budget at once.
	holdStep = 64 << 10
)

// Budget bounds the bytes that the bodies at a node hold beyond MinHeld each. It is safe for concurrent
// use.
type Budget struct {
	mu   sync.Mutex
	left int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{left: bytes} }

func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *Budget) put(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// Body is the body of a request. The zero value is an empty body. It is not safe for concurrent use.
type Body struct {
	held   []byte
	rest   io.Reader // nil: the whole body is held
	length int64     // -1: not known before the end
	opened bool

	budget *Budget
	taken  int64 // from the budget
}

// Read reads a body of the given length, or -1 if it is not known, until it is complete or enough of it
// is held. Release gives the memory back.
func Read(r io.Reader, length int64, budget *Budget) (*Body, error) {
	b := &Body{length: length, budget: budget}
	buf := make([]byte, 0, min(MinHeld, max(length, 512)))
	if length < 0 {
		buf = make([]byte, 0, 4<<10)
	}
	for {
		if len(buf) == cap(buf) {
			if len(buf) == int(length) {
				break
			}
			var ok bool
			if buf, ok = b.grow(buf); !ok {
				b.held, b.rest = buf, r
				return b, nil
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			b.Release()
			return nil, err
		}
	}
	b.held, b.length = buf, int64(len(buf))
	return b, nil
}

// grow returns buf with more capacity. ok is false if no more may be held.
func (b *Body) grow(buf []byte) (_ []byte, ok bool) {
	size := int64(cap(buf))
	next := min(2*size, MinHeld)
	if size >= MinHeld {
		if size+holdStep > MaxHeld+MinHeld || !b.budget.take(holdStep) {
			return buf, false
		}
		b.taken += holdStep
		next = size + holdStep
	}
	out := make([]byte, len(buf), next)
	copy(out, buf)
	return out, true
}

// Release gives the memory of the body back to the budget. The body must not be used afterwards.
func (b *Body) Release() {
	if b.taken > 0 {
		b.budget.put(b.taken)
	}
	b.taken, b.held = 0, nil
}

// Held returns the start of the body that is held; if Whole, all of it.
func (b *Body) Held() []byte { return b.held }

// Whole reports whether the whole body is held.
func (b *Body) Whole() bool { return b.rest == nil }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (b *Body) Length() int64 { return b.length }

// Replayable reports whether the body can be sent from its start.
func (b *Body) Replayable() bool { return b.rest == nil || !b.opened }

// Open returns a reader of the whole body. If the body is not held as a whole, it can be opened once.
func (b *Body) Open() io.Reader {
	if !b.Replayable() {
		panic("reqbody: a body that is not held was opened twice")
	}
	b.opened = true
	held := &heldReader{b: b.held}
	if b.rest == nil {
		return held
	}
	return io.MultiReader(held, b.rest)
}

type heldReader struct{ b []byte }

// Read implements io.Reader.
func (h *heldReader) Read(p []byte) (int, error) {
	if len(h.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, h.b)
	h.b = h.b[n:]
	return n, nil
}
