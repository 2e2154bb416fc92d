package distribute

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// attempts returns a source of attempts for hedged. Attempt i takes the i-th duration, and fails if it
// is negative.
func attempts(durations ...time.Duration) func() (attemptFunc, bool) {
	return func() (attemptFunc, bool) {
		if len(durations) == 0 {
			return nil, false
		}
		d := durations[0]
		durations = durations[1:]
		return func(ctx context.Context) error {
			if !sleep(ctx, d.Abs()) {
				return ctx.Err()
			}
			if d < 0 {
				return errors.New("failed")
			}
			return nil
		}, true
	}
}

// Guards against a slow attempt that holds up the next one, and against attempts that outlive the call.
func TestHedged(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		durations []time.Duration
		took      time.Duration
		ok        bool
	}{
		{"the first is quick", []time.Duration{100 * ms, 1 * ms}, 100 * ms, true},
		{"the first is silent", []time.Duration{time.Hour, 30 * ms}, 280 * ms, true},
		{"the first fails", []time.Duration{-10 * ms, 30 * ms}, 40 * ms, true},
		{"two are silent", []time.Duration{time.Hour, time.Hour, 30 * ms}, 530 * ms, true},
		{"the first is slow but wins", []time.Duration{300 * ms, time.Hour}, 300 * ms, true},
		{"all fail", []time.Duration{-10 * ms, -400 * ms, -20 * ms}, 410 * ms, false},
		{"there are none", nil, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			assert.Equal(t, hedged(t.Context(), 250*ms, attempts(c.durations...)), c.ok, c.name)
			assert.Equal(t, time.Since(start), c.took, c.name)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		assert.Assert(t, !hedged(ctx, 250*ms, attempts(time.Hour, time.Hour)))
		assert.Equal(t, time.Since(start), time.Second, "an ended context ends all attempts")
	})
}
