package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/outcome"
)

// limitWindow is the time in which an upstream may get one and a half times its limit and 5 requests.
const limitWindow = 4 * time.Second

// maxInWindow returns the largest number of times in a window of that length.
func maxInWindow(times []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an upstream that gets more requests than the limit that it has named, and against one
// that gets fewer although more wait.
func TestQueueKeepsRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0.1, 0.3, 1, 2.8, 8, 50}).Draw(t, "limit")
		step := time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond
		const length = time.Minute
		q, now := New(Options{Slots: 1000}), time.Unix(1000, 0)
		q.SetRateLimit(now, limit)
		var runs []time.Time
		for at := time.Duration(0); at < length; at += step {
			now = time.Unix(1000, 0).Add(at)
			for id := uint64(at) + 1; q.Len() < 30; id++ {
				q.Offer(now, Ticket{ID: id, Deadline: now.Add(time.Hour), Expected: time.Millisecond})
			}
			for {
				ticket, _, ok := q.Next(now)
				if !ok {
					break
				}
				runs = append(runs, now)
				q.Done(now, ticket, time.Millisecond)
			}
		}
		allowed := 1.5*limit*limitWindow.Seconds() + 5
		assert.Assert(t, float64(maxInWindow(runs, limitWindow)) <= allowed, "%d in %v, allowed %.0f", maxInWindow(runs, limitWindow), limitWindow, allowed)
		if step <= rateBurst {
			expected := limit * (length - 2*rateBurst).Seconds()
			assert.Assert(t, float64(len(runs)) >= expected-2, "%d runs in %v, %.1f are expected", len(runs), length, expected)
		}
	})
}

// Guards against less urgent work that takes what a limited upstream accepts, and against work that
// waits although the limit lets it start too late.
func TestLimitedUpstreamServesUrgentWorkFirst(t *testing.T) {
	q, now := New(Options{Slots: 5}), time.Unix(1000, 0)
	q.SetRateLimit(now, 2)
	ticket := func(id uint64, level int, within time.Duration) (bool, outcome.Reason) {
		ok, reason, _ := q.Offer(now, Ticket{ID: id, Level: level, Deadline: now.Add(within)})
		return ok, reason
	}
	for id := range uint64(4) {
		ok, _ := ticket(id+1, 1, 10*time.Second)
		assert.Assert(t, ok)
	}
	ok, _ := ticket(10, 0, 10*time.Second)
	assert.Assert(t, ok)
	ok, reason := ticket(11, 1, time.Second)
	assert.Assert(t, !ok, "three others run first, at two a second")
	assert.Equal(t, reason, outcome.ReasonQueueLong)
	var order []uint64
	for ; len(order) < 5; now = now.Add(50 * time.Millisecond) {
		if next, _, ok := q.Next(now); ok {
			order = append(order, next.ID)
		}
	}
	assert.Equal(t, fmt.Sprint(order), "[10 1 2 3 4]")
}

// Guards against a limit that outlives its end, and against an upstream that gets a burst when its limit
// falls.
func TestRateLimitChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	var l rateLimit
	assert.Equal(t, l.wait(now), time.Duration(0))
	l.set(now, 4)
	assert.Equal(t, l.wait(now), 250*time.Millisecond)
	now = now.Add(time.Minute)
	l.set(now, 1)
	assert.Equal(t, l.wait(now), time.Duration(0))
	l.take(now)
	assert.Assert(t, l.wait(now) >= 500*time.Millisecond)
	l.set(now, 0)
	assert.Equal(t, l.wait(now), time.Duration(0))
	for range 100 {
		l.take(now)
	}
	assert.Equal(t, l.wait(now), time.Duration(0))
}
