package dispatch

import (
	"sync"
	"time"
)

const (
	// callFailureWindow is the longest time between the failure of a request that is not recognized as a call
	// and a failure of a run that is attributed to it. Upstreams answer soon after a call that they need has
	// failed; most of the window allows for a busy VM.
	callFailureWindow = 20 * time.Millisecond
	// rememberedCalls is how many failed requests of the VM that are not recognized as calls are remembered.
	rememberedCalls = 16
)

// failedCalls remembers the latest requests that came in at this VM, failed, and are not recognized as calls of
// a run. Upstreams make their calls through the node of their VM, so those that begin and end during a run may be
// calls of that run.
type failedCalls struct {
	window time.Duration // how long a failure may precede the end of the run that it explains

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
		if !c.began.Before(start) && !c.ended.After(end) && end.Sub(c.ended) < f.window {
			return true
		}
	}
	return false
}

// RecordFailedRequest records the start and end of a request that came in at this VM, has failed and is not
// recognized as a call. If an upstream made it nevertheless, the failure of its run is no evidence against that
// upstream. Failures of recognized calls are recorded with RunningRequest.RecordFailedCall.
func (d *Dispatcher) RecordFailedRequest(began, ended time.Time) { d.failedCalls.record(began, ended) }

// failedByCall reports whether the failure of a run that has ended is attributed to a call of it.
func (d *Dispatcher) failedByCall(r *RunningRequest, end time.Time) bool {
	return r.hasFailedCall() || d.failedCalls.explains(r.began, end)
}
