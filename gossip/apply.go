package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// wantInterval is the least time between two requests for a member's record.
const wantInterval = time.Second

// receive takes a message that came from the address src.
func (c *core) receive(now time.Time, src string, payload []byte) error {
	msg, records, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	if msg.From == c.self.id {
		return errSelf
	}
	if m := c.members[msg.From]; m != nil && Boot(msg.Incarnation) < Boot(m.status.Incarnation) {
		return errStale
	}
	for _, r := range records {
		c.apply(now, r)
	}
	c.hear(now, src, &msg)
	if msg.Kind == kindPing || msg.Kind == kindAck {
		c.compareTables(now, &msg)
	}
	switch msg.Kind {
	case kindPing:
		c.send(msg.From, src, kindAck, msg.Probe, "")
	case kindAck:
		c.acked(now, &msg)
	case kindIndirect:
		c.relay(now, src, &msg)
	case kindWant:
		c.sendRecord(msg.From, src, msg.Subject)
	}
	c.enterBulk(now)
	if c.queue.hasFresh() {
		c.schedulePush(now)
	}
	return nil
}

// hear notes the sender of a message, and asks it for its record if that is
// missing or old.
func (c *core) hear(now time.Time, src string, msg *message) {
	m := c.members[msg.From]
	if m == nil {
		// No entry is made: a record of the sender will make it.
		c.send(msg.From, src, kindWant, 0, msg.From)
		return
	}
	if v := msg.Config.version(); m.config.Less(v) {
		m.config = v
		c.changed[m.id] = true
	}
	if (!m.known() || m.status.Incarnation < msg.Incarnation) && now.Sub(m.wanted) >= wantInterval {
		m.wanted = now
		c.send(msg.From, src, kindWant, 0, msg.From)
	}
}

// sendRecord sends all parts of a member's record, in as many datagrams as
// they need.
func (c *core) sendRecord(to fleet.NodeID, addr string, id fleet.NodeID) {
	m := c.members[id]
	if m == nil {
		return
	}
	full := m.record()
	parts := []record{{Node: id, Status: full.Status}, {Node: id, Meta: full.Meta}}
	for _, e := range full.Upstreams {
		parts = append(parts, record{Node: id, Upstreams: []upstreamEntry{e}})
	}
	b := c.newBuilder(kindPush, 0, "")
	for _, p := range parts {
		raw := mustEncode(p)
		if !b.fits(raw) {
			c.emit(to, addr, b)
			b = c.newBuilder(kindPush, 0, "")
		}
		b.add(raw)
	}
	c.emit(to, addr, b)
}

// apply merges a record that came in a datagram.
func (c *core) apply(now time.Time, r record) {
	if r.Node == c.self.id {
		c.applySelf(now, r)
		return
	}
	if c.members[r.Node] == nil && r.Status != nil && r.Status.State == fleet.NodeDead {
		// An entry made from a late rumour of a death would never expire, since
		// nodes would teach it to each other again and again.
		return
	}
	m := c.add(now, r.Node)
	c.noteDuplicates(m, &r)
	if r.Status != nil && r.Status.supersedes(m.status) {
		c.setStatus(now, m, *r.Status)
	}
	if r.Meta != nil && m.applyMeta(*r.Meta) {
		c.queueMeta(m)
	}
	for _, e := range r.Upstreams {
		if m.applyUpstream(e) {
			c.queueUpstream(m, e)
		}
	}
	if m.live() {
		c.joining = false
	}
}

// noteDuplicates tells the queue which parts of r were known already.
func (c *core) noteDuplicates(m *member, r *record) {
	limit := c.retransmitLimit()
	if r.Status != nil && *r.Status == m.status {
		c.queue.duplicate(part{m.id, partStatus, ""}, limit)
	}
	if r.Meta != nil && r.Meta.Number == m.meta.Number {
		c.queue.duplicate(part{m.id, partMeta, ""}, limit)
	}
	for _, e := range r.Upstreams {
		if e.Number == m.upstreams[e.ID].Number {
			c.queue.duplicate(part{m.id, partUpstream, e.ID}, limit)
		}
	}
}

// setStatus changes the state of another node and passes it on.
func (c *core) setStatus(now time.Time, m *member, s status) {
	if Boot(s.Incarnation) > Boot(m.status.Incarnation) {
		m.config = resource.Version{}
	}
	m.status = s
	m.deadSince = time.Time{}
	c.setDeadline(m, time.Time{})
	switch s.State {
	case fleet.NodeSuspect:
		c.setDeadline(m, now.Add(c.suspicionTimeout()))
		c.counters.Suspicions.Add(1)
	case fleet.NodeDead:
		m.deadSince = now
		c.counters.Deaths.Add(1)
	}
	c.queueStatus(m)
}

// applySelf answers what others hold of this node. Each claim that is newer
// than its own state is overridden.
func (c *core) applySelf(now time.Time, r record) {
	if c.self.status.State == fleet.NodeDead {
		return
	}
	if r.Status != nil && r.Status.supersedes(c.self.status) {
		c.self.status.Incarnation = r.Status.Incarnation + 1
		c.queueStatus(c.self)
		c.counters.Refutations.Add(1)
	}
	// Parts with higher numbers are left from an earlier process whose clock
	// was ahead.
	highest := uint64(0)
	if r.Meta != nil {
		highest = r.Meta.Number
	}
	for _, e := range r.Upstreams {
		highest = max(highest, e.Number)
	}
	if highest > c.number {
		c.number = highest
		c.renumber()
	}
	if c.queue.hasFresh() {
		c.push(now, true)
	}
}
