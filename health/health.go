// Package health decides from real work whether an upstream is worse than its
// peers. It does no I/O and reads no clock.
//
// The dispatcher of an upstream feeds a Detector with each attempt's result,
// sends its Summary once per Interval to the service's aggregator, which keeps
// a Pool, and gets back a Baseline: what the peers saw in the same time. Two
// sequential tests (CUSUM) per request kind compare the upstream with it, one
// on failures and one on latencies above a limit derived from the peers.
//
//   - The suspicion test runs at each observation against the latest baseline.
//     It is fast and only leads to avoidance.
//   - The ejection test waits for the baseline of the same time, so that a
//     change that all peers share is never evidence.
//
// Latency is the time in a slot of the upstream, without the dispatcher's
// queue, and refusals by the upstream are no evidence. Overload therefore
// doesn't count against an upstream.
package health

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Interval is the time that one summary covers.
const Interval = time.Second

// Result is what an attempt says about its upstream.
type Result uint8

// Results of attempts.
const (
	// Ignored says nothing about the upstream: canceled, refused by the
	// upstream under load, a path failure, a crash that a request explains.
	Ignored Result = iota
	Succeeded
	// Failed is a broken connection, a short answer, or a status of 500 or more
	// other than a refusal under load.
	Failed
	// TimedOut is an attempt without an answer in the time it was given.
	TimedOut
)

// Summary is what one upstream did in one interval.
type Summary struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"` // grows by one with each summary
	Kinds    []KindSummary    `cbor:"3,keyasint"`
}

// KindSummary counts the attempts of one request kind.
type KindSummary struct {
	Kind      string    `cbor:"1,keyasint"`
	Succeeded uint32    `cbor:"2,keyasint"`
	Failed    uint32    `cbor:"3,keyasint"`
	Latencies Histogram `cbor:"4,keyasint"` // of succeeded and timed out attempts
}

// Baseline is what the peers of a service did.
type Baseline struct {
	// Seq is that of the latest summary of the receiving upstream in the pool.
	Seq   uint64         `cbor:"1,keyasint"`
	Kinds []KindBaseline `cbor:"2,keyasint"`
}

// KindBaseline is the pooled behaviour of one request kind.
type KindBaseline struct {
	Kind  string `cbor:"1,keyasint"`
	Peers int    `cbor:"2,keyasint"` // upstreams in the pool
	// FailureRate is the peers' share of failed attempts.
	FailureRate float64 `cbor:"3,keyasint"`
	// SlowBucket is the last bucket of a Histogram that is not slow.
	SlowBucket int `cbor:"4,keyasint"`
	// SlowRate is the peers' share of attempts beyond SlowBucket.
	SlowRate float64 `cbor:"5,keyasint"`
}

// Kind returns the baseline of a request kind, or nil if there is none.
func (b *Baseline) Kind(name string) *KindBaseline {
	for i := range b.Kinds {
		if b.Kinds[i].Kind == name {
			return &b.Kinds[i]
		}
	}
	return nil
}

// Level is the strength of a verdict.
type Level uint8

// Levels of a verdict.
const (
	Healthy   Level = iota
	Suspect         // avoid it
	Unhealthy       // ask for a permit to eject it
)

// String returns the level in lower case.
func (l Level) String() string { return [...]string{"healthy", "suspect", "unhealthy", ""}[l&3] }

// Cause is the test that led to a verdict.
type Cause uint8

// Causes of a verdict.
const (
	CauseNone Cause = iota
	CauseFailures
	CauseLatency
)

// String returns the cause in lower case.
func (c Cause) String() string { return [...]string{"none", "failures", "latency", ""}[c&3] }

// Verdict is the state of an upstream.
type Verdict struct {
	Level Level
	// Kind and Cause are those of the strongest evidence.
	Kind  string
	Cause Cause
	// Severity is the share of attempts of Kind that failed or were slow
	// lately, 0 to 1. It orders upstreams by how unhealthy they are.
	Severity float64
}
