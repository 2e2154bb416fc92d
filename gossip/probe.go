package gossip

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Limits of probing.
const (
	// maxFailureScore limits how much a node slows down its own probes while they fail.
	maxFailureScore = 8
	// maxRelays is the maximum number of in-flight probes on behalf of other nodes.
	maxRelays = 1024
	// deadProbeEvery makes a node ping a dead node along with every n-th probe.
	deadProbeEvery = 2
)

// probing is the state of the node's own probes and of those that it relays for others.
type probing struct {
	next       time.Time // start of the next probe
	started    uint64    // probes started
	lastNumber uint64    // last probe number used
	// remaining holds the members still to be probed in the current rounds: of this node's region at
	// index 0, of the other regions at index 1.
	remaining [2][]*member

	target       *member // nil while no probe is in flight
	number       uint64  // number of the in-flight probe
	indirectAt   time.Time
	failAt       time.Time
	indirectSent bool // whether indirect probes were requested

	// failureScore rises with each failed probe and falls with each successful one. A node whose
	// probes all fail is probably faulty itself, so a high score makes it probe, and suspect
	// others, less often.
	failureScore int

	relays map[uint64]relayedProbe
}

// relayedProbe is a probe made on behalf of another node.
type relayedProbe struct {
	requester      fleet.NodeID
	requesterAddr  string
	requesterProbe uint64 // number of the probe at the requester
	subject        fleet.NodeID
	expires        time.Time
}

func (c *core) startProbing(now time.Time) {
	c.probing.relays = map[uint64]relayedProbe{}
	c.probing.lastNumber = c.rand.Uint64() >> 33
	// The jitter spreads the probes of nodes that start together over the interval.
	c.probing.next = now.Add(c.jitter(c.cfg.ProbeInterval))
}

// jitter returns a random duration below d.
func (c *core) jitter(d time.Duration) time.Duration { return time.Duration(c.rand.Int64N(int64(d))) }

// nextTick returns the latest time at which tick has to be called again.
func (c *core) nextTick() time.Time {
	t := c.probing.next
	earlier := func(u time.Time) {
		if !u.IsZero() && u.Before(t) {
			t = u
		}
	}
	if c.probing.target != nil {
		if !c.probing.indirectSent {
			earlier(c.probing.indirectAt)
		}
		earlier(c.probing.failAt)
	}
	earlier(c.pushing.next)
	earlier(c.bulk.next)
	for m := range c.deathDeadlines {
		earlier(m.deathDeadline)
	}
	return t
}

// tick performs everything that is due at now, except exchanges.
func (c *core) tick(now time.Time) {
	c.tickProbe(now)
	c.declareDeaths(now)
	if !c.probing.next.After(now) {
		c.expireRelays(now)
		c.expireMembers(now)
		c.expireDepartures(now)
		c.startProbe(now)
	}
	if !c.pushing.next.IsZero() && !c.pushing.next.After(now) {
		c.push(now, false)
	} else if c.queue.hasFresh() {
		c.schedulePush(now)
	}
}

func (c *core) tickProbe(now time.Time) {
	p := &c.probing
	if p.target == nil {
		return
	}
	if !p.indirectSent && !p.indirectAt.After(now) {
		p.indirectSent = true
		c.probeIndirectly()
	}
	if !p.failAt.After(now) {
		c.probeFailed(now)
	}
}

func (c *core) startProbe(now time.Time) {
	p := &c.probing
	scale := time.Duration(1 + p.failureScore)
	interval := c.cfg.ProbeInterval * scale
	// A jitter of 10% keeps the probes of the fleet from synchronizing.
	p.next = now.Add(interval - interval/20 + c.jitter(interval/10+1))
	p.started++
	if p.started%deadProbeEvery == 0 {
		c.probeDead()
	}
	if p.target != nil {
		return
	}
	if p.target = c.nextTarget(); p.target == nil {
		return
	}
	p.lastNumber++
	p.number = p.lastNumber
	p.indirectSent = false
	p.indirectAt = now.Add(c.cfg.ProbeTimeout * scale)
	p.failAt = now.Add(interval - interval/20)
	c.counters.Probes.Add(1)
	c.send(p.target.id, p.target.meta.GossipAddr, kindPing, p.number, "")
}

// probeDead pings a random dead node. If the node receives the ping, it refutes its death, which
// heals a partition.
func (c *core) probeDead() {
	c.refreshViews()
	for _, m := range c.chooseRandom(c.dead, 1, "") {
		c.send(m.id, m.meta.GossipAddr, kindPing, 0, "")
	}
}

// nextTarget takes the next member to probe: one of this node's region or, every
// RemoteProbeEvery-th time, one of another region.
func (c *core) nextTarget() *member {
	c.refreshViews()
	first := 0
	if c.probing.started%uint64(c.cfg.RemoteProbeEvery) == 0 {
		first = 1
	}
	if m := c.takeTarget(first); m != nil {
		return m
	}
	return c.takeTarget(1 - first)
}

