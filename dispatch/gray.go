package dispatch

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// While an upstream is failing, it receives single requests as probes, to detect its recovery. Only
// requests that can be retried elsewhere serve as probes. After a probe that succeeds, the next
// one follows at once.
const (
	// minProbeInterval is the interval after the first failure. It is multiplied by probeBackoff
	// with each probe, up to maxProbeInterval. It stays at the minimum where upstreams can be
	// ejected: there the probes are the evidence for an ejection permit, and end with the ejection.
	// The maximum is well below 2 s because probes have to wait for idempotent requests to arrive,
	// and an upstream without any work for 2 s counts as taken out, which a service's floor allows
	// for only a part of its upstreams.
	minProbeInterval = time.Second
	maxProbeInterval = 1250 * time.Millisecond
	probeBackoff     = 1.4
	// overdueProbe is how long after its time a probe may also be a request that has no retry left because the
	// retry budget is used up. Otherwise an upstream that has recovered would get nothing for as long as
	// that lasts.
	overdueProbe = 250 * time.Millisecond
)

// waiter is an attempt that waits for a slot.
type waiter struct {
	// result receives slotGranted, or how the attempt ended without a slot.
	result chan outcome.Ended
	// reroutable says that the attempt is refused if the upstream begins to fail: it has not run,
	// so another upstream can run it. It is not set for an attempt that insisted on an upstream that
	// was failing already.
	reroutable bool
}

// decline reports whether to decline an attempt that could be served elsewhere, and why: the
// upstream is gone or draining, is failing, has no free slot, or already gets as many requests as it
// accepts. It needs only the head, so the body of a declined attempt need not be sent.
func (d *Dispatcher) decline(head *wire.AttemptHead, deadline time.Time) (wire.AnswerEnd, bool) {
	d.mu.RLock()
	u, leaving := d.upstreams[fleet.UpstreamID(head.Upstream)], d.leaving
	d.mu.RUnlock()
	switch {
	case leaving, d.outlivesStop(head, deadline):
		return newAnswerEnd(nil, outcome.HasNotRun(outcome.ReasonDraining)), true
	case u == nil:
		return newAnswerEnd(nil, outcome.HasNotRun(outcome.ReasonUpstreamGone)), true
	}
	d.adoptNotice(u, head.Notice)
	reason := u.decline(time.Now(), head)
	return newAnswerEnd(u, outcome.HasNotRun(reason)), reason != outcome.ReasonNone
}

// decline returns why the upstream declines an attempt, or ReasonNone. It sets Insist in the head
// of an attempt that serves as a probe.
func (u *upstream) decline(now time.Time, head *wire.AttemptHead) outcome.Reason {
	u.mu.Lock()
	defer u.mu.Unlock()
	reason := u.declineReason(now, head)
	u.countRetries(now, head, reason == outcome.ReasonNone)
	return reason
}

func (u *upstream) declineReason(now time.Time, head *wire.AttemptHead) outcome.Reason {
	limited := u.queue.RateWait(now) > 0
	switch {
	case u.draining:
		return outcome.ReasonDraining
	case u.closed:
		return outcome.ReasonUpstreamGone
	case !u.withinRetryBudget(now, head):
		return outcome.ReasonRetryBudget
	case head.Insist:
		return outcome.ReasonNone
	case u.failing(now) && u.wantsProbe(now, head) && !limited:
		u.scheduleNextProbe(now)
		head.Insist = true
		return outcome.ReasonNone
	case u.failing(now), head.LastRun && u.gray.Doubtful(now):
		return outcome.ReasonUnhealthy
	case u.inUse >= u.slots:
		return outcome.ReasonBusy
	case limited:
		return outcome.ReasonLimited
	}
	return outcome.ReasonNone
}

// wantsProbe reports whether an attempt may be the next probe of a failing upstream. u.mu is held.
func (u *upstream) wantsProbe(now time.Time, head *wire.AttemptHead) bool {
	if head.LastRun && (!head.Idempotent || head.MayHaveRun) {
		return false
	}
	at := u.nextProbe
	if head.LastRun {
		at = at.Add(overdueProbe)
	}
	return !now.Before(at)
}

// failing reports whether the upstream is failing its requests. u.mu is held.
func (u *upstream) failing(now time.Time) bool { return u.gray.Failing(now) }

