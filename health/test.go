package health

import "math"

// testParameters are the rates that a test distinguishes: p0 is tolerated, small and large are the
// rates of a small and a large change to detect.
type testParameters struct {
	p0, small, large float64
}

const (
	// tolerance is the multiple of the peers' rate that is tolerated.
	tolerance = 2.0
	// minRateRatio is the least ratio of a rate to detect to the tolerated rate.
	minRateRatio = 4.0
	// maxToleratedRate is the tolerated rate from which an upstream can't be distinguished from its
	// peers.
	maxToleratedRate = 0.8

	// Lower bounds of the tolerated rates, which healthy upstreams with ordinary noise stay under,
	// and of the rates to detect, which harm callers.
	minToleratedFailureRate = 0.015
	smallFailureRate        = 0.1
	largeFailureRate        = 0.5
	minToleratedSlowRate    = 0.04
	smallSlowRate           = 0.16
	largeSlowRate           = 0.6
)

func failureParameters(b *KindBaseline) testParameters {
	return newTestParameters(max(tolerance*b.FailureRate, minToleratedFailureRate), smallFailureRate, largeFailureRate)
}

func slowParameters(b *KindBaseline) testParameters {
	return newTestParameters(max(tolerance*b.SlowRate, minToleratedSlowRate), smallSlowRate, largeSlowRate)
}

func newTestParameters(p0, small, large float64) testParameters {
	midpoint := (1 + p0) / 2
	return testParameters{
		p0:    p0,
		small: min(max(minRateRatio*p0, small), midpoint),
		large: min(max(minRateRatio*p0, large), max(midpoint, large)),
	}
}

// usable reports whether the tolerated rate is low enough to distinguish an upstream from its
// peers.
func (p testParameters) usable() bool { return p.p0 < maxToleratedRate }

// evidence holds the log likelihood ratios for a small and for a large change.
type evidence struct{ small, large float64 }

// evidence returns the evidence from a number of events among attempts.
func (p testParameters) evidence(events, attempts int) evidence {
	if !p.usable() || attempts == 0 {
		return evidence{}
	}
	return evidence{p.logLikelihoodRatio(p.small, events, attempts), p.logLikelihoodRatio(p.large, events, attempts)}
}

func (e *evidence) add(o evidence) {
	e.small += o.small
	e.large += o.large
}

// logLikelihoodRatio returns the log likelihood ratio of p1 against p0, given a number of events
// among attempts.
func (p testParameters) logLikelihoodRatio(p1 float64, events, attempts int) float64 {
	return float64(events)*math.Log(p1/p.p0) + float64(attempts-events)*math.Log((1-p1)/(1-p.p0))
}

// cusum is a pair of one-sided CUSUM tests, for a small and a large change. A test that starts at 0
// takes at least e^h observations on average to reach h by chance if the true rate is p0 or less.
type cusum struct{ small, large float64 }

// add adds evidence. maxValue bounds the value, so that a long failure is forgotten in bounded
// time, and maxStep bounds the increase by one call.
func (c *cusum) add(e evidence, maxValue, maxStep float64) {
	c.small = boundedSum(c.small, e.small, maxValue, maxStep)
	c.large = boundedSum(c.large, e.large, maxValue, maxStep)
}

func boundedSum(value, change, maxValue, maxStep float64) float64 {
	return min(max(value+min(change, maxStep), 0), maxValue)
}

func (c *cusum) value() float64 { return max(c.small, c.large) }

// testsPerAttempt is the number of CUSUM tests that an attempt counts in: small and large change,
// failures and latency, its kind and all kinds.
const testsPerAttempt = 8

// threshold returns the value at which a test alarms, given the rate of false alarms per day over
// all tests of an upstream, and the upstream's attempts per second.
func threshold(alarmsPerDay, attemptsPerSecond float64) float64 {
	const secondsPerDay = 86400
	return math.Log(testsPerAttempt * secondsPerDay * max(attemptsPerSecond, 1) / alarmsPerDay)
}
