package wire

import (
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/link"
)

// Frame types of evidence on upstreams.
const (
	FrameSummaries link.FrameType = 48 // Summaries, dispatcher to aggregator
	FrameBaselines link.FrameType = 49 // Baselines, its answer
	FrameCrash     link.FrameType = 50 // Crash, to the other dispatchers of a service
	FrameDone      link.FrameType = 51 // empty answer
)

// Summaries carries what a node's upstreams of one service did lately.
type Summaries struct {
	Service   string           `cbor:"1,keyasint"`
	Summaries []health.Summary `cbor:"2,keyasint"`
}

// Baselines answers Summaries, in the same order.
type Baselines struct {
	Baselines []health.Baseline `cbor:"1,keyasint"`
}

// Crash reports the requests in flight when an upstream crashed.
type Crash struct {
	Upstream     fleet.UpstreamID `cbor:"1,keyasint"`
	Service      string           `cbor:"2,keyasint"`
	Fingerprints []uint64         `cbor:"3,keyasint"`
}
