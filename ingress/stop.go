package ingress

import (
	"context"
	"sync"
	"time"
)

// inFlight counts the requests in flight. The zero value counts none.
type inFlight struct {
	mu       sync.RWMutex
	closed   bool
	stopAt   time.Time // set once it is closed
	requests sync.WaitGroup
}

// begin counts a request until end is called. It counts none once it is closed, so that a wait ends however many
// requests arrive.
func (f *inFlight) begin() (end func()) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.closed {
		return func() {}
	}
	f.requests.Add(1)
	return f.requests.Done
}

func (f *inFlight) close(stopAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed, f.stopAt = true, stopAt
}

// endsInTime reports whether a request that arrives now has its deadline before the stop ends.
func (f *inFlight) endsInTime(deadline time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return !f.closed || !deadline.After(f.stopAt)
}

func (f *inFlight) isClosed() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.closed
}

// RefuseNew refuses the requests that arrive from now on, except for those calls of requests which upstreams of this VM
// run that have their deadlines before stopAt, when the stop ends. Leave does not wait for such calls: the dispatcher waits
// for the runs that make them.
func (in *Ingress) RefuseNew(stopAt time.Time) { in.inFlight.close(stopAt) }

// Leave waits until all requests in flight have been answered, or ctx ends. New requests are refused from RefuseNew on,
// or without Config.LameDuck from when the view says that the node is leaving.
func (in *Ingress) Leave(ctx context.Context) error {
	done := make(chan struct{})
	go func() { in.inFlight.requests.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Interrupt ends all requests in flight at once. Those that no dispatcher may have run are answered
// with "not run", the others with "unknown". If the process exited without it, their callers would
// get no answer.
func (in *Ingress) Interrupt() { in.interrupt() }
