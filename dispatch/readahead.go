package dispatch

import (
	"errors"
	"io"
	"sync"
)

const (
	// readAheadBytes bounds the memory in which a node holds answers that their ingresses have not taken
	// yet, beyond one chunk of each.
	readAheadBytes = 12 << 20
	// chunkSize is the unit of that memory, in bytes.
	chunkSize = 16 << 10
	// minReadAhead is the size of an answer from which on it is read ahead. A smaller one fits the buffers
	// of a connection.
	minReadAhead = maxKeptBody
)

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// readAheadBudget shares memory among the answers that are read ahead. It is safe for concurrent use.
type readAheadBudget struct {
	mu   sync.Mutex
	free int // bytes
}

// take takes a chunk for an answer that holds held bytes. An answer may hold as much as is free, so that a few
// large ones leave room for others (the dynamic threshold of shared packet buffers).
func (b *readAheadBudget) take(held int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free < chunkSize || held > b.free {
		return false
	}
	b.free -= chunkSize
	return true
}

// put returns a chunk to the budget.
func (b *readAheadBudget) put() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += chunkSize
}

// held returns how many of the budget's bytes are in use.
func (b *readAheadBudget) held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(readAheadBytes - b.free)
}

// chunk is a part of an answer.
type chunk struct {
	buf      *[chunkSize]byte
	n        int  // bytes in use
	budgeted bool // the chunk was taken from the budget
}

// readAhead writes an answer to its stream at the pace of the ingress, while the answer is read from the
// upstream as fast as the budget allows.
type readAhead struct {
	writer *answerWriter
	budget *readAheadBudget
	done   chan struct{} // closed when everything was written or the stream has failed

	mu      sync.Mutex
	changed sync.Cond
	queue   []chunk // the first one may be being written
	writing bool
	closed  bool // nothing is added any more
	failed  bool // the stream has failed
}

func newReadAhead(w *answerWriter, budget *readAheadBudget) *readAhead {
	r := &readAhead{writer: w, budget: budget, done: make(chan struct{})}
	r.changed.L = &r.mu
	go r.run()
	return r
}

// add queues a part of the answer. It waits for memory, and returns false if the stream has failed.
func (r *readAhead) add(b []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(b) > 0 && !r.failed {
		last := len(r.queue) - 1
		if last < 0 || last == 0 && r.writing || r.queue[last].n == chunkSize {
			if !r.grow() {
				r.changed.Wait()
			}
			continue
		}
		c := &r.queue[last]
		n := copy(c.buf[c.n:], b)
		c.n += n
		b = b[n:]
		r.changed.Broadcast()
	}
	return !r.failed
}

// grow adds an empty chunk to the queue. An answer may always hold one chunk. r.mu is held.
func (r *readAhead) grow() bool {
	budgeted := len(r.queue) > 0
	if budgeted && !r.budget.take(len(r.queue)*chunkSize) {
		return false
	}
	r.queue = append(r.queue, chunk{buf: chunkPool.Get().(*[chunkSize]byte), budgeted: budgeted})
	return true
}

// finish waits until everything was written or the stream has failed.
func (r *readAhead) finish() {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	<-r.done
}

// run writes the chunks in order.
func (r *readAhead) run() {
	defer close(r.done)
	for {
		b, ok := r.next()
		if !ok {
			return
		}
		r.written(r.writer.sendBody(b))
	}
}

// next waits for a part of the answer. It returns false after the last one.
func (r *readAhead) next() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) == 0 || r.queue[0].n == 0 {
		if r.closed {
			return nil, false
		}
		r.changed.Wait()
	}
	r.writing = true
	return r.queue[0].buf[:r.queue[0].n], true
}

// written releases the first chunk, or all of them after an error.
func (r *readAhead) written(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing, r.failed = false, err != nil
	n := 1
	if r.failed {
		n = len(r.queue)
	}
	for i := range r.queue[:n] {
		r.release(&r.queue[i])
	}
	r.queue = append(r.queue[:0], r.queue[n:]...)
	r.changed.Broadcast()
}

// release returns the memory of a chunk. r.mu is held.
func (r *readAhead) release(c *chunk) {
	chunkPool.Put(c.buf)
	if c.budgeted {
		r.budget.put()
	}
	*c = chunk{}
}

// copyAhead copies the rest of a body through r.
func copyAhead(w *answerWriter, r *readAhead, body io.Reader) error {
	buf := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(buf)
	for {
		n, err := body.Read(buf[:])
		w.attempt.keepBody(buf[:n])
		if !r.add(buf[:n]) && !w.attempt.keepsAnswer() {
			return errNoReader
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
