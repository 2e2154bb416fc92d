package gossip

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// remoteOdds bounds the probability that a node passes another node's change on to another region: it is
	// at most 1/remoteOdds. Full exchanges use it as well, to choose a partner in another region or a dead one.
	remoteOdds = 4
	// passOnsPerRegion and urgentPassOnsPerRegion are the expected numbers of nodes of a region that pass a
	// change on to another region, independent of the size of the region. With a fixed fraction of the
	// nodes, traffic between regions would grow with their number, although a region spreads a change by
	// itself once a few of its nodes have it.
	passOnsPerRegion       = 2
	urgentPassOnsPerRegion = 4
	// passOnsPerDomain is the expected number of nodes of a failure domain that pass a change on to another
	// failure domain of their region.
	passOnsPerDomain = 8
)

// candidatesPerTarget is how many random candidates are drawn for each target in another region.
// With three regions of 50 nodes, 99 of 100 pairs of targets then cover both other regions.
const candidatesPerTarget = 4

// pushing holds the schedule of pushes and the token bucket that limits their traffic.
type pushing struct {
	next       time.Time // time of the next push; zero if none is scheduled
	tokens     float64   // bytes that may be sent now; negative after an overdraft
	lastRefill time.Time
}

// schedulePush schedules a push of the fresh changes after a short delay.
func (c *core) schedulePush(now time.Time) {
	if c.pushing.next.IsZero() {
		// The wait is 0.5 to 1.5 times the delay, so that nodes that receive a change at the same
		// time don't all send it at the same time.
		c.pushing.next = now.Add(c.cfg.PushDelay/2 + c.jitter(c.cfg.PushDelay))
	}
}

// push sends the fresh changes to random members. ownChange says that this node made the change
// that caused the push.
func (c *core) push(now time.Time, ownChange bool) {
	c.pushing.next = time.Time{}
	if c.refreshViews(); c.fleetSize() == 1 {
		return // The changes stay fresh until another live member is known.
	}
	c.refill(now)
	for c.queue.hasFresh() {
		if half := c.cfg.PushBurstBytes / 2; c.pushing.tokens <= float64(half) {
			// The second half of the burst is reserved for urgent changes.
			c.queue.leaveToProbes(c.pushing.tokens <= 0)
			c.counters.PushesLimited.Add(1)
			if !c.queue.hasFresh() {
				return
			}
		}
		fanout, passOns := c.cfg.Fanout, passOnsPerRegion
		if c.queue.freshUrgent() {
			fanout, passOns = c.cfg.UrgentFanout, urgentPassOnsPerRegion
		}
		remote, otherDomain := c.cfg.RemoteFanout, true
		if !ownChange {
			remote, otherDomain = c.remotePassOns(passOns), c.passesToOtherDomains()
		}
		targets := c.pushTargets(fanout, remote, otherDomain)
		b := c.newBuilder(kindPush, 0, "")
		b.addAll(c.queue.takeFresh(b.room))
		if len(b.msg.Updates) == 0 {
			c.queue.leaveToProbes(true)
			return
		}
		for _, m := range targets {
			c.enqueuePacket(m.id, m.meta.GossipAddr, b)
		}
		c.pushing.tokens -= float64(len(targets) * (b.size() + sealOverhead + packetOverhead))
	}
}

func (c *core) refill(now time.Time) {
	p := &c.pushing
	p.tokens += now.Sub(p.lastRefill).Seconds() * float64(c.cfg.PushBytesPerSecond)
	p.tokens = min(p.tokens, float64(c.cfg.PushBurstBytes))
	p.lastRefill = now
}

// remotePassOns returns the number of members of other regions, 0 or 1, to which this node passes another node's
// change on. The result is random, so that about perRegion nodes of its region pass the change on.
func (c *core) remotePassOns(perRegion int) int {
	c.refreshViews()
	probability := min(1.0/remoteOdds, float64(perRegion)/float64(len(c.sameRegion)+1))
	if len(c.sameRegion) == 0 || c.rand.Float64() < probability {
		return 1
	}
	return 0
}

// passesToOtherDomains reports whether this node passes another node's change on to other failure domains of its
// region. The result is random, so that about passOnsPerDomain nodes of its failure domain do.
func (c *core) passesToOtherDomains() bool {
	return c.sampled(passOnsPerDomain, len(c.sameDomain)+1)
}

// pushTargets returns random members to push to: up to fanout of this node's region and up to remote of others.
// otherDomain says that one of the former may be in another failure domain. A node without live members in its
// region always pushes to another region.
func (c *core) pushTargets(fanout, remote int, otherDomain bool) []*member {
	c.refreshViews()
	if len(c.sameRegion) == 0 {
		remote = max(remote, 1)
	}
	return append(c.chooseSameRegion(fanout, otherDomain), c.chooseOtherRegions(remote)...)
}

