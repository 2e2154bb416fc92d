// Package ejection decides which upstreams of a service may be ejected. A Ledger is a
// deterministic state machine that the service's idempotency group replicates. An
// ejection needs a permit, which is granted only if the remaining capacity is at or
// above the service's floor. Permits need a quorum of the group, so the floor holds
// during partitions too.
//
// Capacity is the number of upstreams that are registered under an unexpired lease,
// warm, not draining and in service. Upstreams that are ejected, on trial or in slow
// start don't count.
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
	// OpSetFloor sets a service's floor, unless Epoch and Revision are older than those
	// of the present floor.
	OpSetFloor Operation = iota + 1
	// OpRegister lists all upstreams that a node has of the service and renews their
	// leases. The leases of upstreams that the node no longer lists end.
	OpRegister
	// OpEject asks for a permit to eject Upstream.
	OpEject
	// OpTrial reports the result of a trial of Upstream.
	OpTrial
)

// Command is a command to a Ledger, replicated as a log entry.
type Command struct {
	Operation Operation `cbor:"1,keyasint"`
	Service   string    `cbor:"2,keyasint"`
	// Node is the node that proposes the command.
	Node fleet.NodeID `cbor:"3,keyasint"`
	// At is the proposer's time in milliseconds since an arbitrary fixed point. Only
	// differences between commands of the same proposer matter.
	At int64 `cbor:"4,keyasint"`

	// Fields of OpSetFloor. Epoch and Revision are those of the configuration.
	Floor    int    `cbor:"5,keyasint,omitempty"`
	Epoch    uint64 `cbor:"6,keyasint,omitempty"`
	Revision uint64 `cbor:"7,keyasint,omitempty"`

	// Fields of OpRegister.
	Upstreams []Registration `cbor:"8,keyasint,omitempty"`
	LeaseMs   int64          `cbor:"9,keyasint,omitempty"` // 1 s to 60 s

	// Fields of OpEject and OpTrial.
	Upstream fleet.UpstreamID `cbor:"10,keyasint,omitempty"`
	// Severity says how unhealthy the upstream is. When capacity is missing, ejected
	// upstreams return to service in the order of their severity, the lowest first.
	Severity float64 `cbor:"11,keyasint,omitempty"`
	// Trial identifies the trial that ended by the value of Status.Ejections.
	Trial  uint64 `cbor:"12,keyasint,omitempty"`
	Passed bool   `cbor:"13,keyasint,omitempty"`
}

// Registration describes an upstream of the proposing node.
type Registration struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	// WarmInMs is the remaining time of its cold start, in milliseconds.
	WarmInMs int64 `cbor:"2,keyasint,omitempty"`
	Draining bool  `cbor:"3,keyasint,omitempty"`
}

// State is the state of an upstream in a Ledger.
type State uint8

// States of an upstream.
const (
	InService State = iota
	Ejected         // gets no work until its hold-down ends
	OnTrial         // gets a small amount of idempotent work below the most urgent rank
	SlowStart       // passed its trial; its share of the work increases
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"in service", "ejected", "on trial", "slow start"}[s&3]
}

// Denial says why a command was denied.
type Denial string

// Denials. Granted means that the command was carried out.
const (
	Granted         Denial = ""
	DeniedFloor     Denial = "floor"      // capacity would fall below the floor
	DeniedNoFloor   Denial = "no-floor"   // the service's floor is not known
	DeniedUnknown   Denial = "unknown"    // the upstream is not registered, or its lease has expired
	DeniedStale     Denial = "stale"      // an older configuration, or a trial that is over
	DeniedMalformed Denial = "malformed"  // the command can't be decoded or has invalid fields
	DeniedFull      Denial = "table-full" // too many services, upstreams or nodes
)

// Result is the result of a command.
type Result struct {
	Denial Denial `cbor:"1,keyasint,omitempty"`
	// Capacity and Floor are those of the service after the command.
	Capacity int `cbor:"2,keyasint"`
	Floor    int `cbor:"3,keyasint"`
	// Upstreams holds the states of the proposer's upstreams of the service, and of the
	// upstream that the command names.
	Upstreams []Status `cbor:"4,keyasint,omitempty"`
}

// Status is the state of one upstream.
type Status struct {
	Upstream fleet.UpstreamID `cbor:"1,keyasint"`
	State    State            `cbor:"2,keyasint"`
	// RemainingMs is the remaining time of a hold-down or a slow start.
	RemainingMs int64 `cbor:"3,keyasint,omitempty"`
	// Ejections counts the ejections. It also identifies the trial after the last one.
	Ejections uint64 `cbor:"4,keyasint,omitempty"`
}

// Weight returns the fraction of its slots that the upstream should use, 0 to 1.
func (s *Status) Weight() float64 {
	switch s.State {
	case InService:
		return 1
	case SlowStart:
		return max(1-float64(s.RemainingMs)/float64(slowStartDuration.Milliseconds()), minSlowStartWeight)
	}
	return 0
}

// minSlowStartWeight is the weight at the beginning of slow start.
const minSlowStartWeight = 0.1

var encMode = mustEncMode()

// mustEncMode returns a deterministic encoding, which gives equal bytes for equal values
// on every replica.
func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoding of a command.
func Encode(c Command) ([]byte, error) {
	b, err := encMode.Marshal(c)
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
	// baseHoldDown is the hold-down of the first ejection. Each further ejection doubles
	// it, up to maxHoldDown.
	baseHoldDown = 30 * time.Second
	maxHoldDown  = 30 * time.Minute
	// holdDownDecay is the time in service after which one doubling is undone.
	holdDownDecay = 10 * time.Minute
	// slowStartDuration is the time from a passed trial until the upstream gets its full
	// share of the work.
	slowStartDuration = 20 * time.Second

	minLease = time.Second
	maxLease = time.Minute
	// maxClockStep bounds how far one command advances the ledger's time, so that a jump
	// of a proposer's clock doesn't expire all leases.
	maxClockStep = 5 * time.Second
	// retention is how long an upstream is kept after its lease has expired, and a
	// proposer's clock after its last command. It is longer than holdDownDecay, so that
	// a restart doesn't clear a hold-down.
	retention = time.Hour

	maxServices  = 4096
	maxUpstreams = 4096 // of one service
	maxNodes     = 4096
)
