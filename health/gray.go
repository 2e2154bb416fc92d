package health

import (
	"math"
	"time"
)

// Gray estimates from single results whether an upstream is failing now. It is
// a filter over two hidden states, sound and failing, between which an upstream
// changes at random. Unlike Detector it needs no baseline and acts on the first
// failure: an upstream that fails most of its work for a few seconds has
// recovered before a test with a low rate of false alarms could tell. Its
// verdict costs little where other upstreams take the work.
//
// The zero value is an upstream of which nothing is known. It is not safe for
// concurrent use.
type Gray struct {
	odds float64 // probability of failing at the time at; valid if at is set
	at   time.Time
	// failedAt is the start of the latest request that failed.
	failedAt time.Time
}

const (
	// grayOnset and grayRecovery are the rates, per second, at which sound
	// upstreams begin to fail and failing ones recover.
	grayOnset    = 0.05
	grayRecovery = 0.11
	// graySoundFailures and grayFailures are the parts of requests that fail
	// at a sound and at a failing upstream.
	graySoundFailures = 0.02
	grayFailures      = 0.7
	// GrayFailing is the probability from which an upstream is held to fail.
	GrayFailing = 0.5
	// grayDoubtful is the probability from which an upstream is doubtful.
	grayDoubtful = 0.03
	// grayMemory is how long an upstream that has failed may be doubtful.
	grayMemory = 30 * time.Second
	// grayMax bounds the probability, so that a few successes clear an upstream
	// however often it failed.
	grayMax = 0.97
)

// grayUsual is the probability of failing without any evidence.
const grayUsual = grayOnset / (grayOnset + grayRecovery)

// Failing returns the probability that the upstream fails its work at now.
func (g *Gray) Failing(now time.Time) float64 {
	if g.at.IsZero() {
		return grayUsual
	}
	age := max(now.Sub(g.at), 0).Seconds()
	return grayUsual + (g.odds-grayUsual)*math.Exp(-age*(grayOnset+grayRecovery))
}

// Doubtful reports whether the upstream is not the best choice for a request
// that cannot be run again elsewhere: it has failed lately, and there is no
// fresh evidence that it is sound.
func (g *Gray) Doubtful(now time.Time) bool {
	return !g.failedAt.IsZero() && now.Sub(g.failedAt) < grayMemory && g.Failing(now) >= grayDoubtful
}

// Observe takes in the result of a request that was started at start: whether
// an upstream fails a request is settled when it takes it up. A success that
// started before the latest evidence says nothing new.
func (g *Gray) Observe(start time.Time, failed bool) {
	if start.Before(g.at) {
		if !failed {
			return
		}
		start = g.at
	}
	prior := g.Failing(start)
	failing, sound := 1-grayFailures, 1-graySoundFailures
	if failed {
		failing, sound = grayFailures, graySoundFailures
	}
	g.odds = min(grayMax, prior*failing/(prior*failing+(1-prior)*sound))
	g.at = start
	if failed {
		g.failedAt = start
	}
}
