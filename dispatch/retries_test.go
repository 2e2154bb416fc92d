package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Guards against more retries than the budget of an upstream allows, also by calls of repeated runs, and
// against a budget that refuses first attempts.
func TestRepeatsBeyondTheRetryBudgetAreDeclined(t *testing.T) {
	u, now := grayUpstream()
	u.slots = 1000
	u.retryLimits = func(service string) retry.Limits {
		assert.Equal(t, service, "shop")
		return retry.Limits{Ratio: 0.1, Reserve: 2}
	}
	accepted := func(head wire.AttemptHead) bool {
		reason := u.decline(now, &head)
		assert.Assert(t, reason == outcome.ReasonNone || reason == outcome.ReasonRetryBudget, reason)
		return reason == outcome.ReasonNone
	}
	for range 50 {
		assert.Assert(t, accepted(wire.AttemptHead{}))
	}
	// Seven retries are allowed.
	assert.Assert(t, accepted(wire.AttemptHead{RepeatedCalls: 3}))
	for range 4 {
		assert.Assert(t, accepted(wire.AttemptHead{Repeat: true}))
	}
	assert.Assert(t, !accepted(wire.AttemptHead{Repeat: true}))
	assert.Assert(t, !accepted(wire.AttemptHead{Repeat: true, Insist: true}))
	assert.Assert(t, accepted(wire.AttemptHead{}))
	now = now.Add(retry.Window)
	assert.Assert(t, accepted(wire.AttemptHead{Repeat: true}))
}
