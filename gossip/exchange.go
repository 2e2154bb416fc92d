package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// digest stands for what a node knows of one member.
type digest struct {
	_    struct{} `cbor:",toarray"`
	Node fleet.NodeID
	Hash uint64
	Dead bool
}

// digests returns the digests that open a full exchange. A node that knows no
// live member sends only its own, and so gets everything.
func (c *core) digests() []digest {
	out := []digest{{Node: c.self.id, Hash: c.self.hash()}}
	if c.joining {
		return out
	}
	for _, m := range c.order {
		if m.known() {
			out = append(out, digest{Node: m.id, Hash: m.hash(), Dead: m.status.State == fleet.NodeDead})
		}
	}
	return out
}

// compare returns the records that differ from the other side's digests, and
// the members whose records the other side should send.
func (c *core) compare(theirs []digest) (records []record, want []fleet.NodeID) {
	listed := make(map[fleet.NodeID]bool, len(theirs))
	for _, d := range theirs {
		listed[d.Node] = true
		m := c.members[d.Node]
		switch {
		case m == nil || !m.known():
			// A death that is not known here is old; see apply.
			if !d.Dead {
				want = append(want, d.Node)
			}
		case m.hash() != d.Hash:
			records = append(records, m.record())
			want = append(want, d.Node)
		}
	}
	if !listed[c.self.id] {
		records = append(records, c.self.record())
	}
	for _, m := range c.order {
		if !listed[m.id] && m.live() {
			records = append(records, m.record())
		}
	}
	return records, want
}

// recordsOf returns the records of the members asked for.
func (c *core) recordsOf(want []fleet.NodeID) []record {
	var out []record
	for _, id := range want {
		if m := c.members[id]; m != nil && m.known() {
			out = append(out, m.record())
		}
	}
	return out
}

// merge takes the records of a full exchange. starting says that the exchange
// began while this node knew no live member: it then takes the other side's
// view over its own, which it had made alone.
func (c *core) merge(now time.Time, records []record, starting bool) {
	for _, r := range records {
		if m := c.members[r.Node]; m != nil && m != c.self && r.Status != nil {
			c.reconcile(now, m, r.Status, starting)
		}
		c.apply(now, r)
		c.mergeConfig(&r)
	}
	if starting {
		// Nothing of this is news to the others.
		c.settleOthers()
	}
	c.settleBulk(now)
	c.enterBulk(now)
	if c.queue.hasFresh() {
		c.schedulePush(now)
	}
}

// reconcile treats claims of death. They are no news in an exchange: a node
// that is held alive here is probed instead, since one that returns from an
// isolation holds everybody dead.
func (c *core) reconcile(now time.Time, m *member, s *status, starting bool) {
	same := s.Incarnation == m.status.Incarnation
	switch {
	case s.State == fleet.NodeDead && m.live():
		c.probeSoon(m)
		*s = m.status
	case starting && same && m.status.State == fleet.NodeDead && s.State != fleet.NodeDead:
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

// settleOthers drops all queued changes but the own.
func (c *core) settleOthers() {
	c.queue.removeIf(func(p part) bool { return p.node != c.self.id })
}

// exchangePartner returns a random member for a full exchange, now and then a
// dead one. ok is false if none is known.
func (c *core) exchangePartner() (addr string, ok bool) {
	c.views()
	list := c.local
	if len(c.remote) > 0 && (len(list) == 0 || c.rand.IntN(remotePushOdds) == 0) {
		list = c.remote
	}
	if len(c.dead) > 0 && (len(list) == 0 || c.rand.IntN(remotePushOdds) == 0) {
		list = c.dead
	}
	for _, m := range c.choose(list, 1, "") {
		return m.meta.LinkAddr, true
	}
	return "", false
}
