package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// departureRetention is how long a departure is kept after its node has recorded it. Announcements
	// that contradict it arrive within seconds.
	departureRetention = 2 * time.Minute
	// maxDepartures is the maximum number of departures that are kept for a node. The oldest are dropped.
	maxDepartures = 64
	// confirmations is how many members have to acknowledge a departure of this node.
	confirmations = 2
	// confirmTargets is how many members of the node's region are asked at a time to acknowledge a
	// departure. One more is in another region. Besides, all control VMs are asked to store it.
	confirmTargets = 3
)

// departureEntry is a departure with its age, which bounds how long it is passed on: it says less the
// older it is, and copies of it must not renew each other.
type departureEntry struct {
	_        struct{} `cbor:",toarray"`
	AgeMs    uint64
	Upstream fleet.UpstreamID
	StartMs  int64
	Sequence uint64
	Gone     bool
}

func toDepartureEntry(d fleet.Departure, age time.Duration) departureEntry {
	return departureEntry{AgeMs: uint64(max(age, 0).Milliseconds()), Upstream: d.Upstream, StartMs: d.StartMs, Sequence: d.Sequence, Gone: d.Gone}
}

func (e departureEntry) age() time.Duration { return time.Duration(e.AgeMs) * time.Millisecond }

func (e departureEntry) departure() fleet.Departure {
	return fleet.Departure{Upstream: e.Upstream, StartMs: e.StartMs, Sequence: e.Sequence, Gone: e.Gone}
}

// keptDeparture is a departure of a member, as this node knows it.
type keptDeparture struct {
	fleet.Departure
	recordedAt time.Time // by the clock of this node
}

// departures holds what the upstreams of one node have said about their end.
type departures map[fleet.UpstreamID]keptDeparture

// add stores a departure unless a later one is known or it has expired. It reports whether it was new.
func (d departures) add(now time.Time, e departureEntry) bool {
	if e.AgeMs >= uint64(departureRetention.Milliseconds()) {
		return false
	}
	if old, known := d[e.Upstream]; known && !e.departure().Supersedes(old.Departure) {
		return false
	}
	d[e.Upstream] = keptDeparture{e.departure(), now.Add(-e.age())}
	if len(d) > maxDepartures {
		d.dropOldest()
	}
	return true
}

func (d departures) dropOldest() {
	var oldest fleet.UpstreamID
	for id, k := range d {
		if o, ok := d[oldest]; !ok || k.recordedAt.Before(o.recordedAt) || k.recordedAt.Equal(o.recordedAt) && id < oldest {
			oldest = id
		}
	}
	delete(d, oldest)
}

func (d departures) expire(now time.Time) {
	for id, k := range d {
		if now.Sub(k.recordedAt) >= departureRetention {
			delete(d, id)
		}
	}
}