func (c *core) takeTarget(i int) *member {
	all := c.sameRegion
	if i == 1 {
		all = c.otherRegions
	}
	round := &c.probing.remaining[i]
	for range 2 {
		for len(*round) > 0 {
			m := (*round)[len(*round)-1]
			*round = (*round)[:len(*round)-1]
			if m.live() && c.members[m.id] == m {
				return m
			}
		}
		*round = append(*round, all...)
		c.rand.Shuffle(len(*round), func(a, b int) { (*round)[a], (*round)[b] = (*round)[b], (*round)[a] })
	}
	return nil
}

// probeSoon makes a member the next one to be probed in its round.
func (c *core) probeSoon(m *member) {
	i := 0
	if m.meta.Region != c.self.meta.Region {
		i = 1
	}
	c.probing.remaining[i] = append(c.probing.remaining[i], m)
}

// probeIndirectly asks other members to probe the target, and pings it directly once more.
func (c *core) probeIndirectly() {
	p := &c.probing
	for _, m := range c.indirectProbers(p.target) {
		c.send(m.id, m.meta.GossipAddr, kindIndirectPing, p.number, p.target.id)
	}
	c.send(p.target.id, p.target.meta.GossipAddr, kindPing, p.number, "")
}

// indirectProbers returns members to probe the target indirectly. One of them is in another region
// than this node, and if possible than the target: when the path from this node's region to the
// target's is broken, no member of this node's region can reach the target.
func (c *core) indirectProbers(target *member) []*member {
	c.refreshViews()
	var out []*member
	for _, m := range c.chooseRandom(c.otherRegions, candidatesPerTarget*c.cfg.IndirectProbes, target.id) {
		if len(out) == 0 || out[0].meta.Region == target.meta.Region && m.meta.Region != target.meta.Region {
			out = append(out[:0], m)
		}
	}
	out = append(out, c.chooseRandom(c.sameRegion, c.cfg.IndirectProbes-len(out), target.id)...)
	more := c.chooseRandom(c.otherRegions, c.cfg.IndirectProbes-len(out), target.id)
	return append(out, slices.DeleteFunc(more, func(m *member) bool { return slices.Contains(out, m) })...)
}

func (c *core) probeFailed(now time.Time) {
	p := &c.probing
	m := p.target
	p.target = nil
	p.failureScore = min(p.failureScore+1, maxFailureScore)
	c.counters.FailedProbes.Add(1)
	if !m.live() || c.members[m.id] != m {
		return
	}
	switch m.status.State {
	case fleet.NodeAlive:
		c.setStatus(now, m, status{Incarnation: m.status.Incarnation, State: fleet.NodeSuspect})
	case fleet.NodeLeaving:
		// The process may have ended or be about to. The deadline stays local to this node, since
		// spreading a suspicion would hide that the member is leaving.
		if m.deathDeadline.IsZero() {
			c.setDeathDeadline(m, now.Add(c.suspicionTimeout()))
		}
	}
}

func (c *core) handleAck(now time.Time, msg *message) {
	if c.noteConfirmation(msg) {
		return
	}
	if r, ok := c.probing.relays[msg.Probe]; ok && r.subject == msg.From && msg.Subject == "" {
		delete(c.probing.relays, msg.Probe)
		c.send(r.requester, r.requesterAddr, kindAck, r.requesterProbe, r.subject)
		return
	}
	p := &c.probing
	if p.target == nil || msg.Probe != p.number {
		return
	}
	if msg.From != p.target.id && msg.Subject != p.target.id {
		return
	}
	if p.target.status.State == fleet.NodeLeaving {
		c.setDeathDeadline(p.target, time.Time{})
	}
	p.target = nil
	p.failureScore = max(p.failureScore-1, 0)
}

// relayProbe pings a member on behalf of the sender of msg.
func (c *core) relayProbe(now time.Time, src string, msg *message) {
	m := c.members[msg.Subject]
	if m == nil || !m.complete() || len(c.probing.relays) >= maxRelays {
		return
	}
	c.probing.lastNumber++
	c.probing.relays[c.probing.lastNumber] = relayedProbe{
		requester: msg.From, requesterAddr: src, requesterProbe: msg.Probe, subject: m.id, expires: now.Add(c.cfg.ProbeInterval),
	}
	c.counters.Relayed.Add(1)
	c.send(m.id, m.meta.GossipAddr, kindPing, c.probing.lastNumber, "")
}

func (c *core) expireRelays(now time.Time) {
	for n, r := range c.probing.relays {
		if !r.expires.After(now) {
			delete(c.probing.relays, n)
		}
	}
}

func (c *core) suspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionFactor * sizeLog(c.fleetSize()) * float64(c.cfg.ProbeInterval))
}

// setDeathDeadline sets the time at which a member is declared dead. The zero time clears it.
func (c *core) setDeathDeadline(m *member, t time.Time) {
	m.deathDeadline = t
	if t.IsZero() {
		delete(c.deathDeadlines, m)
	} else {
		c.deathDeadlines[m] = true
	}
}

// declareDeaths declares the members dead whose deathDeadline has passed.
func (c *core) declareDeaths(now time.Time) {
	if len(c.deathDeadlines) == 0 {
		return
	}
	// Iterates over the sorted peers instead of the map, to keep the core deterministic.
	for _, m := range c.peers {
		if m.deathDeadline.IsZero() || m.deathDeadline.After(now) {
			continue
		}
		c.setStatus(now, m, status{Incarnation: m.status.Incarnation, State: fleet.NodeDead})
	}
}
