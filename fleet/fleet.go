// Package fleet holds the identities of the system's nodes and upstreams, as
// membership spreads them and as the traffic parts read them.
package fleet

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// NodeID names one godwithub-node process. It is the name in its certificate.
type NodeID string

// UpstreamID names one upstream process, unique in the fleet.
type UpstreamID string

// NodeState is what membership holds of a node.
type NodeState uint8

// States of a node, in the order in which they override each other at the
// same incarnation.
const (
	NodeAlive NodeState = iota
	NodeSuspect
	NodeLeaving // graceful shutdown: no new work
	NodeDead
)

// String returns the state in lower case.
func (s NodeState) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s&3]
}

// UpstreamState is what a node says of one of its upstreams.
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

// Upstream is one upstream as its node announces it to the fleet.
type Upstream struct {
	ID        UpstreamID    `cbor:"1,keyasint" json:"id"`
	Service   string        `cbor:"2,keyasint" json:"service"`
	Slots     int           `cbor:"3,keyasint" json:"slots"` // requests it runs at once
	State     UpstreamState `cbor:"4,keyasint" json:"state"`
	WarmUntil time.Time     `cbor:"5,keyasint" json:"warmUntil"` // end of its cold start
	// Suspect says that its dispatcher's evidence speaks against it.
	Suspect bool `cbor:"6,keyasint,omitempty" json:"suspect,omitempty"`
	// Ejected says that the service's group has granted its ejection.
	Ejected bool `cbor:"7,keyasint,omitempty" json:"ejected,omitempty"`
	// Trial says that it is tested after an ejection and gets a little work.
	Trial bool `cbor:"8,keyasint,omitempty" json:"trial,omitempty"`
}

// Node is one node as membership knows it.
type Node struct {
	ID            NodeID           `cbor:"1,keyasint" json:"id"`
	Incarnation   uint64           `cbor:"2,keyasint" json:"incarnation"` // grows with each restart and each refuted suspicion
	Region        string           `cbor:"3,keyasint" json:"region"`
	FailureDomain string           `cbor:"4,keyasint" json:"failureDomain"`
	LinkAddr      string           `cbor:"5,keyasint" json:"linkAddr"`   // IP:port for streams between nodes
	GossipAddr    string           `cbor:"6,keyasint" json:"gossipAddr"` // IP:port for membership datagrams
	State         NodeState        `cbor:"7,keyasint" json:"state"`
	Upstreams     []Upstream       `cbor:"8,keyasint" json:"upstreams"`
	Config        resource.Version `cbor:"9,keyasint" json:"config"` // configuration in force at the node
	// Control marks a control VM, which takes part in membership to see the
	// fleet. It takes no requests and relays none.
	Control bool `cbor:"10,keyasint,omitempty" json:"control,omitempty"`
}

// NodesOnly returns the members that are not control VMs.
func NodesOnly(members []Node) []Node {
	return slices.DeleteFunc(slices.Clone(members), func(n Node) bool { return n.Control })
}

// Usable reports whether the node may be given new work.
func (n *Node) Usable() bool { return n.State == NodeAlive || n.State == NodeSuspect }
