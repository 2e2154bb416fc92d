package dispatch

import (
	"sync"
	"time"
)

const (
	// callFailureWindow is how long after the failure of its call an upstream's own failure is put
	// down to it. Upstreams answer as soon as a call that they need has failed; the rest allows for a
	// busy VM.
	callFailureWindow = 20 * time.Millisecond
	// rememberedCalls is how many failed requests of the VM are remembered.
	rememberedCalls = 16
)

// failedCalls remembers the latest requests that came in at this VM and failed. Upstreams make their
// calls through the node of their VM, so those that fall into a run may be calls of that run.
type failedCalls struct {
	mu    sync.Mutex
	calls [rememberedCalls]failedCall
	next  int
}

type failedCall struct{ began, ended time.Time }

func (f *failedCalls) record(began, ended time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[f.next] = failedCall{began, ended}
	f.next = (f.next + 1) % rememberedCalls
}

// explains reports whether a call that failed may be the cause of a run that began at start and has
// failed at end.
func (f *failedCalls) explains(start, end time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if !c.began.Before(start) && !c.ended.After(end) && end.Sub(c.ended) < callFailureWindow {
			return true
		}
	}
	return false
}

// RecordFailedRequest records that a request which came in at this VM began and failed at these times.
// If it is a call of an upstream, the failure of the run that made it is no evidence against that
// upstream.
func (d *Dispatcher) RecordFailedRequest(began, ended time.Time) { d.failedCalls.record(began, ended) }
