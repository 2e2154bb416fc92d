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
}
