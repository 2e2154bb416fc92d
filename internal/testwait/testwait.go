// Package testwait lets tests wait for a condition instead of a fixed time.
package testwait

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// interval is the time between two checks of a condition.
const interval = 5 * time.Millisecond

// Until waits until cond holds, and fails the test if it does not within limit. what names the condition in the
// failure message.
func Until(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("waiting for: %s", what)
	}, poll.WithTimeout(limit), poll.WithDelay(interval))
}
