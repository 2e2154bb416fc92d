package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// EndsInTime reports whether a request with the given deadline may be sent to a node that ends at stopAt at the latest. A
// run that is still at work then is lost, and no estimate of its length rules that out. sameNode says that the request
// came in at that node, whose end ends it wherever it runs.
func EndsInTime(deadline, stopAt time.Time, sameNode bool) bool {
	return sameNode || !deadline.After(stopAt)
}

// BeginLeave declines attempts from now on that might still run at stopAt, when the node ends. Other attempts run: a
// stop takes seconds, in which the upstreams of this VM would otherwise have no work.
func (d *Dispatcher) BeginLeave(stopAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leavingSince, d.stopAt = time.Now(), stopAt
}

// outlivesStop reports whether a run of an attempt might still be at work when the node ends.
func (d *Dispatcher) outlivesStop(head *wire.AttemptHead, deadline time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.stopAt.IsZero() && !EndsInTime(deadline, d.stopAt, head.SameNode)
}

// errInterrupted is the cause of a context that Interrupt has ended.
var errInterrupted = errors.New("dispatch: interrupted by the stop of the node")

// Interrupt refuses the attempts that wait for a slot, and ends those that may run again and whose upstream has not
// begun to answer, so that their ingresses can still send them elsewhere. It is called shortly before the process ends.
// The others run on until then.
func (d *Dispatcher) Interrupt() {
	d.interrupt()
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, u := range d.upstreams {
		u.mu.Lock()
		u.refuseQueue(outcome.ReasonDraining)
		u.mu.Unlock()
	}
}

// exchangeContext returns the context of an exchange with an upstream, and the function that releases it. Until
// headReceived is called, Interrupt ends the context of a request that may run again.
func (d *Dispatcher) exchangeContext(a *attempt, head *wire.AttemptHead) (ctx context.Context, headReceived func() bool, release func()) {
	if !head.Idempotent {
		// A request that must not run twice is not canceled when its caller disconnects: its outcome
		// would stay unknown.
		deadline, _ := a.ctx.Deadline()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		return ctx, func() bool { return true }, cancel
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	headReceived = func() bool { return true }
	if head.Repeatable {
		headReceived = context.AfterFunc(d.interruptCtx, func() { cancel(errInterrupted) })
	}
	return ctx, headReceived, func() { headReceived(); cancel(nil) }
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