// recordResult records whether an attempt that was sent to u at start has failed.
func (d *Dispatcher) recordResult(u *upstream, start, now time.Time, failed bool) {
	changed, failing := u.recordResult(start, now, failed)
	if changed {
		d.reportFailing(u, failing)
	}
	if failing {
		d.awaitRecovery(u, now)
	}
}

func (d *Dispatcher) reportFailing(u *upstream, failing bool) {
	if d.cfg.Failing != nil {
		d.cfg.Failing(u.id, u.startMs, failing)
	}
}

// awaitRecovery reports the end of a failing phase that ends without further evidence. A fleet that was
// told that the upstream fails sends it hardly any work, so evidence might never come.
func (d *Dispatcher) awaitRecovery(u *upstream, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.recoveryTimer != nil {
		u.recoveryTimer.Stop()
	}
	u.recoveryTimer = time.AfterFunc(u.gray.FailingUntil().Sub(now)+time.Millisecond, func() {
		if u.endPhase(time.Now()) {
			d.reportFailing(u, false)
		}
	})
}

// endPhase records that a failing phase is reported as ended, if it has ended and was not reported yet.
func (u *upstream) endPhase(now time.Time) (ended bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed || !u.reportedFailing || u.failing(now) {
		return false
	}
	u.reportedFailing = false
	return true
}

// recordResult returns whether the upstream is failing now, and whether that differs from what was
// reported last: a failing phase can also end through the passing of time, without an observation.
// If the upstream is failing, waiting attempts that can be rerouted are refused.
func (u *upstream) recordResult(start, now time.Time, failed bool) (changed, failing bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	wasFailing := u.failing(now)
	u.gray.Observe(start, failed)
	failing = u.failing(now)
	changed = failing != u.reportedFailing
	u.reportedFailing = failing
	switch {
	case !failed:
		u.nextProbe = now
		return changed, failing
	case !wasFailing:
		u.probeInterval = minProbeInterval
		u.nextProbe = now.Add(minProbeInterval)
	case !now.Before(u.nextProbe):
		u.scheduleNextProbe(now)
	}
	if now.Sub(start) > earlySuccessDelay {
		u.slowFailureAt = now
	}
	if !failing {
		return changed, failing
	}
	for id, w := range u.waiting {
		if w.reroutable {
			u.queue.Remove(id)
			u.wake(id, outcome.HasNotRun(outcome.ReasonUnhealthy))
		}
	}
	return changed, failing
}

// scheduleNextProbe sets the time of the next probe and, unless the upstream can be ejected,
// lengthens the interval. u.mu is held.
func (u *upstream) scheduleNextProbe(now time.Time) {
	u.nextProbe = now.Add(u.probeInterval)
	if u.ejectable {
		return
	}
	u.probeInterval = min(time.Duration(probeBackoff*float64(u.probeInterval)), maxProbeInterval)
}

const (
	// earlySuccessDelay is how long a request has to run without failing to count as a success:
	// failing upstreams fail requests at once. The evidence then need not wait for the end of the
	// request.
	earlySuccessDelay = 50 * time.Millisecond
	// slowFailureWindow is how long early successes are ignored after a failure that came later
	// than earlySuccessDelay.
	slowFailureWindow = 20 * time.Second
)

// startEarlySuccessTimer records a success if the request that was sent at start has not ended
// after earlySuccessDelay. The returned function stops the timer.
func (u *upstream) startEarlySuccessTimer(start time.Time) (stop func() bool) {
	return time.AfterFunc(earlySuccessDelay, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if time.Since(u.slowFailureAt) > slowFailureWindow {
			u.gray.Observe(start, false)
		}
	}).Stop
}

// evidence reports whether the result of an attempt is evidence of the health of its upstream, and
// whether the attempt failed. A timeout is conclusive only if the attempt had at least the latency
// objective of its kind.
func (d *Dispatcher) evidence(head *wire.AttemptHead, r Result, latency time.Duration) (failed, conclusive bool) {
	switch r {
	case ResultOK:
		return false, true
	case ResultError, ResultBroken:
		return true, true
	case ResultTimeout:
		k := d.requestKind(head)
		return true, k != nil && latency >= time.Duration(k.LatencyObjectiveMs)*time.Millisecond
	}
	return false, false
}
