package gossip

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

type messageKind uint8

const (
	kindPing          messageKind = iota + 1 // asks the receiver for an ack
	kindAck                                  // acknowledges a ping, or reports an ack by Subject
	kindIndirectPing                         // asks the receiver to ping Subject
	kindPush                                 // carries changes, or just the sender's new configuration version
	kindRecordRequest                        // asks the receiver for its record of Subject
	kindStore                                // asks a control VM to store the departures that it carries
	kindStored                               // answers kindStore once they are on the disk
)

// message is the content of one datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	From        fleet.NodeID
	Incarnation uint64 // of the sender
	Config      configVersion
	Table       uint64       // see core.tableHash
	Probe       uint64       // number of the probe, chosen by the node that expects the ack
	Subject     fleet.NodeID // the node that is pinged indirectly or whose record is requested
	Updates     []cbor.RawMessage
}

// configVersion is a resource.Version that is encoded as an array, to save bytes.
type configVersion struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Revision uint64
}

func (v configVersion) version() resource.Version {
	return resource.Version{Epoch: v.Epoch, Revision: v.Revision}
}

func toConfigVersion(v resource.Version) configVersion {
	return configVersion{Epoch: v.Epoch, Revision: v.Revision}
}

// record is what is known about a node, or a part of that. In a datagram, each record carries one
// part: the status, the meta, one upstream or one departure. In a full exchange, it carries all of them.
type record struct {
	Node      fleet.NodeID    `cbor:"1,keyasint"`
	Status    *status         `cbor:"2,keyasint,omitempty"`
	Meta      *meta           `cbor:"3,keyasint,omitempty"`
	Upstreams []upstreamEntry `cbor:"4,keyasint,omitempty"`
	Config    *configVersion  `cbor:"5,keyasint,omitempty"`
	// Departures are kept apart from Upstreams, since they outlast the process of their node.
	Departures []departureEntry `cbor:"6,keyasint,omitempty"`
}

// status is a node's state at an incarnation. The higher incarnation wins, then the later state.
type status struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	State       fleet.NodeState
}

// supersedes reports whether s replaces old.
func (s status) supersedes(old status) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.State > old.State
}

// meta is the part of a node's record that rarely changes. A node numbers its meta and its
// upstream entries from one counter, which keeps growing across restarts. The higher number wins.
type meta struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// MinNumber is the lowest valid number: upstream entries with lower numbers are deleted.
	MinNumber     uint64
	Region        string
	FailureDomain string
	LinkAddr      string
	GossipAddr    string
	Control       bool
}

// upstreamEntry is one upstream of a node. An entry in state UpstreamGone is kept as a tombstone
// until meta.MinNumber is higher than its number.
type upstreamEntry struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	ID        fleet.UpstreamID
	Service   string
	Slots     int
	State     fleet.UpstreamState
	WarmUntil int64 // Unix time in ms, 0 for none
	Suspect   bool
	Ejected   bool
	Trial     bool
}

func (e upstreamEntry) upstream() fleet.Upstream {
	u := fleet.Upstream{ID: e.ID, Service: e.Service, Slots: e.Slots, State: e.State, Suspect: e.Suspect, Ejected: e.Ejected, Trial: e.Trial}
	if e.WarmUntil != 0 {
		u.WarmUntil = time.UnixMilli(e.WarmUntil)
	}
	return u
}

func toEntry(u fleet.Upstream, number uint64) upstreamEntry {
	e := upstreamEntry{
		Number: number, ID: u.ID, Service: u.Service, Slots: u.Slots, State: u.State,
		Suspect: u.Suspect, Ejected: u.Ejected, Trial: u.Trial,
	}
	if !u.WarmUntil.IsZero() {
		e.WarmUntil = u.WarmUntil.UnixMilli()
	}
	return e
}

// bootShift is the number of low bits of an incarnation that count the refutations of a process.
// The bits above hold the start time of the process.
const bootShift = 20

// firstIncarnation returns the initial incarnation of a process that starts at now.
func firstIncarnation(now time.Time) uint64 { return uint64(now.UnixMilli()) << bootShift }

// Boot returns the part of an incarnation that changes only when the process restarts: its start
// time. Two incarnations with the same boot belong to the same process.
func Boot(incarnation uint64) uint64 { return incarnation >> bootShift }

// Limits on the content of messages and full exchanges.
const (
	maxName        = 255  // length of IDs, names and addresses, in bytes
	maxUpdates     = 256  // changes in a datagram
	maxListed      = 8192 // elements of an array in a full exchange
	maxUpstreams   = 64   // upstreams of a node; with tombstones and the longest names, they fit a frame
	maxNestedLevel = 8
)

var (
	datagramDecoding = mustDecMode(maxUpdates)
	streamDecoding   = mustDecMode(maxListed)

	errMalformed = errors.New("gossip: malformed message")
)

func mustDecMode(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: elements,
		MaxMapPairs:      16,
		MaxNestedLevels:  maxNestedLevel,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// valid reports whether other nodes would accept r, a record with one part.
func (r *record) valid() bool { return r.check() == nil && len(mustEncode(r)) <= maxItem }

// mustEncode encodes a value of one of this package's types. That never fails.
func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("gossip: encode %T: %v", v, err))
	}
	return b
}

// decodeMessage decodes the message in b and the records that it carries.
func decodeMessage(b []byte) (message, []record, error) {
	var m message
	if err := datagramDecoding.Unmarshal(b, &m); err != nil {
		return message{}, nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if m.Kind < kindPing || m.Kind > kindStored || !validName(string(m.From)) || len(m.Subject) > maxName {
		return message{}, nil, errMalformed
	}
	records := make([]record, len(m.Updates))
	for i, raw := range m.Updates {
		if err := datagramDecoding.Unmarshal(raw, &records[i]); err != nil {
			return message{}, nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		if err := records[i].check(); err != nil {
			return message{}, nil, err
		}
	}
	return m, records, nil
}

// validName reports whether others can decode a name, and accept it.
func validName(s string) bool { return s != "" && len(s) <= maxName && utf8.ValidString(s) }

func (r *record) check() error {
	ok := validName(string(r.Node)) && (r.Status == nil || r.Status.State <= fleet.NodeDead)
	if m := r.Meta; m != nil {
		ok = ok && len(m.Region) <= maxName && len(m.FailureDomain) <= maxName &&
			len(m.LinkAddr) <= maxName && validName(m.GossipAddr)
	}
	for _, u := range r.Upstreams {
		ok = ok && validName(string(u.ID)) && len(u.Service) <= maxName && u.State <= fleet.UpstreamGone
	}
	for _, d := range r.Departures {
		ok = ok && validName(string(d.Upstream))
	}
	if !ok {
		return fmt.Errorf("%w: invalid record of node %q", errMalformed, r.Node)
	}
	return nil
}