// chooseSameRegion returns up to n random members of this node's region. If its failure domain has enough members,
// all of them are in that domain or, with otherDomain, all but one, since traffic between failure domains is
// expensive.
func (c *core) chooseSameRegion(n int, otherDomain bool) []*member {
	far := 0
	if otherDomain {
		far = 1
	}
	near := c.chooseRandom(c.sameDomain, n-far, "")
	out := append(near, c.chooseRandom(c.otherDomains, n-len(near), "")...)
	if missing := n - len(out); missing > 0 && len(out) < len(c.sameRegion) {
		out = c.chooseRandom(c.sameRegion, n, "")
	}
	return out
}

// chooseOtherRegions returns up to n random members of other regions. It prefers members of
// different regions.
func (c *core) chooseOtherRegions(n int) []*member {
	candidates := c.chooseRandom(c.otherRegions, candidatesPerTarget*n, "")
	var first, rest []*member
	for _, m := range candidates {
		if slices.ContainsFunc(first, func(o *member) bool { return o.meta.Region == m.meta.Region }) {
			rest = append(rest, m)
		} else {
			first = append(first, m)
		}
	}
	out := append(first, rest...)
	return out[:min(n, len(out))]
}

// announcedSends is how many times a change of this node is sent on probes and acks, after it was
// pushed, until it counts as announced. Those that received it pass it on.
const announcedSends = 2

// announcingSelf reports whether the state of this node was not sent often enough yet.
func (c *core) announcingSelf() bool {
	it := c.queue.items[recordPart{c.self.id, partStatus, ""}]
	return it != nil && c.fleetSize() > 1 && (it.fresh || it.sends < announcedSends)
}

// pushConfigNotice notifies random members of the node's new configuration version. Every message
// carries the version, so the notice has no updates.
func (c *core) pushConfigNotice() {
	for _, m := range c.pushTargets(c.cfg.NoticeFanout, c.remotePassOns(urgentPassOnsPerRegion), true) {
		c.enqueuePacket(m.id, m.meta.GossipAddr, c.newBuilder(kindPush, 0, ""))
	}
}

func (c *core) retransmitLimit() int {
	return int(math.Ceil(c.cfg.RetransmitFactor * sizeLog(c.fleetSize())))
}

// messageBuilder builds a message that fits one datagram.
type messageBuilder struct {
	msg  message
	room int // bytes left for updates
}

// listOverhead is how much the CBOR header of the list of updates may grow as updates are added,
// in bytes.
const listOverhead = 3

func (c *core) newBuilder(k messageKind, probe uint64, subject fleet.NodeID) *messageBuilder {
	b := &messageBuilder{msg: message{
		Kind:        k,
		From:        c.self.id,
		Incarnation: c.self.status.Incarnation,
		Config:      toConfigVersion(c.self.config),
		Table:       c.tableHash(),
		Probe:       probe,
		Subject:     subject,
		Updates:     []cbor.RawMessage{},
	}}
	b.room = maxPlain - len(mustEncode(b.msg)) - listOverhead
	return b
}

func (b *messageBuilder) fits(raw []byte) bool {
	return len(raw) <= b.room && len(b.msg.Updates) < maxUpdates
}

func (b *messageBuilder) add(raw []byte) {
	b.msg.Updates = append(b.msg.Updates, raw)
	b.room -= len(raw)
}

func (b *messageBuilder) addAll(list []cbor.RawMessage) {
	for _, raw := range list {
		b.add(raw)
	}
}

// size returns the size of the message, in bytes, including listOverhead.
func (b *messageBuilder) size() int { return maxPlain - b.room }

func (c *core) enqueuePacket(to fleet.NodeID, addr string, b *messageBuilder) {
	c.packets = append(c.packets, packet{to, addr, mustEncode(b.msg)})
}

// send sends a message that carries as many queued changes as fit.
func (c *core) send(to fleet.NodeID, addr string, k messageKind, probe uint64, subject fleet.NodeID) {
	b := c.newBuilder(k, probe, subject)
	// If the receiver is suspect or dead in this node's view, that status is included first, so
	// that the receiver can refute it.
	m := c.members[to]
	if m != nil && m.complete() && m.status.State != fleet.NodeAlive && m.status.State != fleet.NodeLeaving {
		s := m.status
		b.add(mustEncode(record{Node: to, Status: &s}))
	}
	b.addAll(c.queue.take(b.room, c.retransmitLimit(), c.reachOf(m)))
	c.enqueuePacket(to, addr, b)
}
