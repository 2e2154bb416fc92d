package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against estimates that fall while runs are cut at their deadline, so that ever more runs that
// will be cut are started: work of 200 to 400 ms, cut at 320 ms.
func TestCutRunsDoNotLowerTheEstimate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var w Work
	for range 2000 {
		d := 200*time.Millisecond + time.Duration(r.Float64()*float64(200*time.Millisecond))
		const cutAt = 320 * time.Millisecond
		w.Record(min(d, cutAt), d > cutAt)
	}
	assert.Assert(t, w.Mean() > 280*time.Millisecond && w.Mean() < 330*time.Millisecond, "mean %v", w.Mean())
	assert.Assert(t, w.Mean()+3*w.Spread() >= 380*time.Millisecond, "spread %v", w.Spread())
}

// Guards against calls that seem rarer than they are because the runs that make them fail: 70% of runs
// make two calls one after the other, of which three in ten fail.
func TestCallsOfFailedRunsCount(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var m Model
	for range 3000 {
		run := Run{Kind: "sign", SlotTime: time.Second}
		if r.Float64() < 0.7 {
			first := r.Float64() < 0.3
			run.Calls = map[string]int{"archive": 2}
			if first {
				run.Calls["archive"] = 1
			}
			run.CallFailed = first || r.Float64() < 0.3
		}
		m.Record(time.Time{}, run)
	}
	calls := m.Calls("sign")
	assert.Equal(t, len(calls), 1)
	assert.Assert(t, math.Abs(calls[0].Share-0.7) < 0.15 && math.Abs(calls[0].Number-2) < 0.1, "%+v", calls)
}

// Guards against refusing what costs callers more than what is served instead.
func TestLossFollowsCallersNeeds(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	fresh := Request{Level: 1, UntilObjective: 2 * s, UntilDeadline: 5 * s, Needed: 200 * ms}
	better := map[string]func(*Request){
		"more urgent": func(r *Request) { r.Level = 0 },
		"begun":       func(r *Request) { r.Done = 300 * ms },
		"cheaper":     func(r *Request) { r.Needed = 100 * ms },
	}
	for name, change := range better {
		r := fresh
		change(&r)
		assert.Assert(t, Compare(&r, &fresh) < 0, name)
	}
	worse := map[string]func(*Request){
		"past its objective": func(r *Request) { r.UntilObjective = -s },
		"too late":           func(r *Request) { r.UntilDeadline = 100 * ms; r.Done = 300 * ms },
	}
	for name, change := range worse {
		r := fresh
		change(&r)
		assert.Assert(t, Compare(&r, &fresh) > 0, name)
	}
}

// Guards against refusals while there is room, against a kind of which nothing is admitted, and against
// refusals that go on after the shortage or the end of the reports.
func TestAdmissionFollowsRoom(t *testing.T) {
	var a Admission
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	play := func(d time.Duration, reported bool, failing, calling float64) (admitted float64) {
		all, ok := 0.0, 0.0
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			decision := a.Decide(now, "sign", r.Float64(), r.Float64())
			all++
			if decision.Admitted {
				ok++
			} else {
				assert.Equal(t, decision.Service, "archive")
				assert.Assert(t, decision.RetryAfter >= retryAfter/2 && decision.RetryAfter < 3*maxRetryAfter/2)
			}
			switch {
			case reported && failing > 0:
				a.Report(now, "sign", []NoRoom{{"archive", failing, calling}})
			case reported:
				a.Report(now, "sign", nil)
			}
		}
		return ok / all
	}
	assert.Equal(t, play(5*time.Second, true, 0, 0), 1.0)
	assert.Equal(t, play(5*time.Second, true, 0.1, 1), 1.0)
	assert.Equal(t, play(10*time.Second, true, 0.65, 0.7), 1.0)
	play(10*time.Second, true, 0.95, 1)
	share := play(5*time.Second, true, 0.95, 1)
	assert.Assert(t, share > 0.1 && share < 0.3, "%.2f admitted", share)
	play(5*time.Second, true, 0, 0)
	assert.Equal(t, play(time.Second, true, 0, 0), 1.0)
	play(10*time.Second, true, 0.95, 1)
	play(7*time.Second, false, 0, 0)
	assert.Equal(t, play(time.Second, false, 0, 0), 1.0)
	assert.Equal(t, len(a.AdmittedShares(now)), 0)
}

// Guards against a look at the admission that changes it, or that differs from the next decision.
func TestPeekChangesNothing(t *testing.T) {
	var a Admission
	now := time.Unix(0, 0)
	a.Report(now, "order", []NoRoom{{Service: "archive", Calling: 1, Failing: 1}})
	before := *a.kinds["order"]
	admitted, others := a.Peek(now.Add(time.Second), "order")
	assert.Equal(t, a.kinds["order"].admitted, before.admitted)
	assert.Equal(t, a.kinds["order"].adjustedAt, before.adjustedAt)
	assert.Equal(t, a.Decide(now.Add(time.Second), "order", admitted, 0.5), others)
	assert.Assert(t, admitted < 1 && a.Decide(now.Add(time.Second), "order", admitted-0.001, 0.5).Admitted)
}
