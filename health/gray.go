package health

import (
	"math"
	"time"
)

// Gray estimates from single results whether an upstream is failing now. It is the filter of a
// hidden Markov model with two states, healthy and failing, between which an upstream changes at
// random. Unlike Detector it needs no baseline and acts on the first failure: an upstream that
// fails most of its requests for a few seconds has recovered before a test with a low rate of false
// alarms could detect it. A false alarm costs little where other upstreams can serve the request.
//
// The zero value is an upstream without observations. A Gray is not safe for concurrent use.
type Gray struct {
	probability float64 // probability of failing at updatedAt; valid if updatedAt is set
	updatedAt   time.Time
	// failedAt is the start of the latest request that failed.
	failedAt time.Time
}

const (
	// grayOnsetRate and grayRecoveryRate are the rates, per second, at which healthy upstreams
	// begin to fail and failing ones recover.
	grayOnsetRate    = 0.05
	grayRecoveryRate = 0.11
	// grayHealthyFailureShare and grayFailingFailureShare are the shares of requests that fail at a
	// healthy and at a failing upstream.
	grayHealthyFailureShare = 0.02
	grayFailingFailureShare = 0.7
	// grayFailingThreshold is the probability from which an upstream counts as failing.
	grayFailingThreshold = 0.5
	// grayDoubtfulThreshold is the probability from which an upstream may be doubtful.
	grayDoubtfulThreshold = 0.03
	// grayDoubtfulWindow is how long an upstream may be doubtful after a failure.
	grayDoubtfulWindow = 30 * time.Second
	// grayMaxProbability bounds the probability, so that a few successes clear an upstream
	// regardless of how often it has failed.
	grayMaxProbability = 0.97
)

// grayPrior is the stationary probability of failing, without any evidence.
const grayPrior = grayOnsetRate / (grayOnsetRate + grayRecoveryRate)

// FailureProbability returns the probability that the upstream is failing at now.
func (g *Gray) FailureProbability(now time.Time) float64 {
	if g.updatedAt.IsZero() {
		return grayPrior
	}
	age := max(now.Sub(g.updatedAt), 0).Seconds()
	return grayPrior + (g.probability-grayPrior)*math.Exp(-age*(grayOnsetRate+grayRecoveryRate))
}

// Failing reports whether the upstream counts as failing at now.
func (g *Gray) Failing(now time.Time) bool { return g.FailureProbability(now) >= grayFailingThreshold }

// FailingUntil returns when an upstream that counts as failing no longer does without further
// evidence. It returns the time of the last evidence if the upstream did not count as failing then.
func (g *Gray) FailingUntil() time.Time {
	if g.probability <= grayFailingThreshold {
		return g.updatedAt
	}
	decays := math.Log((g.probability - grayPrior) / (grayFailingThreshold - grayPrior))
	return g.updatedAt.Add(time.Duration(decays / (grayOnsetRate + grayRecoveryRate) * float64(time.Second)))
}

// Doubtful reports whether the upstream should be avoided for a request that cannot be run again
// elsewhere: it has failed recently, and there is no recent evidence that it is healthy.
func (g *Gray) Doubtful(now time.Time) bool {
	return !g.failedAt.IsZero() && now.Sub(g.failedAt) < grayDoubtfulWindow && g.FailureProbability(now) >= grayDoubtfulThreshold
}

// Observe records the result of a request that started at start. The result is evidence about that
// time, since an upstream's state when a request starts decides whether the request fails. Of the
// requests that started before the latest evidence, successes are ignored, and failures count as if
// they had started at the time of that evidence.
func (g *Gray) Observe(start time.Time, failed bool) {
	if start.Before(g.updatedAt) {
		if !failed {
			return
		}
		start = g.updatedAt
	}
	prior := g.FailureProbability(start)
	likelihoodFailing, likelihoodHealthy := 1-grayFailingFailureShare, 1-grayHealthyFailureShare
	if failed {
		likelihoodFailing, likelihoodHealthy = grayFailingFailureShare, grayHealthyFailureShare
	}
	g.probability = min(grayMaxProbability, prior*likelihoodFailing/(prior*likelihoodFailing+(1-prior)*likelihoodHealthy))
	g.updatedAt = start
	if failed {
		g.failedAt = start
	}
}
