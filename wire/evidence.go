package wire

import (
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/link"
)

// Frame types of evidence about the health of upstreams.
const (
	FrameSummaries link.FrameType = 48 // Summaries, dispatcher to aggregator
	FrameBaselines link.FrameType = 49 // Baselines, the answer to FrameSummaries
	FrameCrash     link.FrameType = 50 // Crash, to the other dispatchers of a service
	FrameDone      link.FrameType = 51 // empty answer, also used for FramePing
	FrameSurvival  link.FrameType = 52 // Survival, to the other dispatchers of a service
)

// Summaries carries the recent results of a node's upstreams of one service.
type Summaries struct {
	Service   string           `cbor:"1,keyasint"`
	Summaries []health.Summary `cbor:"2,keyasint"`
}

// Baselines answers Summaries. The baselines are in the order of the summaries.
type Baselines struct {
	Baselines []health.Baseline `cbor:"1,keyasint"`
}

// Crash reports the fingerprints of the requests that were in flight at an upstream when it
// crashed.
type Crash struct {
	Upstream     fleet.UpstreamID `cbor:"1,keyasint"`
	Service      string           `cbor:"2,keyasint"`
	Fingerprints []uint64         `cbor:"3,keyasint"`
	// Runs describes the requests in the order of Fingerprints. A node of an earlier version sends none.
	Runs []InterruptedRun `cbor:"4,keyasint,omitempty"`
}

// InterruptedRun describes a request that was in flight at a crash.
type InterruptedRun struct {
	AgeMs int64 `cbor:"1,keyasint"` // how long it was in flight
	// AnsweredAgoMs is how long ago the reporting node last saw such a request answered, or 0 if it has seen none.
	AnsweredAgoMs int64 `cbor:"2,keyasint,omitempty"`
}

// Survival reports that an upstream has answered a request that was in flight at crashes before.
type Survival struct {
	Fingerprint   uint64 `cbor:"1,keyasint"`
	AnsweredAgoMs int64  `cbor:"2,keyasint"`
}
