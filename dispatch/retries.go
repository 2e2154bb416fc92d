package dispatch

import (
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// maxRepeatedCalls bounds the calls that one attempt can charge to the budget.
const maxRepeatedCalls = 100

// callOfRepeatedRun reports whether the attempt is at a call that was made by a repeated run.
func callOfRepeatedRun(head *wire.AttemptHead) bool { return head.Parent != nil && head.Parent.Repeat }

// withinRetryBudget reports whether the retry budget of the upstream has room for the attempt. Attempts that are
// neither repeats nor calls of repeated runs are not limited. The budget of the fleet is divided between the
// upstreams of a service and not between the ingresses: only a few ingresses need retries at the same time, and
// each of them may try several upstreams. u.mu is held.
func (u *upstream) withinRetryBudget(now time.Time, head *wire.AttemptHead) bool {
	if u.retryLimits == nil || head.RetryGranted {
		return true
	}
	u.retries.Limits = u.retryLimits(u.service)
	switch {
	case head.Repeat:
		return u.retries.WouldAllow(now)
	case callOfRepeatedRun(head):
		return u.retries.WouldAllowCall(now)
	}
	return true
}

// grantRetry reports whether the budget of the upstream pays for the next attempt at a request whose attempt here
// ended with e and result, and takes the retry from it. Without this, if most upstreams of a service fail, the few
// healthy ones would pay for all retries from their parts of the fleet's budget, and the parts of the failing ones
// would stay unused.
func (u *upstream) grantRetry(now time.Time, head *wire.AttemptHead, e outcome.Ended, result Result) bool {
	shed := e == outcome.HasNotRun(outcome.ReasonUpstreamShed)
	failed := head.Idempotent && (result == ResultError || result == ResultBroken)
	stopped := e == outcome.MayHaveRun(outcome.ReasonStopped)
	if !shed && !failed && !stopped {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.retryLimits == nil {
		return false
	}
	u.retries.Limits = u.retryLimits(u.service)
	if stopped {
		// What this upstream has left of its part ends with the process, and few runs are at work then.
		u.retries.Charge(now)
		return true
	}
	return u.retries.Allow(now)
}

// countRetries counts an attempt, and the calls of repeated runs that it reports, in the retry budget. u.mu is held.
func (u *upstream) countRetries(now time.Time, head *wire.AttemptHead, accepted bool) {
	if u.retryLimits == nil {
		return
	}
	for range min(head.RepeatedCalls, maxRepeatedCalls) {
		u.retries.Charge(now)
	}
	switch {
	case !accepted, head.RetryGranted:
	case head.Repeat, callOfRepeatedRun(head):
		u.retries.Charge(now)
	case head.Parent == nil:
		// The fleet's budget is a part of the requests of callers, without calls.
		u.retries.RecordFirstAttempt(now)
	}
}
