package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// digest summarizes what a node knows about one member.
type digest struct {
	_    struct{} `cbor:",toarray"`
	Node fleet.NodeID
	Hash uint64
	Dead bool
}

// digests returns the digests that start a full exchange. A node that knows no live member sends
// only its own, and so receives all records.
func (c *core) digests() []digest {
	out := []digest{{Node: c.self.id, Hash: c.self.hash()}}
	if c.joining {
		return out
	}
	for _, m := range c.peers {
		if m.complete() {
			out = append(out, digest{Node: m.id, Hash: m.hash(), Dead: m.status.State == fleet.NodeDead})
		}
	}
	return out
}

// compareDigests returns the records that differ from the other side's digests, and the members
// whose records the other side should send.
func (c *core) compareDigests(now time.Time, theirDigests []digest) (records []record, want []fleet.NodeID) {
	listed := make(map[fleet.NodeID]bool, len(theirDigests))
	for i, d := range theirDigests {
		listed[d.Node] = true
		m := c.members[d.Node]
		if i == 0 && (m == nil || !m.complete() || m.hash() == d.Hash) {
			// The first one is the other side itself, which may have restarted.
			if r := c.departuresOf(now, d.Node); r != nil {
				records = append(records, *r)
			}
		}
		switch {
		case m == nil || !m.complete():
			// The death of a member that is unknown here is old; see applyRecord.
			if !d.Dead {
				want = append(want, d.Node)
			}
		case m.hash() != d.Hash:
			records = append(records, m.record(now))
			want = append(want, d.Node)
		}
	}
	if !listed[c.self.id] {
		records = append(records, c.self.record(now))
	}
	for _, m := range c.peers {
		if !listed[m.id] && m.live() {
			records = append(records, m.record(now))
		}
	}
	return records, want
}

// recordsOf returns the records of those requested members that are complete.
func (c *core) recordsOf(now time.Time, want []fleet.NodeID) []record {
	var out []record
	for _, id := range want {
		if m := c.members[id]; m != nil && m.complete() {
			out = append(out, m.record(now))
		}
	}
	return out
}

// mergeRecords merges the records of a full exchange. wasJoining says that this node knew no live
// member when the exchange began: its own view was then formed in isolation, and the other side's
// view replaces it.
func (c *core) mergeRecords(now time.Time, records []record, wasJoining bool) {
	for _, r := range records {
		if m := c.members[r.Node]; m != nil && m != c.self && r.Status != nil {
			c.reconcile(now, m, r.Status, wasJoining)
		}
		c.applyRecord(now, r)
		c.mergeConfig(&r)
	}
	if wasJoining {
		// The other members already know these changes, except departures that outlived all processes.
		c.dropOthersChanges()
		c.queueStoredDepartures(now)
	}
	c.finishBulkExchange(now)
	c.enterBulk(now)
	if c.queue.hasFresh() {
		c.schedulePush(now)
	}
}

// reconcile handles records that disagree with the local state on whether a member is dead. A
// claim of death is not accepted from an exchange, since a node that was isolated believes that
// all others are dead: a member that is live here is probed soon instead. If wasJoining is set, a
// member that is dead here is revived when the other side does not hold it dead.
func (c *core) reconcile(now time.Time, m *member, s *status, wasJoining bool) {
	sameIncarnation := s.Incarnation == m.status.Incarnation
	switch {
	case s.State == fleet.NodeDead && m.live():
		c.probeSoon(m)
		*s = m.status
	case wasJoining && sameIncarnation && m.status.State == fleet.NodeDead && s.State != fleet.NodeDead:
		c.setStatus(now, m, *s)
	}
}

func (c *core) mergeConfig(r *record) {
	m := c.members[r.Node]
	if m == nil || m == c.self || r.Config == nil || r.Status == nil {
		return
	}
	v := r.Config.version()
	if Boot(r.Status.Incarnation) == Boot(m.status.Incarnation) && m.config.Less(v) {
		m.config = v
		c.changed[m.id] = true
	}
}

// dropOthersChanges drops all queued changes except those of this node.
func (c *core) dropOthersChanges() {
	c.queue.removeIf(func(p recordPart) bool { return p.node != c.self.id })
}

// exchangePartner returns the link address of a random member for a full exchange, occasionally of
// a dead one. ok is false if no member is known.
func (c *core) exchangePartner() (addr string, ok bool) {
	c.refreshViews()
	list := c.sameRegion
	if len(c.otherRegions) > 0 && (len(list) == 0 || c.rand.IntN(remoteOdds) == 0) {
		list = c.otherRegions
	}
	if len(c.dead) > 0 && (len(list) == 0 || c.rand.IntN(remoteOdds) == 0) {
		list = c.dead
	}
	for _, m := range c.chooseRandom(list, 1, "") {
		return m.meta.LinkAddr, true
	}
	return "", false
}
