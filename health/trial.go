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
	// trialBadShare is the least share of bad attempts that a trial must detect. A smaller share is
	// left to the Detector, which continues during slow start.
	trialBadShare = 0.3
	// trialErrorRate is the probability of a wrong result, in each direction.
	trialErrorRate = 0.01
)

// Trial is a sequential probability ratio test of an upstream that returns from an ejection. It
// passes after about 14 attempts without a bad one, and fails after two bad attempts at the start.
type Trial struct {
	logRatio float64
	result   TrialResult
}

// Observe records the result of one attempt and returns the state of the trial. b is the peers'
// baseline of the attempt's kind, or nil if there is none.
func (t *Trial) Observe(b *KindBaseline, r Result, latency time.Duration) TrialResult {
	if t.result != TrialRunning || r == Ignored {
		return t.result
	}
	p := testParameters{p0: minToleratedFailureRate}
	bad := r != Succeeded
	if b != nil {
		p.p0 = max(tolerance*(b.FailureRate+b.SlowRate), minToleratedFailureRate)
		bad = bad || bucketOf(latency) > b.SlowBucket
	}
	p1 := max(trialBadShare, (1+p.p0)/2)
	if !p.usable() {
		// The peers are as bad, so there is no evidence against this upstream.
		t.result = TrialPassed
		return t.result
	}
	t.logRatio += p.logLikelihoodRatio(p1, boolToInt(bad), 1)
	bound := math.Log((1 - trialErrorRate) / trialErrorRate)
	switch {
	case t.logRatio >= bound:
		t.result = TrialFailed
	case t.logRatio <= -bound:
		t.result = TrialPassed
	}
	return t.result
}
