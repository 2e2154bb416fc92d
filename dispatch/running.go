package dispatch

import (
	"maps"
	"sync"
	"time"

	"github.com/godwithub/godwithub/wire"
)

// RunningRequest is a request that an upstream of this VM runs. Its methods are safe for concurrent
// use.
type RunningRequest struct {
	Service, Kind string
	level         int
	customerLevel bool
	repeat        bool
	began         time.Time
	deadline      time.Time

	mu        sync.Mutex
	calls     map[string]int // by service
	completed int
	failed    bool   // a call has failed
	noRoom    string // service that has refused a call for want of room
}

// RecordCall records that the run makes a call to a service.
func (r *RunningRequest) RecordCall(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[string]int{}
	}
	r.calls[service]++
}

// RecordCompletedCall records that a call of the run was answered without an error.
func (r *RunningRequest) RecordCompletedCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed++
}

// RecordFailedCall records that a call of the run has failed. The failure of the run is then no evidence
// against its upstream.
func (r *RunningRequest) RecordFailedCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// hasFailedCall reports whether a call of the run has failed.
func (r *RunningRequest) hasFailedCall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// RecordNoRoom records that a call of the run was refused for want of room at a service.
func (r *RunningRequest) RecordNoRoom(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noRoom = service
}

// NoRoom returns a service that has refused a call of the run for want of room, or "".
func (r *RunningRequest) NoRoom() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.noRoom
}

// Calls returns the number of calls that the run has made, by service.
func (r *RunningRequest) Calls() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.calls)
}

// AsParent returns what the dispatcher of a call of the run is told.
func (r *RunningRequest) AsParent(now time.Time) *wire.Parent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.Parent{
		Level:          r.level,
		CustomerLevel:  r.customerLevel,
		RemainingMs:    r.deadline.Sub(now).Milliseconds(),
		CompletedCalls: r.completed,
		SpentMs:        now.Sub(r.began).Milliseconds(),
		Repeat:         r.repeat,
	}
}

// runningRequests holds the requests that the upstreams of this VM run, by request ID. Two attempts at
// a request may run at once; calls then count for the later one.
type runningRequests struct {
	mu   sync.RWMutex
	runs map[string]*RunningRequest
}

func (t *runningRequests) begin(id string, r *RunningRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[string]*RunningRequest{}
	}
	t.runs[id] = r
}

func (t *runningRequests) end(id string, r *RunningRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[id] == r {
		delete(t.runs, id)
	}
}

// RunningRequest returns the request with an ID if an upstream of this VM runs it, or nil.
func (d *Dispatcher) RunningRequest(id string) *RunningRequest {
	d.running.mu.RLock()
	defer d.running.mu.RUnlock()
	return d.running.runs[id]
}
