package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// settleTime is how long a table must stay as it is, and differ from others,
// until it is taken to have missed a change. Changes under way take less.
const settleTime = 1500 * time.Millisecond

// tableState follows whether this node knows the same as the members that it
// talks to. It repairs what neither pushes nor probes have brought, long before
// the next periodic exchange.
type tableState struct {
	hash  uint64
	dirty map[*member]bool // members whose part of hash is out of date

	// differs is since when messages have shown other tables while the own one
	// was hash at the time. Zero if the last one agreed.
	differs  time.Time
	at       uint64
	partner  fleet.NodeID // the member that differed last
	repaired time.Time    // last exchange because of this
}

// tableHash is equal for two nodes that know the same of all live members. It
// is the sum of the members' hashes, so that a change costs one of them.
func (c *core) tableHash() uint64 {
	for m := range c.table.dirty {
		c.table.hash -= m.hashed
		m.hashed = 0
		if m.live() {
			m.hashed = m.hash()
		}
		c.table.hash += m.hashed
	}
	clear(c.table.dirty)
	return c.table.hash
}

func (c *core) dropFromTable(m *member) {
	delete(c.table.dirty, m)
	c.table.hash -= m.hashed
	m.hashed = 0
}

// compareTables notes whether the sender of a probe or answer knows the same.
func (c *core) compareTables(now time.Time, msg *message) {
	t := &c.table
	own := c.tableHash()
	if msg.Table == own {
		t.differs = time.Time{}
		return
	}
	// While very many changes are under way, tables don't stay as they are, and
	// an exchange moves them at a fraction of the cost.
	if t.differs.IsZero() || t.at != own && len(c.queue.items) < longBacklog {
		t.differs = now
	}
	t.at = own
	t.partner = msg.From
}

// repairPartner returns the member to exchange everything with because its
// table has differed for some time while the own one stayed as it was.
func (c *core) repairPartner(now time.Time) (addr string, ok bool) {
	t := &c.table
	if t.differs.IsZero() || t.at != c.tableHash() && len(c.queue.items) < longBacklog || now.Sub(t.differs) < settleTime ||
		now.Sub(t.repaired) < c.cfg.RepairInterval {
		return "", false
	}
	m := c.members[t.partner]
	if m == nil || !m.live() {
		return "", false
	}
	t.repaired, t.differs = now, time.Time{}
	c.counters.Repairs.Add(1)
	return m.meta.LinkAddr, true
}
