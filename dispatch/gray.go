package dispatch

import (
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// probeInterval is the time between requests that an upstream gets while it
// fails its work, to find out whether it has recovered. Only idempotent ones
// serve as probes: if it still fails they run elsewhere, within the retry
// budget.
const probeInterval = time.Second

// place is an attempt that waits for a slot.
type place struct {
	granted chan outcome.Ended
	// movable says that the attempt is refused if the upstream begins to fail:
	// it has not run, and another upstream can take it.
	movable bool
}

// refusesForHealth reports whether an attempt is to go elsewhere since the
// upstream fails its work. u.mu is held.
func (u *upstream) refusesForHealth(now time.Time, head *wire.AttemptHead) bool {
	if head.Insist || !u.failing(now) {
		return false
	}
	if head.Idempotent && now.Sub(u.probedAt) >= probeInterval {
		u.probedAt = now
		return false
	}
	return true
}

// failing reports whether the upstream fails its work. u.mu is held.
func (u *upstream) failing(now time.Time) bool { return u.gray.Failing(now) >= grayThreshold }

// learn takes in how the upstream dealt with an attempt. Attempts that wait at
// one that has begun to fail are sent elsewhere.
func (u *upstream) learn(now time.Time, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gray.Observe(now, failed)
	if !failed {
		return
	}
	u.probedAt = now
	if !u.failing(now) {
		return
	}
	for id, p := range u.waiting {
		if p.movable {
			u.queue.Remove(id)
			u.wake(id, outcome.HasNotRun(outcome.ReasonUnhealthy))
		}
	}
}

// evidence reports whether the result of an attempt tells of the health of its
// upstream, and whether it failed. A timeout tells only if the attempt had the
// time that its kind is meant to take.
func (d *Dispatcher) evidence(head *wire.AttemptHead, r Result, latency time.Duration) (failed, tells bool) {
	switch r {
	case ResultOK:
		return false, true
	case ResultError, ResultBroken:
		return true, true
	case ResultTimeout:
		k := d.kind(head)
		return true, k != nil && latency >= time.Duration(k.LatencyObjectiveMs)*time.Millisecond
	}
	return false, false
}
