package health

import "math"

// parameters are the rates that a test tells apart: p0 is tolerated, p1 is to
// be found.
type parameters struct {
	p0, small, large float64
}

const (
	// tolerance is how many times the peers' rate an upstream may have.
	tolerance = 2.0
	// contrast is the least ratio of the rate to be found to the tolerated one.
	contrast = 4.0
	// maxTolerated is the rate of peers' trouble above which an upstream can't
	// be told from its peers.
	maxTolerated = 0.8

	// Least tolerated and found rates. They are what healthy upstreams with
	// ordinary noise stay under, and what harms callers.
	failureFloor = 0.015
	failureSmall = 0.1
	failureLarge = 0.5
	slowFloor    = 0.04
	slowSmall    = 0.16
	slowLarge    = 0.6
)

func failureParameters(b *KindBaseline) parameters {
	return newParameters(max(tolerance*b.FailureRate, failureFloor), failureSmall, failureLarge)
}

func slowParameters(b *KindBaseline) parameters {
	return newParameters(max(tolerance*b.SlowRate, slowFloor), slowSmall, slowLarge)
}

func newParameters(p0, small, large float64) parameters {
	middle := (1 + p0) / 2
	return parameters{
		p0:    p0,
		small: min(max(contrast*p0, small), middle),
		large: min(max(contrast*p0, large), max(middle, large)),
	}
}

// usable reports whether a rate can be told from the peers' rate at all.
func (p parameters) usable() bool { return p.p0 < maxTolerated }

// evidence is a log likelihood ratio for a small and for a large change.
type evidence struct{ small, large float64 }

// evidence returns what events in attempts say.
func (p parameters) evidence(events, attempts int) evidence {
	if !p.usable() || attempts == 0 {
		return evidence{}
	}
	return evidence{p.ratio(p.small, events, attempts), p.ratio(p.large, events, attempts)}
}

func (e *evidence) add(o evidence) {
	e.small += o.small
	e.large += o.large
}

// ratio returns the log likelihood ratio of p1 against p0 after events in
// attempts.
func (p parameters) ratio(p1 float64, events, attempts int) float64 {
	return float64(events)*math.Log(p1/p.p0) + float64(attempts-events)*math.Log((1-p1)/(1-p.p0))
}

// cusum is a pair of one-sided CUSUM tests, for a small and a large change. A
// test that starts at 0 reaches h by chance after e^h observations or more on
// average if the true rate is p0 or less.
type cusum struct{ small, large float64 }

// add takes in evidence. limit bounds the value, so that a long illness is
// forgotten in bounded time, and step the change of one call.
func (c *cusum) add(e evidence, limit, step float64) {
	c.small = bounded(c.small, e.small, limit, step)
	c.large = bounded(c.large, e.large, limit, step)
}

func bounded(value, change, limit, step float64) float64 {
	return min(max(value+min(change, step), 0), limit)
}

func (c *cusum) value() float64 { return max(c.small, c.large) }

// testsPerAttempt is the number of CUSUM tests that an attempt takes part in:
// small and large, on failures and on latency, of its kind and of all kinds.
const testsPerAttempt = 8

// threshold returns the value at which a test alarms, for a rate of false
// alarms per day over all tests of an upstream with the given attempts per
// second.
func threshold(alarmsPerDay, attemptsPerSecond float64) float64 {
	const secondsPerDay = 86400
	return math.Log(testsPerAttempt * secondsPerDay * max(attemptsPerSecond, 1) / alarmsPerDay)
}
