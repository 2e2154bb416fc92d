package dispatch

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// An upstream gets single requests while it fails its work, to find out whether
// it has recovered. Only those serve as probes that can be run elsewhere if it
// still fails. After one that succeeds the next follows at once.
const (
	// minProbeInterval follows the first failure. The interval grows by
	// probeBackoff with each probe that fails, up to maxProbeInterval. It stays
	// where upstreams can be ejected: the probes are the evidence for a permit,
	// and end with the ejection. Idempotent requests come at their own pace, and an
	// upstream without any work for 2 s counts as taken out, which a service's floor
	// allows for a part of its upstreams only.
	minProbeInterval = time.Second
	maxProbeInterval = 1250 * time.Millisecond
	probeBackoff     = 1.4
)

// place is an attempt that waits for a slot.
type place struct {
	granted chan outcome.Ended
	// movable says that the attempt is refused if the upstream begins to fail:
	// it has not run, and another upstream can take it.
	movable bool
}

// decline tells why an attempt is not taken that could be served elsewhere:
// the upstream has gone or drains, fails its work, or has no free slot. It looks
// at the head alone, so that the body of a declined attempt need not be sent.
func (d *Dispatcher) decline(head *wire.AttemptHead) (wire.AnswerEnd, bool) {
	d.mu.RLock()
	u, leaving := d.upstreams[fleet.UpstreamID(head.Upstream)], d.leaving
	d.mu.RUnlock()
	switch {
	case leaving:
		return ended(nil, outcome.HasNotRun(outcome.ReasonDraining)), true
	case u == nil:
		return ended(nil, outcome.HasNotRun(outcome.ReasonUpstreamGone)), true
	}
	reason := u.decline(time.Now(), head)
	return ended(u, outcome.HasNotRun(reason)), reason != outcome.ReasonNone
}

// decline is the part of Dispatcher.decline that looks at the upstream. An
// attempt that serves as a probe insists from then on.
func (u *upstream) decline(now time.Time, head *wire.AttemptHead) outcome.Reason {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.draining:
		return outcome.ReasonDraining
	case u.closed:
		return outcome.ReasonUpstreamGone
	case head.Insist:
		return outcome.ReasonNone
	case u.failing(now) && !head.LastRun && !now.Before(u.nextProbe):
		u.putOffProbe(now)
		head.Insist = true
		return outcome.ReasonNone
	case u.failing(now), head.LastRun && u.gray.Doubtful(now):
		return outcome.ReasonUnhealthy
	case u.inUse >= u.slots:
		return outcome.ReasonBusy
	}
	return outcome.ReasonNone
}

// failing reports whether the upstream fails its work. u.mu is held.
func (u *upstream) failing(now time.Time) bool { return u.gray.Failing(now) >= health.GrayFailing }

// learn takes in how an upstream dealt with an attempt that was sent at start.
func (d *Dispatcher) learn(u *upstream, start, now time.Time, failed bool) {
	if changed, failing := u.learn(start, now, failed); changed && d.cfg.Failing != nil {
		d.cfg.Failing(u.id, failing)
	}
}

// learn is the part of Dispatcher.learn that concerns the upstream. It returns
// whether the upstream fails now, and whether that differs from what was told last:
// a failing phase may also end by the time that has passed, without an observation.
// Attempts that wait at one that has begun to fail are sent elsewhere.
func (u *upstream) learn(start, now time.Time, failed bool) (changed, failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.failing(now)
	u.gray.Observe(start, failed)
	failing = u.failing(now)
	changed = failing != u.toldFailing
	u.toldFailing = failing
	switch {
	case !failed:
		u.nextProbe = now
		return changed, failing
	case !before:
		u.probeInterval = minProbeInterval
		u.nextProbe = now.Add(minProbeInterval)
	case !now.Before(u.nextProbe):
		u.putOffProbe(now)
	}
	if now.Sub(start) > survivalTime {
		u.slowFailureAt = now
	}
	if !failing {
		return changed, failing
	}
	for id, p := range u.waiting {
		if p.movable {
			u.queue.Remove(id)
			u.wake(id, outcome.HasNotRun(outcome.ReasonUnhealthy))
		}
	}
	return changed, failing
}

// putOffProbe sets the time of the next probe and lengthens the interval. u.mu
// is held.
func (u *upstream) putOffProbe(now time.Time) {
	u.nextProbe = now.Add(u.probeInterval)
	if u.ejectable {
		return
	}
	u.probeInterval = min(time.Duration(probeBackoff*float64(u.probeInterval)), maxProbeInterval)
}

const (
	// survivalTime is how long a request has to run without failing to count as
	// a success: upstreams that fail their work do so at once. The evidence is
	// then younger by the rest of the run.
	survivalTime = 50 * time.Millisecond
	// slowFailureMemory is how long survival counts for nothing after a failure
	// that came later than survivalTime.
	slowFailureMemory = 20 * time.Second
)

// watchSurvival takes it for a success if a request that was sent at start has
// not failed after survivalTime. The returned function ends the watch.
func (u *upstream) watchSurvival(start time.Time) (stop func() bool) {
	return time.AfterFunc(survivalTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if time.Since(u.slowFailureAt) > slowFailureMemory {
			u.gray.Observe(start, false)
		}
	}).Stop
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
