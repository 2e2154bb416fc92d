package health

import (
	"math"
	"time"
)

// TrialResult is the state of a Trial.
type TrialResult uint8

// States of a trial.
const (
	TrialRunning TrialResult = iota
	TrialPassed
	TrialFailed
)

const (
	// trialBad is the share of bad attempts that a trial is to find. A smaller
	// share is left to the Detector, which goes on during slow start.
	trialBad = 0.3
	// trialError is the chance of a wrong end of the trial, in each direction.
	trialError = 0.01
)

// Trial is a sequential probability ratio test of an upstream that returns
// from an ejection. With no bad attempt it passes after about 14 attempts, and
// two bad ones at the start fail it.
type Trial struct {
	value  float64
	result TrialResult
}

// Observe takes in the result of one attempt and returns the state. b is the
// peers' baseline of the attempt's kind, or nil if there is none.
func (t *Trial) Observe(b *KindBaseline, r Result, latency time.Duration) TrialResult {
	if t.result != TrialRunning || r == Ignored {
		return t.result
	}
	p := parameters{p0: failureFloor}
	bad := r != Succeeded
	if b != nil {
		p.p0 = max(tolerance*(b.FailureRate+b.SlowRate), failureFloor)
		bad = bad || bucketOf(latency) > b.SlowBucket
	}
	p1 := max(trialBad, (1+p.p0)/2)
	if !p.usable() {
		// The peers are as bad; there is nothing to hold against it.
		t.result = TrialPassed
		return t.result
	}
	t.value += p.ratio(p1, count(bad), 1)
	bound := math.Log((1 - trialError) / trialError)
	switch {
	case t.value >= bound:
		t.result = TrialFailed
	case t.value <= -bound:
		t.result = TrialPassed
	}
	return t.result
}
