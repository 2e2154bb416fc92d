package dispatch

import (
	"time"

	"github.com/godwithub/godwithub/wire"
)

// allowsRetry reports whether the retry budget of the upstream has room. The budget of the fleet is
// divided between the upstreams of a service and not between the ingresses: those that need retries at
// the same time are few, and each may ask several upstreams. u.mu is held.
func (u *upstream) allowsRetry(now time.Time) bool {
	if u.retryLimits == nil {
		return true
	}
	u.retries.Limits = u.retryLimits(u.service)
	return u.retries.WouldAllow(now)
}

// countRetries counts an attempt in the retry budget. u.mu is held.
func (u *upstream) countRetries(now time.Time, head *wire.AttemptHead, accepted bool) {
	if u.retryLimits == nil {
		return
	}
	for range min(head.RepeatedCalls, maxRepeatedCalls) {
		u.retries.Charge(now)
	}
	switch {
	case !accepted:
	case head.Repeat:
		u.retries.Charge(now)
	default:
		u.retries.RecordFirstAttempt(now)
	}
}

// maxRepeatedCalls bounds the calls that one attempt reports.
const maxRepeatedCalls = 100
