package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/outcome"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against retries that multiply the load when every upstream fails.
func TestAttemptsStayBelowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now, requests, attempts := start, 0, 0
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			step := time.Duration(rapid.IntRange(1, 4000).Draw(t, "interval ms")) * time.Millisecond
			for range rapid.IntRange(1, 200).Draw(t, "requests") {
				now = now.Add(step)
				requests++
				b.RecordFirstAttempt(now)
				s := RequestState{Ended: outcome.MayHaveRun(outcome.ReasonLostUpstream), Idempotent: true, Attempts: 1, Deadline: now.Add(time.Second)}
				for Decide(now, &b, s) == Allowed {
					s.Attempts++
				}
				attempts += s.Attempts
				assert.Assert(t, s.Attempts <= MaxAttempts)
			}
		}
		// Below 0.2 requests/s the restored reserve adds more than 0.1 attempts per
		// request, so the intervals drawn above stay below 5 s.
		assert.Assert(t, float64(attempts) < 1.2*float64(requests)+Reserve, "%d attempts for %d requests", attempts, requests)
	})
}

// Guards against retrying work that may have run and is not idempotent, that can't
// finish by its deadline, or that has used up its attempts or runs.
func TestDecide(t *testing.T) {
	lost := outcome.MayHaveRun(outcome.ReasonLostUpstream)
	refused := outcome.HasNotRun(outcome.ReasonConnect)
	for _, c := range []struct {
		name  string
		state RequestState
		want  Refusal
	}{
		{"idempotent", RequestState{Ended: lost, Idempotent: true, Attempts: 1}, Allowed},
		{"may have run", RequestState{Ended: lost, Attempts: 1}, RefusedOutcome},
		{"not run", RequestState{Ended: refused, Attempts: 1}, Allowed},
		{"final", RequestState{Ended: outcome.HasNotRun(outcome.ReasonCrashing), Idempotent: true, Attempts: 1}, RefusedOutcome},
		{"answered", RequestState{Ended: outcome.Ended{Outcome: outcome.Answered}, Idempotent: true, Attempts: 1}, RefusedOutcome},
		{"attempts", RequestState{Ended: refused, Attempts: MaxAttempts}, RefusedAttempts},
		{"runs", RequestState{Ended: lost, Idempotent: true, Attempts: 2, Runs: 2, MaxRuns: 2}, RefusedAttempts},
		{"fewer runs", RequestState{Ended: lost, Idempotent: true, Attempts: 3, Runs: 1, MaxRuns: 2}, Allowed},
		{"deadline", RequestState{Ended: refused, Attempts: 1, Expected: 2 * time.Second}, RefusedDeadline},
	} {
		var b Budget
		c.state.Deadline = start.Add(time.Second)
		assert.Equal(t, Decide(start, &b, c.state), c.want, c.name)
	}
}

// Guards against first attempts that still count toward the budget after they have left
// the window, and against a reserve that grows without limit while there are no requests.
func TestWindowSlides(t *testing.T) {
	var b Budget
	for range 1000 {
		b.RecordFirstAttempt(start)
	}
	late := start.Add(Window + time.Second)
	allowed := 0
	for b.Allow(late) {
		allowed++
	}
	assert.Equal(t, allowed, Reserve)
}

// Guards against charging the budget for retries after attempts that reached no
// upstream, and against not charging it for the others.
func TestFreeAttempts(t *testing.T) {
	var b Budget
	s := RequestState{Ended: outcome.HasNotRun(outcome.ReasonUpstreamGone), Attempts: 1, Deadline: start.Add(time.Second)}
	s.Free = true
	for range 100 {
		assert.Equal(t, Decide(start, &b, s), Allowed)
	}
	s.Free = false
	for range Reserve {
		assert.Equal(t, Decide(start, &b, s), Allowed)
	}
	assert.Equal(t, Decide(start, &b, s), RefusedBudget)
}

// Guards against many ingresses that together exceed the fleet's retry budget.
func TestFleetLimits(t *testing.T) {
	const ingresses, ratio, slack = 25, 0.2, 62.0
	spent, requests := 0, 0
	for range ingresses {
		b := Budget{Limits: FleetLimits(ratio, slack, ingresses)}
		for i := range 40 {
			now := start.Add(time.Duration(i) * Window / 40)
			b.RecordFirstAttempt(now)
			requests++
			for b.Allow(now) {
				spent++
			}
		}
	}
	assert.Assert(t, spent >= ingresses, "%d retries at all ingresses", spent)
	assert.Assert(t, float64(spent) <= ratio*float64(requests)+slack, "%d retries of %d requests", spent, requests)
}

// Guards against a budget that doesn't count the calls of repeated runs.
func TestCharge(t *testing.T) {
	b := Budget{Limits: Limits{Reserve: 2}}
	b.Charge(start)
	assert.Assert(t, b.WouldAllow(start))
	assert.Assert(t, b.Allow(start))
	assert.Assert(t, !b.WouldAllow(start))
	assert.Assert(t, !b.Allow(start))
	assert.Assert(t, b.Allow(start.Add(2*Window)))
}
