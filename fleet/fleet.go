// Package fleet defines the nodes and upstreams of the fleet, as membership distributes them
// and as ingress and dispatcher use them.
package fleet

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// NodeID identifies one godwithub-node process. With TLS, it is the name in its certificate.
type NodeID string

// UpstreamID identifies one upstream process and is unique in the fleet.
type UpstreamID string

// NodeState is the state of a node in membership.
type NodeState uint8

// States of a node. Of two states at the same incarnation, the later one in this list
// overrides the other.
const (
	NodeAlive NodeState = iota
	NodeSuspect
	NodeLeaving // graceful shutdown: takes no new requests
	NodeDead
)

// String returns the state in lower case.
func (s NodeState) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s&3]
}

// UpstreamState is the state that a node advertises for one of its upstreams.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamWarming
	UpstreamDraining
	UpstreamGone
)

// String returns the state in lower case.
func (s UpstreamState) String() string {
	return [...]string{"ready", "warming", "draining", "gone"}[s&3]
}

// Upstream is one upstream as its node advertises it to the fleet.
type Upstream struct {
	ID        UpstreamID    `cbor:"1,keyasint" json:"id"`
	Service   string        `cbor:"2,keyasint" json:"service"`
	Slots     int           `cbor:"3,keyasint" json:"slots"` // requests it runs at once
	State     UpstreamState `cbor:"4,keyasint" json:"state"`
	WarmUntil time.Time     `cbor:"5,keyasint" json:"warmUntil"` // end of its cold start
	// Suspect says that the fleet should avoid the upstream, because the evidence of its node
	// indicates that it is unhealthy or it is ejected.
	Suspect bool `cbor:"6,keyasint,omitempty" json:"suspect,omitempty"`
	// Ejected says that the service's group has granted its ejection.
	Ejected bool `cbor:"7,keyasint,omitempty" json:"ejected,omitempty"`
	// Trial says that it is on trial after an ejection and gets a few requests.
	Trial bool `cbor:"8,keyasint,omitempty" json:"trial,omitempty"`
}

// Node is one node as membership knows it.
type Node struct {
	ID            NodeID           `cbor:"1,keyasint" json:"id"`
	Incarnation   uint64           `cbor:"2,keyasint" json:"incarnation"` // increases with each restart and each refuted suspicion
	Region        string           `cbor:"3,keyasint" json:"region"`
	FailureDomain string           `cbor:"4,keyasint" json:"failureDomain"`
	LinkAddr      string           `cbor:"5,keyasint" json:"linkAddr"`   // IP:port for streams between nodes
	GossipAddr    string           `cbor:"6,keyasint" json:"gossipAddr"` // IP:port for membership datagrams
	State         NodeState        `cbor:"7,keyasint" json:"state"`
	Upstreams     []Upstream       `cbor:"8,keyasint" json:"upstreams"`
	ConfigVersion resource.Version `cbor:"9,keyasint" json:"config"` // configuration in force at the node
	// Control marks a control VM, which takes part in membership only to learn of the
	// nodes. It neither serves nor relays requests.
	Control bool `cbor:"10,keyasint,omitempty" json:"control,omitempty"`
}

// NodesOnly returns the members that are not control VMs.
func NodesOnly(members []Node) []Node {
	return slices.DeleteFunc(slices.Clone(members), func(n Node) bool { return n.Control })
}

// Usable reports whether the node may be given new requests.
func (n *Node) Usable() bool { return n.State == NodeAlive || n.State == NodeSuspect }

// Departure is what an upstream has said about its own end: that it drains, or that it has left. It holds
// for the process of the upstream that started at StartMs, and for earlier ones. The other nodes keep it for
// the node of its VM, which would forget it with a restart.
type Departure struct {
	Upstream UpstreamID `cbor:"1,keyasint"`
	// StartMs is the start of the upstream's process in Unix milliseconds.
	StartMs int64 `cbor:"2,keyasint,omitempty"`
	// Sequence is the sequence number of the announcement in which the upstream said that it drains.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Gone is set once the upstream has left.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// Supersedes reports whether d says more than old, a departure of the same upstream.
func (d Departure) Supersedes(old Departure) bool {
	switch {
	case d.StartMs != old.StartMs:
		return d.StartMs > old.StartMs
	case d.Gone != old.Gone:
		return d.Gone
	}
	return d.Sequence > old.Sequence
}

// KeptDeparture is a departure that a member of the fleet keeps for a node.
type KeptDeparture struct {
	Node       NodeID    `cbor:"1,keyasint"`
	Departure  Departure `cbor:"2,keyasint"`
	RecordedAt time.Time `cbor:"3,keyasint"` // when the node recorded it, by the clock of the member
}
