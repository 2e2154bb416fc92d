package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that keeps getting requests after it has begun to fail, and against
// one that is avoided after it has recovered.
func TestGrayFollowsFailures(t *testing.T) {
	var g Gray
	now := time.Unix(1000, 0)
	assert.Assert(t, g.FailureProbability(now) < grayFailingThreshold)
	for range 20 {
		g.Observe(now, false)
	}
	assert.Assert(t, g.FailureProbability(now) < 0.01)
	assert.Assert(t, !g.Doubtful(now.Add(time.Minute)), "it has never failed")
	// An upstream that was healthy a second ago.
	now = now.Add(time.Second)
	g.Observe(now, true)
	assert.Assert(t, g.FailureProbability(now) > grayFailingThreshold)
	assert.Assert(t, g.FailureProbability(now.Add(3*time.Second)) > grayFailingThreshold, "failing phases last some seconds")
	assert.Assert(t, g.FailureProbability(now.Add(20*time.Second)) < grayFailingThreshold)
	g.Observe(now, true)
	for range 4 {
		g.Observe(now, false)
	}
	assert.Assert(t, g.FailureProbability(now) < grayFailingThreshold)
	assert.Assert(t, g.Doubtful(now))
	for range 8 {
		g.Observe(now, false)
	}
	assert.Assert(t, !g.Doubtful(now))
	assert.Assert(t, g.Doubtful(now.Add(2*time.Second)), "the evidence is old")
}

// Guards against a probability out of range when the clock goes back.
func TestGrayWithOldTimes(t *testing.T) {
	var g Gray
	now := time.Unix(1000, 0)
	g.Observe(now, true)
	p := g.FailureProbability(now.Add(-time.Hour))
	assert.Assert(t, p > 0 && p < 1)
}

// Guards against a slow success that clears an upstream, although it started before the upstream
// began to fail.
func TestGraySlowSuccess(t *testing.T) {
	var g Gray
	now := time.Unix(1000, 0)
	g.Observe(now, true)
	before := g.FailureProbability(now)
	g.Observe(now.Add(-400*time.Millisecond), false)
	assert.Equal(t, g.FailureProbability(now), before)
	g.Observe(now.Add(-400*time.Millisecond), true)
	assert.Assert(t, g.FailureProbability(now) >= before)
}