// entries returns the departures in the order of the upstreams' IDs.
func (d departures) entries(now time.Time) []departureEntry {
	d.expire(now)
	out := make([]departureEntry, 0, len(d))
	for _, k := range d {
		out = append(out, toDepartureEntry(k.Departure, now.Sub(k.recordedAt)))
	}
	slices.SortFunc(out, func(a, b departureEntry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// confirmation counts the members that know a departure of this node, and those that have stored it. With
// the memories a restarted node learns of the departure in its first exchange, whichever member that is with; with
// the disks the departure outlives the moment at which all processes end.
type confirmation struct {
	raw         cbor.RawMessage // record part with the departure
	need, disks int             // how many members have to know it, and to have it on disk
	acked       map[fleet.NodeID]bool
	stored      map[fleet.NodeID]bool
}

func (c *confirmation) known() bool { return len(c.acked) >= c.need }

func (c *confirmation) complete() bool { return c.known() && len(c.stored) >= c.disks }

// recordDeparture records a departure of one of this node's upstreams, sends it to other members and asks
// some of them for an acknowledgement, and the control VMs to store it. The returned number identifies the
// confirmation.
func (c *core) recordDeparture(now time.Time, d fleet.Departure) (number uint64) {
	e := toDepartureEntry(d, 0)
	if c.self.departures.add(now, e) {
		c.departureAdded()
		c.queueDeparture(c.self, e)
		c.push(now, true)
	}
	c.probing.lastNumber++
	number = c.probing.lastNumber
	c.confirming[number] = &confirmation{
		raw:   mustEncode(record{Node: c.self.id, Departures: []departureEntry{e}}),
		need:  min(confirmations, c.fleetSize()-1),
		disks: c.cfg.DepartureDisks,
		acked: map[fleet.NodeID]bool{}, stored: map[fleet.NodeID]bool{},
	}
	c.askForConfirmation(number)
	return number
}

// askForConfirmation sends the departure of a confirmation to random members, which acknowledge it like any
// ping, and to the control VMs that have not stored it yet.
func (c *core) askForConfirmation(number uint64) {
	conf := c.confirming[number]
	if conf == nil {
		return
	}
	if !conf.known() {
		for _, m := range append(c.chooseSameRegion(confirmTargets, true), c.chooseOtherRegions(1)...) {
			c.sendDeparture(m, kindPing, number, conf)
		}
	}
	for _, m := range c.controls() {
		if !conf.stored[m.id] {
			c.sendDeparture(m, kindStore, number, conf)
		}
	}
}

func (c *core) sendDeparture(to *member, k messageKind, number uint64, conf *confirmation) {
	b := c.newBuilder(k, number, "")
	b.add(conf.raw)
	c.enqueuePacket(to.id, to.meta.GossipAddr, b)
}

// controls returns the live control VMs. They have a disk, and keep departures there.
func (c *core) controls() []*member {
	var out []*member
	for _, m := range c.peers {
		if m.live() && m.meta.Control {
			out = append(out, m)
		}
	}
	return out
}

// confirmed reports whether enough members have acknowledged a departure.
func (c *core) confirmed(number uint64) bool {
	conf := c.confirming[number]
	return conf == nil || conf.complete()
}

// noteConfirmation counts an ack that answers a request for confirmation. It reports whether it was one.
func (c *core) noteConfirmation(msg *message) bool {
	conf := c.confirming[msg.Probe]
	if conf == nil || msg.Subject != "" {
		return false
	}
	conf.acked[msg.From] = true
	return true
}

// noteStored counts a control VM that has stored a departure of this node.
func (c *core) noteStored(msg *message) {
	if conf := c.confirming[msg.Probe]; conf != nil {
		conf.acked[msg.From], conf.stored[msg.From] = true, true
	}
}

// applyDepartures merges received departures into a member and queues what was new for other members.
func (c *core) applyDepartures(now time.Time, m *member, entries []departureEntry) {
	for _, e := range entries {
		if m.departures.add(now, e) {
			c.departureAdded()
			c.queueDeparture(m, e)
		}
	}
}

// recallDepartures takes over departures that an earlier process of this node has recorded.
func (c *core) recallDepartures(now time.Time, entries []departureEntry) {
	for _, e := range entries {
		if c.self.departures.add(now, e) {
			c.recalled = append(c.recalled, e.departure())
		}
	}
}

// keptDepartures returns the departures of all members.
func (c *core) keptDepartures(now time.Time) []fleet.KeptDeparture {
	var out []fleet.KeptDeparture
	for _, m := range c.members {
		for _, e := range m.departures.entries(now) {
			out = append(out, fleet.KeptDeparture{Node: m.id, Departure: e.departure(), RecordedAt: now.Add(-e.age())})
		}
	}
	return out
}

// loadDepartures takes over departures that an earlier process of this member has kept. The clock may have
// been set meanwhile.
func (c *core) loadDepartures(now time.Time, list []fleet.KeptDeparture) {
	for _, k := range list {
		c.memberFor(now, k.Node).departures.add(now, toDepartureEntry(k.Departure, now.Sub(k.RecordedAt)))
	}
}

// departuresOf returns a record with the departures of a node, or nil if there are none.
func (c *core) departuresOf(now time.Time, id fleet.NodeID) *record {
	m := c.members[id]
	if m == nil || len(m.departures) == 0 {
		return nil
	}
	return &record{Node: id, Departures: m.departures.entries(now)}
}

// takeRecalled returns the departures of this node that were recalled since the last call.
func (c *core) takeRecalled() []fleet.Departure {
	out := c.recalled
	c.recalled = nil
	return out
}

// bringsRecall reports whether the records of a full exchange are from a member that would know of this node's
// departures: it knows an earlier process of this node, or other members beside itself. A member that has
// just started knows neither.
func (c *core) bringsRecall(records []record) bool {
	others := 0
	for _, r := range records {
		switch {
		case r.Node != c.self.id:
			others++
		case r.Status != nil && Boot(r.Status.Incarnation) != Boot(c.self.status.Incarnation):
			return true
		}
	}
	return others > 1
}

func (c *core) queueDeparture(m *member, e departureEntry) {
	c.queueChange(recordPart{m.id, partDeparture, e.Upstream}, record{Node: m.id, Departures: []departureEntry{e}}, true)
}

// expireDepartures deletes the departures that are no longer needed.
func (c *core) expireDepartures(now time.Time) {
	for _, m := range c.members {
		m.departures.expire(now)
	}
}
