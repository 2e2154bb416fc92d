// Package ejection decides which upstreams may be ejected from a service. A
// Ledger is a deterministic state machine that the service's idempotency group
// replicates: an ejection needs a permit, and a permit is granted only while
// the capacity that remains stays at or above the service's floor. Without a
// majority of the group there is no permit, so the floor holds in partitions.
//
// Capacity is the number of upstreams that are registered under a live lease,
// warm, not draining and in service. Upstreams that are ejected, on trial or in
// slow start don't count.
package ejection

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// Operation selects what a command does.
type Operation uint8

// Operations.
const (
	// OpSetFloor sets a service's floor, if Version is newer than the last.
	OpSetFloor Operation = iota + 1
	// OpRegister renews the leases of a node's upstreams, all that it has of
	// the service. Those that it no longer lists end.
	OpRegister
	// OpEject asks for a permit to eject Upstream.
	OpEject
	// OpTrial reports the end of a trial of Upstream.
	OpTrial
)

// Command is an entry for a Ledger.
type Command struct {
	Operation Operation `cbor:"1,keyasint"`
	Service   string    `cbor:"2,keyasint"`
	// Node is the proposer.
	Node fleet.NodeID `cbor:"3,keyasint"`
	// At is the proposer's time in milliseconds since any fixed point. Only
	// differences between commands of one proposer matter.
	At int64 `cbor:"4,keyasint"`

	// Of OpSetFloor. Epoch and Revision are those of the configuration.
	Floor    int    `cbor:"5,keyasint,omitempty"`
	Epoch    uint64 `cbor:"6,keyasint,omitempty"`
	Revision uint64 `cbor:"7,keyasint,omitempty"`

	// Of OpRegister.
	Upstreams []Registration `cbor:"8,keyasint,omitempty"`
	LeaseMs   int64          `cbor:"9,keyasint,omitempty"` // 1 s to 60 s

	// Of OpEject and OpTrial.
	Upstream fleet.UpstreamID `cbor:"10,keyasint,omitempty"`
	// Severity orders ejected upstreams: the least goes back first.
	Severity float64 `cbor:"11,keyasint,omitempty"`
	// Trial is the number of the trial that ended, from Status.Ejections.
	Trial  uint64 `cbor:"12,keyasint,omitempty"`
	Passed bool   `cbor:"13,keyasint,omitempty"`
}

// Registration is one upstream of a node.
type Registration struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	// WarmInMs is the time left of its cold start, in milliseconds.
	WarmInMs int64 `cbor:"2,keyasint,omitempty"`
	Draining bool  `cbor:"3,keyasint,omitempty"`
}

// State is the state of an upstream in a Ledger.
type State uint8

// States of an upstream.
const (
	InService State = iota
	Ejected         // gets no work until its hold-down ends
	OnTrial         // gets a little idempotent work of low rank
	SlowStart       // passed its trial; its part of the work grows
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"in service", "ejected", "on trial", "slow start"}[s&3]
}

// Denial says why a command had no effect.
type Denial string

// Denials. Granted means that it had.
const (
	Granted         Denial = ""
	DeniedFloor     Denial = "floor"      // capacity would fall below the floor
	DeniedNoFloor   Denial = "no-floor"   // the service's floor is not known
	DeniedUnknown   Denial = "unknown"    // the upstream is not registered
	DeniedStale     Denial = "stale"      // an older version, or an earlier trial
	DeniedMalformed Denial = "malformed"  // the command can't be decoded
	DeniedFull      Denial = "table-full" // too many upstreams or nodes
)

// Result is the result of a command.
type Result struct {
	Denial Denial `cbor:"1,keyasint,omitempty"`
	// Capacity and Floor are those of the service after the command.
	Capacity int `cbor:"2,keyasint"`
	Floor    int `cbor:"3,keyasint"`
	// Upstreams are the states of the proposer's upstreams of the service, and
	// of the upstream that the command names.
	Upstreams []Status `cbor:"4,keyasint,omitempty"`
}

// Status is the state of one upstream.
type Status struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	State    State            `cbor:"2,keyasint"`
	// RemainingMs is the time left of a hold-down or a slow start.
	RemainingMs int64 `cbor:"3,keyasint,omitempty"`
	// Ejections counts the ejections; a trial is named by it.
	Ejections uint64 `cbor:"4,keyasint,omitempty"`
}

// Weight returns the part of its slots that an upstream should get in slow
// start, 0 to 1.
func (s *Status) Weight() float64 {
	switch s.State {
	case InService:
		return 1
	case SlowStart:
		return max(1-float64(s.RemainingMs)/float64(slowStart.Milliseconds()), minWeight)
	}
	return 0
}

// minWeight is the weight at the beginning of slow start.
const minWeight = 0.1

var encoding = mustEncoding()

// mustEncoding returns an encoding that gives equal bytes for equal values on
// every replica.
func mustEncoding() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoding of a command.
func Encode(c Command) ([]byte, error) {
	b, err := encoding.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("ejection: encode command: %w", err)
	}
	return b, nil
}

// DecodeResult decodes what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Result{}, fmt.Errorf("ejection: decode result: %w", err)
	}
	return r, nil
}

const (
	// baseHold is the hold-down of a first ejection. Each further one doubles
	// it, up to maxHold.
	baseHold = 30 * time.Second
	maxHold  = 30 * time.Minute
	// holdDecay is the time in service that takes one doubling back.
	holdDecay = 10 * time.Minute
	// slowStart is the time from a passed trial to the whole part of the work.
	slowStart = 20 * time.Second

	minLease = time.Second
	maxLease = time.Minute
	// maxStep bounds how far one command moves the ledger's time, so that a
	// proposer whose clock jumps doesn't end all leases.
	maxStep = 5 * time.Second
	// forgetAfter drops an upstream without a lease, and a silent proposer. It
	// is longer than holdDecay, so that a restart doesn't clear a hold-down.
	forgetAfter = time.Hour

	maxServices  = 4096
	maxUpstreams = 4096 // of one service
	maxNodes     = 4096
)
