package gossip

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// remotePushOdds is one over the chance that a change passed on also goes to
// another region.
const remotePushOdds = 4

// regionSample is how many candidates are looked at for each member of another
// region. With three regions, three of four pairs are then of both others.
const regionSample = 4

// pushing is the state of pushes.
type pushing struct {
	at       time.Time // next push; zero if none is due
	tokens   float64   // bytes that may be sent now
	refilled time.Time
}

// schedulePush makes a push of fresh changes due after a short wait.
func (c *core) schedulePush(now time.Time) {
	if c.pushing.at.IsZero() {
		// Half to one and a half of the delay: nodes that hear of a change
		// together don't send together.
		c.pushing.at = now.Add(c.cfg.PushDelay/2 + c.jitter(c.cfg.PushDelay))
	}
}

// push sends the fresh changes to random members. local says that the change
// began here.
func (c *core) push(now time.Time, local bool) {
	c.pushing.at = time.Time{}
	if c.views(); c.size() == 1 {
		return // They stay fresh until the first member is known.
	}
	c.refill(now)
	for c.queue.hasFresh() {
		if half := c.cfg.PushBurstBytes / 2; c.pushing.tokens <= float64(half) {
			// The rest is kept for urgent changes.
			c.queue.settle(c.pushing.tokens <= 0)
			c.counters.PushesLimited.Add(1)
			if !c.queue.hasFresh() {
				return
			}
		}
		fanout := c.cfg.Fanout
		if c.queue.freshUrgent() {
			fanout = c.cfg.UrgentFanout
		}
		targets := c.pushTargets(fanout, local)
		b := c.newBuilder(kindPush, 0, "")
		b.addAll(c.queue.takeFresh(b.room))
		if len(b.msg.Updates) == 0 {
			c.queue.settle(true)
			return
		}
		for _, m := range targets {
			c.emit(m.id, m.meta.GossipAddr, b)
		}
		c.pushing.tokens -= float64(len(targets) * (b.size() + sealOverhead + packetOverhead))
	}
}

func (c *core) refill(now time.Time) {
	p := &c.pushing
	p.tokens += now.Sub(p.refilled).Seconds() * float64(c.cfg.PushBytesPerSecond)
	p.tokens = min(p.tokens, float64(c.cfg.PushBurstBytes))
	p.refilled = now
}

func (c *core) pushTargets(fanout int, local bool) []*member {
	c.views()
	remote := 0
	switch {
	case local:
		remote = c.cfg.RemoteFanout
	case c.rand.IntN(remotePushOdds) == 0 || len(c.local) == 0:
		remote = 1
	}
	return append(c.chooseLocal(fanout), c.chooseRegions(remote)...)
}

// chooseLocal returns up to n random members of the region, all but one of them in
// the own failure domain while there are enough: each of these tells one member
// elsewhere in turn, and traffic between failure domains is dear.
func (c *core) chooseLocal(n int) []*member {
	near := c.choose(c.near, n-1, "")
	out := append(near, c.choose(c.far, n-len(near), "")...)
	if missing := n - len(out); missing > 0 && len(out) < len(c.local) {
		out = c.choose(c.local, n, "")
	}
	return out
}

// chooseRegions returns up to n random members of other regions, each of
// another region while there are enough.
func (c *core) chooseRegions(n int) []*member {
	candidates := c.choose(c.remote, regionSample*n, "")
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

// pushNotice tells random members at once that the node's configuration
// version has risen. The version is in the header, so there is no content.
func (c *core) pushNotice() {
	for _, m := range c.pushTargets(c.cfg.NoticeFanout, false) {
		c.emit(m.id, m.meta.GossipAddr, c.newBuilder(kindPush, 0, ""))
	}
}

func (c *core) retransmitLimit() int {
	return int(math.Ceil(c.cfg.RetransmitFactor * sizeLog(c.size())))
}

// builder fills one datagram.
type builder struct {
	msg  message
	room int // bytes left for updates
}

// listOverhead is the growth of the list header when updates are added, in bytes.
const listOverhead = 3

func (c *core) newBuilder(k messageKind, probe uint64, subject fleet.NodeID) *builder {
	b := &builder{msg: message{
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

func (b *builder) fits(raw []byte) bool {
	return len(raw) <= b.room && len(b.msg.Updates) < maxUpdates
}

func (b *builder) add(raw []byte) {
	b.msg.Updates = append(b.msg.Updates, raw)
	b.room -= len(raw)
}

func (b *builder) addAll(list []cbor.RawMessage) {
	for _, raw := range list {
		b.add(raw)
	}
}

// size returns the size of the message, in bytes.
func (b *builder) size() int { return maxPlain - b.room }

func (c *core) emit(to fleet.NodeID, addr string, b *builder) {
	c.packets = append(c.packets, packet{to, addr, mustEncode(b.msg)})
}

// send sends a message along with as many changes as fit.
func (c *core) send(to fleet.NodeID, addr string, k messageKind, probe uint64, subject fleet.NodeID) {
	b := c.newBuilder(k, probe, subject)
	// A receiver that is held suspect or dead is told first, so that it can
	// refute.
	if m := c.members[to]; m != nil && m.known() && m.status.State != fleet.NodeAlive && m.status.State != fleet.NodeLeaving {
		s := m.status
		b.add(mustEncode(record{Node: to, Status: &s}))
	}
	b.addAll(c.queue.take(b.room, c.retransmitLimit()))
	c.emit(to, addr, b)
}
