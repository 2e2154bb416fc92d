package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// recordRequestInterval is the minimum time between two requests to a member for its record.
const recordRequestInterval = time.Second

// receive processes a message that came from the address src.
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
		c.applyRecord(now, r)
	}
	c.noteSender(now, src, &msg)
	if msg.Kind == kindPing || msg.Kind == kindAck {
		c.compareTables(now, &msg)
	}
	switch msg.Kind {
	case kindPing:
		c.send(msg.From, src, kindAck, msg.Probe, "")
	case kindAck:
		c.handleAck(now, &msg)
	case kindIndirectPing:
		c.relayProbe(now, src, &msg)
	case kindRecordRequest:
		c.sendRecord(now, msg.From, src, msg.Subject)
	case kindStore:
		c.answerOnceStored(storeRequest{msg.From, src, msg.Probe, 0})
	case kindStored:
		c.noteStored(&msg)
	}
	c.enterBulk(now)
	if c.queue.hasFresh() {
		c.schedulePush(now)
	}
	return nil
}

// noteSender updates what is known about the sender of a message from its header, and asks the
// sender for its record if that is missing, incomplete or outdated.
func (c *core) noteSender(now time.Time, src string, msg *message) {
	m := c.members[msg.From]
	if m == nil {
		// No member is created here; that happens when the record arrives.
		c.send(msg.From, src, kindRecordRequest, 0, msg.From)
		return
	}
	if v := msg.Config.version(); m.config.Less(v) {
		m.config = v
		c.changed[m.id] = true
	}
	if (!m.complete() || m.status.Incarnation < msg.Incarnation) && now.Sub(m.recordRequested) >= recordRequestInterval {
		m.recordRequested = now
		c.send(msg.From, src, kindRecordRequest, 0, msg.From)
	}
}

// sendRecord sends all parts of a member's record, in as many datagrams as needed.
func (c *core) sendRecord(now time.Time, to fleet.NodeID, addr string, id fleet.NodeID) {
	m := c.members[id]
	if m == nil {
		return
	}
	full := m.record(now)
	parts := []record{{Node: id, Status: full.Status}, {Node: id, Meta: full.Meta}}
	for _, e := range full.Upstreams {
		parts = append(parts, record{Node: id, Upstreams: []upstreamEntry{e}})
	}
	c.sendParts(to, addr, append(parts, departureParts(id, full.Departures)...))
}

// sendParts sends parts of records, in as many datagrams as needed.
func (c *core) sendParts(to fleet.NodeID, addr string, parts []record) {
	b := c.newBuilder(kindPush, 0, "")
	for _, p := range parts {
		raw := mustEncode(p)
		if !b.fits(raw) {
			c.enqueuePacket(to, addr, b)
			b = c.newBuilder(kindPush, 0, "")
		}
		b.add(raw)
	}
	c.enqueuePacket(to, addr, b)
}

// departureParts returns a part of a record for each departure of a node.
func departureParts(id fleet.NodeID, entries []departureEntry) []record {
	parts := make([]record, 0, len(entries))
	for _, e := range entries {
		parts = append(parts, record{Node: id, Departures: []departureEntry{e}})
	}
	return parts
}

// applyRecord merges a received record into the member that it describes, and queues what was new
// for other members.
func (c *core) applyRecord(now time.Time, r record) {
	if r.Node == c.self.id {
		c.refuteClaims(now, r)
		return
	}
	if c.members[r.Node] == nil && r.Status != nil && r.Status.State == fleet.NodeDead {
		// A member created from a late message about a death would never expire, since nodes
		// would pass it back to each other again and again.
		return
	}
	m := c.memberFor(now, r.Node)
	wasComplete, oldBoot := m.complete(), Boot(m.status.Incarnation)
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
	c.applyDepartures(now, m, r.Departures)
	if m.complete() && (!wasComplete || Boot(m.status.Incarnation) > oldBoot) {
		c.returnDepartures(now, m)
	}
	if m.live() {
		c.joining = false
	}
}

// noteDuplicates notifies the queue of the parts of r that were already known.
func (c *core) noteDuplicates(m *member, r *record) {
	limit := c.retransmitLimit()
	if r.Status != nil && *r.Status == m.status {
		c.queue.noteDuplicate(recordPart{m.id, partStatus, ""}, limit)
	}
	if r.Meta != nil && r.Meta.Number == m.meta.Number {
		c.queue.noteDuplicate(recordPart{m.id, partMeta, ""}, limit)
	}
	for _, e := range r.Upstreams {
		if e.Number == m.upstreams[e.ID].Number {
			c.queue.noteDuplicate(recordPart{m.id, partUpstream, e.ID}, limit)
		}
	}
}

// setStatus changes the status of another node and queues the change for other members.
func (c *core) setStatus(now time.Time, m *member, s status) {
	if Boot(s.Incarnation) > Boot(m.status.Incarnation) {
		m.config = resource.Version{}
	}
	m.status = s
	m.deadSince = time.Time{}
	c.setDeathDeadline(m, time.Time{})
	switch s.State {
	case fleet.NodeSuspect:
		c.setDeathDeadline(m, now.Add(c.suspicionTimeout()))
		c.counters.Suspicions.Add(1)
	case fleet.NodeDead:
		m.deadSince = now
		c.counters.Deaths.Add(1)
	}
	c.queueStatus(m)
}

// refuteClaims processes what another node believes about this node. Claims that are newer than
// this node's record are overridden by a higher incarnation or by new numbers. Departures are taken
// over.
func (c *core) refuteClaims(now time.Time, r record) {
	c.recallDepartures(now, r.Departures)
	if c.self.status.State == fleet.NodeDead {
		return
	}
	if r.Status != nil && r.Status.supersedes(c.self.status) {
		c.self.status.Incarnation = r.Status.Incarnation + 1
		c.queueStatus(c.self)
		c.counters.Refutations.Add(1)
	}
	// Parts with higher numbers were announced by an earlier process of this node, whose clock was
	// ahead.
	highest := uint64(0)
	if r.Meta != nil {
		highest = r.Meta.Number
	}
	for _, e := range r.Upstreams {
		highest = max(highest, e.Number)
	}
	if highest > c.lastNumber {
		c.lastNumber = highest
		c.renumber()
	}
	if c.queue.hasFresh() {
		c.push(now, true)
	}
}
