package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// member is what this node knows about one node.
type member struct {
	id        fleet.NodeID
	status    status
	meta      meta
	upstreams map[fleet.UpstreamID]upstreamEntry
	// departures outlast the processes of the member.
	departures departures
	config     resource.Version

	hashInTable uint64 // the member's hash as included in core.table.hash
	created     time.Time
	deadSince   time.Time // set while the state is dead
	// deathDeadline is when the member is declared dead unless it refutes or acknowledges. Zero
	// unless the member is suspect, or is leaving and failed this node's probe.
	deathDeadline   time.Time
	recordRequested time.Time // last time that the member was asked for its record
}

// complete reports whether both the status and the meta of the member have arrived, so that it
// can be listed and contacted.
func (m *member) complete() bool { return m.meta.Number != 0 && m.status.Incarnation != 0 }

// live reports whether the member is complete and not dead.
func (m *member) live() bool { return m.complete() && m.status.State != fleet.NodeDead }

func (m *member) node() fleet.Node {
	n := fleet.Node{
		ID:            m.id,
		Incarnation:   m.status.Incarnation,
		Region:        m.meta.Region,
		FailureDomain: m.meta.FailureDomain,
		LinkAddr:      m.meta.LinkAddr,
		GossipAddr:    m.meta.GossipAddr,
		Control:       m.meta.Control,
		State:         m.status.State,
		ConfigVersion: m.config,
	}
	for _, e := range m.upstreams {
		if e.State != fleet.UpstreamGone {
			n.Upstreams = append(n.Upstreams, e.upstream())
		}
	}
	slices.SortFunc(n.Upstreams, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return n
}

// record returns everything known about the member.
func (m *member) record(now time.Time) record {
	r := record{Node: m.id, Status: &status{Incarnation: m.status.Incarnation, State: m.status.State}}
	if m.meta.Number != 0 {
		copied := m.meta
		r.Meta = &copied
	}
	for _, e := range m.upstreams {
		r.Upstreams = append(r.Upstreams, e)
	}
	slices.SortFunc(r.Upstreams, func(a, b upstreamEntry) int { return cmp.Compare(a.Number, b.Number) })
	v := toConfigVersion(m.config)
	r.Config = &v
	r.Departures = m.departures.entries(now)
	return r
}

// hash is equal on two nodes that know the same about the member. It leaves out suspicion and
// departures, which are short-lived, and the configuration version, which does not spread with the
// record.
func (m *member) hash() uint64 {
	var b [24]byte
	state := m.status.State
	if state == fleet.NodeSuspect {
		state = fleet.NodeAlive
	}
	putUint64(b[0:], m.status.Incarnation)
	putUint64(b[8:], uint64(state))
	putUint64(b[16:], m.meta.Number)
	sum := xxhash.Sum64(b[:])
	for _, e := range m.upstreams {
		putUint64(b[0:], xxhash.Sum64String(string(e.ID)))
		putUint64(b[8:], e.Number)
		// Addition makes the result independent of the map's order.
		sum += xxhash.Sum64(b[:16])
	}
	return sum
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

// applyMeta replaces the member's meta if the given one is newer, and reports whether it was. It
// also deletes the upstream entries that the new meta invalidates.
func (m *member) applyMeta(newer meta) bool {
	if newer.Number <= m.meta.Number {
		return false
	}
	m.meta = newer
	for id, e := range m.upstreams {
		if e.Number < newer.MinNumber {
			delete(m.upstreams, id)
		}
	}
	return true
}

// applyUpstream stores e if it is newer than the member's entry of that upstream, and reports
// whether it did. It ignores entries that exceed the limit.
func (m *member) applyUpstream(e upstreamEntry) bool {
	if e.Number < m.meta.MinNumber || e.Number <= m.upstreams[e.ID].Number {
		return false
	}
	if len(m.upstreams) >= maxUpstreams+2*maxTombstones {
		return false
	}
	m.upstreams[e.ID] = e
	return true
}
