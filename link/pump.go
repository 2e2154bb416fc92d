package link

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by a listener or dialer that was closed.
var ErrClosed = errors.New("link: closed")

// AcceptQueue passes streams from the goroutines that serve connections to callers of Accept.
type AcceptQueue struct {
	streams chan Stream
	closed  chan struct{}
	once    sync.Once
}

// acceptBacklog is how many accepted streams may wait for Accept.
const acceptBacklog = 256

// NewAcceptQueue returns an open queue.
func NewAcceptQueue() *AcceptQueue {
	return &AcceptQueue{streams: make(chan Stream, acceptBacklog), closed: make(chan struct{})}
}

// Put queues s. It reports false if the queue is closed; the caller then has to reset s.
func (q *AcceptQueue) Put(s Stream) bool {
	select {
	case q.streams <- s:
		return true
	case <-q.closed:
		return false
	}
}

// Accept returns the next stream.
func (q *AcceptQueue) Accept(ctx context.Context) (Stream, error) {
	select {
	case s := <-q.streams:
		return s, nil
	case <-q.closed:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close makes Put and Accept fail. It reports whether this call closed the queue.
func (q *AcceptQueue) Close() (first bool) {
	q.once.Do(func() { close(q.closed); first = true })
	return first
}
