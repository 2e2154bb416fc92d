package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// member is what this node knows of one node.
type member struct {
	id        fleet.NodeID
	status    status
	meta      meta
	upstreams map[fleet.UpstreamID]upstreamEntry
	config    resource.Version

	hashed    uint64 // the member's part of core.table
	created   time.Time
	deadSince time.Time // set while the state is dead
	// deadline is when a silent node is declared dead. Zero unless suspected.
	deadline time.Time
	wanted   time.Time // last time that its record was asked for
}

// known reports whether the member can be shown and contacted. One of which
// only a part has arrived can't.
func (m *member) known() bool { return m.meta.Number != 0 && m.status.Incarnation != 0 }

// live reports whether the member takes part in probes.
func (m *member) live() bool { return m.known() && m.status.State != fleet.NodeDead }

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
		Config:        m.config,
	}
	for _, e := range m.upstreams {
		if e.State != fleet.UpstreamGone {
			n.Upstreams = append(n.Upstreams, e.upstream())
		}
	}
	slices.SortFunc(n.Upstreams, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return n
}

// record returns everything known of the member.
func (m *member) record() record {
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
	return r
}

// hash is equal for two holders that know the same of the member. Suspicion is
// left out, since it is brief, and the configuration version, since it does
// not travel with the record.
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

// applyMeta takes x if it is newer and reports whether it was.
func (m *member) applyMeta(x meta) bool {
	if x.Number <= m.meta.Number {
		return false
	}
	m.meta = x
	for id, e := range m.upstreams {
		if e.Number < x.First {
			delete(m.upstreams, id)
		}
	}
	return true
}

// applyUpstream takes e if it is newer and reports whether it was.
func (m *member) applyUpstream(e upstreamEntry) bool {
	if e.Number < m.meta.First || e.Number <= m.upstreams[e.ID].Number {
		return false
	}
	if len(m.upstreams) >= maxUpstreams+2*maxTombstones {
		return false
	}
	m.upstreams[e.ID] = e
	return true
}
