package dispatch

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/wire"
)

// StopCheck decides whether a node that is leaving may take a request.
type StopCheck struct {
	// StopAt is when the node ends at the latest, and Deadline when the request does.
	StopAt, Deadline time.Time
	// Longest is a time within which nearly all runs of the request's kind end; 0: not known.
	Longest    time.Duration
	Idempotent bool
	// SameNode says that the request came in at this node, whose end ends it wherever it runs.
	SameNode bool
}

// Allows reports whether the request may be sent to the node at now. A run that is still at work when the node ends is
// lost, and an estimate of its length does not rule that out. So a request must have its deadline before, or be able
// to run once more elsewhere.
func (c StopCheck) Allows(now time.Time) bool {
	endsInTime := !now.Add(c.Longest).After(c.StopAt)
	switch {
	case c.SameNode:
		return endsInTime
	case !c.Deadline.After(c.StopAt):
		return true
	case !c.Idempotent, c.Longest == 0:
		return false
	}
	return endsInTime && !c.StopAt.Add(c.Longest).After(c.Deadline)
}

// BeginLeave declines attempts from now on that might still run at stopAt, when the node ends. Other attempts run: a
// stop takes seconds, in which the upstreams of this VM would otherwise have no work.
func (d *Dispatcher) BeginLeave(stopAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leavingSince, d.stopAt = time.Now(), stopAt
}

// outlivesStop reports whether a run of an attempt that begins now might still be at work when the node ends.
func (d *Dispatcher) outlivesStop(head *wire.AttemptHead, deadline time.Time) bool {
	d.mu.RLock()
	stopAt := d.stopAt
	d.mu.RUnlock()
	if stopAt.IsZero() {
		return false
	}
	c := StopCheck{StopAt: stopAt, Deadline: deadline, Longest: d.kinds.longest(head.Kind), Idempotent: head.Idempotent, SameNode: head.SameNode}
	return !c.Allows(time.Now())
}

// Leave refuses new attempts from now on and waits until the active ones have ended or ctx is done.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { d.active.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		d.logCutAttempts()
		return ctx.Err()
	}
}

// logCutAttempts logs the requests that are still running when the time for a stop is over.
func (d *Dispatcher) logCutAttempts() {
	d.mu.RLock()
	leavingSince := d.leavingSince
	d.mu.RUnlock()
	now := time.Now()
	d.running.mu.RLock()
	defer d.running.mu.RUnlock()
	for id, r := range d.running.runs {
		d.log.Warn("running attempt is cut by the stop of the node", "request", id, "service", r.Service, "kind", r.Kind,
			"running_ms", now.Sub(r.began).Milliseconds(), "leaving_ms", now.Sub(leavingSince).Milliseconds(), "left_ms", r.deadline.Sub(now).Milliseconds())
	}
}
