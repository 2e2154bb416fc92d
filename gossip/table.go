package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// repairDelay is how long this node's table must stay unchanged and differ from those of other
// members before a missed change is assumed. Changes that are still spreading take less time.
const repairDelay = 1500 * time.Millisecond

// tableState tracks whether this node's membership table (what it knows about all live members)
// equals those of the members that it exchanges probes with. If it does not, a repair exchange
// brings the changes that neither pushes nor probes have brought, long before the next periodic
// exchange.
type tableState struct {
	hash  uint64
	dirty map[*member]bool // members whose hashInTable is outdated

	// differsSince is the time since which received table hashes have differed from this node's hash,
	// while that stayed at ownHash. Zero if the last one received was equal.
	differsSince time.Time
	ownHash      uint64
	partner      fleet.NodeID // the last member whose table differed
	lastRepair   time.Time    // time of the last repair exchange
}

// tableHash is equal on two nodes that know the same about all live members. It is the sum of the
// members' hashes, so that after a change only the hash of that member is recomputed.
func (c *core) tableHash() uint64 {
	for m := range c.table.dirty {
		c.table.hash -= m.hashInTable
		m.hashInTable = 0
		if m.live() {
			m.hashInTable = m.hash()
		}
		c.table.hash += m.hashInTable
	}
	clear(c.table.dirty)
	return c.table.hash
}

func (c *core) dropFromTable(m *member) {
	delete(c.table.dirty, m)
	c.table.hash -= m.hashInTable
	m.hashInTable = 0
}

// compareTables records whether the sender of a ping or ack has the same table.
func (c *core) compareTables(now time.Time, msg *message) {
	t := &c.table
	own := c.tableHash()
	if msg.Table == own {
		t.differsSince = time.Time{}
		return
	}
	// While very many changes are spreading, this node's table keeps changing. That does not delay a
	// repair, since a full exchange then moves the changes at a fraction of the cost.
	if t.differsSince.IsZero() || t.ownHash != own && len(c.queue.items) < longBacklog {
		t.differsSince = now
	}
	t.ownHash = own
	t.partner = msg.From
}

// repairPartner returns the link address of a member to run a full exchange with because its table
// has differed for repairDelay while this node's stayed unchanged.
func (c *core) repairPartner(now time.Time) (addr string, ok bool) {
	t := &c.table
	if t.differsSince.IsZero() || t.ownHash != c.tableHash() && len(c.queue.items) < longBacklog || now.Sub(t.differsSince) < repairDelay ||
		now.Sub(t.lastRepair) < c.cfg.RepairInterval {
		return "", false
	}
	m := c.members[t.partner]
	if m == nil || !m.live() {
		return "", false
	}
	t.lastRepair, t.differsSince = now, time.Time{}
	c.counters.Repairs.Add(1)
	return m.meta.LinkAddr, true
}
