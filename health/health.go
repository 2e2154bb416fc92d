// Package health decides from the results of real requests whether an upstream is worse than its
// peers. It does no I/O and reads no clock.
//
// The dispatcher of an upstream feeds a Detector with the result of each attempt, sends its Summary
// once per Interval to the aggregator of the service, which keeps a Pool, and gets back a Baseline:
// what the peers observed over the same time. Two sequential tests (CUSUM) per request kind compare
// the upstream with the baseline, one on failures and one on latencies above a limit derived from
// the peers.
//
//   - The suspicion test runs on each observation against the latest baseline. It reacts fast and
//     only leads to avoidance of the upstream.
//   - The ejection test waits for the baseline of the same interval, so that a change that all
//     peers share is never evidence.
//
// Latency is the time in a slot of the upstream, without the time in the dispatcher's queue, and
// refusals by the upstream are ignored. Overload therefore doesn't count against an upstream.
package health

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Interval is the time that one summary covers.
const Interval = time.Second

// kindRetention is the age from which a request kind without attempts is dropped if a new kind needs its place. The
// number of kinds is bounded, and the kinds of a service change with the configuration.
const kindRetention = 5 * time.Minute

// Result classifies the result of an attempt by what it says about the upstream.
type Result uint8

// Results of attempts.
const (
	// Ignored says nothing about the upstream: the attempt was canceled, refused by the upstream
	// under load, lost to a path failure, or ended by a crash that the request itself explains.
	Ignored Result = iota
	Succeeded
	// Failed is a broken connection, a truncated answer, or a status of 500 or more other than a
	// refusal under load.
	Failed
	// TimedOut is an attempt without an answer before its timeout.
	TimedOut
)

// Summary holds the results of one upstream in one interval.
type Summary struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"` // incremented with each summary
	Kinds    []KindSummary    `cbor:"3,keyasint"`
}

// KindSummary counts the attempts of one request kind.
type KindSummary struct {
	Kind      string    `cbor:"1,keyasint"`
	Succeeded uint32    `cbor:"2,keyasint"`
	Failed    uint32    `cbor:"3,keyasint"`
	Latencies Histogram `cbor:"4,keyasint"` // of succeeded and timed-out attempts
}

// Baseline is the behaviour of the peers of a service, to which an upstream is compared.
type Baseline struct {
	// Seq is the sequence number of the receiving upstream's latest summary in the pool.
	Seq   uint64         `cbor:"1,keyasint"`
	Kinds []KindBaseline `cbor:"2,keyasint"`
}

// KindBaseline is the pooled behaviour of the peers for one request kind.
type KindBaseline struct {
	Kind  string `cbor:"1,keyasint"`
	Peers int    `cbor:"2,keyasint"` // upstreams in the pool
	// FailureRate is the share of the peers' attempts that failed.
	FailureRate float64 `cbor:"3,keyasint"`
	// SlowBucket is the highest bucket of a Histogram that doesn't count as slow.
	SlowBucket int `cbor:"4,keyasint"`
	// SlowRate is the share of the peers' attempts above SlowBucket.
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

// Level says what a verdict asks for: nothing, that the upstream is avoided, or its ejection.
type Level uint8

// Levels of a verdict, in increasing order.
const (
	Healthy   Level = iota
	Suspect         // avoid the upstream
	Unhealthy       // request a permit to eject the upstream
)

// String returns the level in lower case.
func (l Level) String() string { return [...]string{"healthy", "suspect", "unhealthy", ""}[l&3] }

// Cause tells whether a test on failures or one on latency led to a verdict.
type Cause uint8

// Causes of a verdict.
const (
	CauseNone Cause = iota
	CauseFailures
	CauseLatency
)

// String returns the cause in lower case.
func (c Cause) String() string { return [...]string{"none", "failures", "latency", ""}[c&3] }

// Verdict is the detector's assessment of an upstream.
type Verdict struct {
	Level Level
	// Kind and Cause belong to the strongest evidence.
	Kind  string
	Cause Cause
	// Severity is the recent share of the attempts of Kind that failed or were slow, 0 to 1. It
	// ranks upstreams by how unhealthy they are.
	Severity float64
}
