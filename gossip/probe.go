package gossip

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Limits of probing.
const (
	// maxScore bounds how far a node slows its own probes while they fail.
	maxScore = 8
	// maxRelays bounds the indirect probes under way for other nodes.
	maxRelays = 1024
	// deadProbeEvery makes every n-th probe go along with one to a dead node.
	deadProbeEvery = 2
)

// probing is the state of the node's own probes and of those it makes for others.
type probing struct {
	next   time.Time // start of the next probe
	count  uint64    // probes started
	number uint64    // last number used
	// rings hold the members still to be probed in this round: of the own
	// region, then of others.
	rings [2][]*member

	target     *member // nil while no probe is under way
	current    uint64  // its number
	indirectAt time.Time
	failAt     time.Time
	indirect   bool // indirect probes were sent

	// score counts failed probes against successful ones. A node whose probes
	// all fail is probably itself at fault: it then probes and suspects less.
	score int

	relays map[uint64]relayed
}

// relayed is a probe made for another node.
type relayed struct {
	from    fleet.NodeID
	addr    string
	probe   uint64 // number at that node
	subject fleet.NodeID
	expires time.Time
}

func (c *core) startProbing(now time.Time) {
	c.probing.relays = map[uint64]relayed{}
	c.probing.number = c.rand.Uint64() >> 33
	// Nodes that start together spread their probes over the interval.
	c.probing.next = now.Add(c.jitter(c.cfg.ProbeInterval))
}

// jitter returns a random duration below d.
func (c *core) jitter(d time.Duration) time.Duration { return time.Duration(c.rand.Int64N(int64(d))) }

// next returns when tick has to be called again, at the latest.
func (c *core) next() time.Time {
	t := c.probing.next
	earlier := func(u time.Time) {
		if !u.IsZero() && u.Before(t) {
			t = u
		}
	}
	if c.probing.target != nil {
		if !c.probing.indirect {
			earlier(c.probing.indirectAt)
		}
		earlier(c.probing.failAt)
	}
	earlier(c.pushing.at)
	earlier(c.bulk.at)
	for m := range c.silent {
		earlier(m.deadline)
	}
	return t
}

// tick does all that is due at now.
func (c *core) tick(now time.Time) {
	c.tickProbe(now)
	c.tickSuspicions(now)
	if !c.probing.next.After(now) {
		c.expireRelays(now)
		c.expire(now)
		c.startProbe(now)
	}
	if !c.pushing.at.IsZero() && !c.pushing.at.After(now) {
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
	if !p.indirect && !p.indirectAt.After(now) {
		p.indirect = true
		c.probeIndirectly()
	}
	if !p.failAt.After(now) {
		c.probeFailed(now)
	}
}

func (c *core) startProbe(now time.Time) {
	p := &c.probing
	scale := time.Duration(1 + p.score)
	interval := c.cfg.ProbeInterval * scale
	// A tenth of jitter keeps the fleet's probes from falling into step.
	p.next = now.Add(interval - interval/20 + c.jitter(interval/10+1))
	p.count++
	if p.count%deadProbeEvery == 0 {
		c.probeDead()
	}
	if p.target != nil {
		return
	}
	if p.target = c.nextTarget(); p.target == nil {
		return
	}
	p.number++
	p.current = p.number
	p.indirect = false
	p.indirectAt = now.Add(c.cfg.ProbeTimeout * scale)
	p.failAt = now.Add(interval - interval/20)
	c.counters.Probes.Add(1)
	c.send(p.target.id, p.target.meta.GossipAddr, kindPing, p.current, "")
}

// probeDead sends a ping to a dead node. It refutes its death if it gets it,
// which heals a partition.
func (c *core) probeDead() {
	c.views()
	for _, m := range c.choose(c.dead, 1, "") {
		c.send(m.id, m.meta.GossipAddr, kindPing, 0, "")
	}
}

// nextTarget takes the next member from the ring of the own region or, every
// RemoteProbeEvery-th time, from that of the others.
func (c *core) nextTarget() *member {
	c.views()
	first := 0
	if c.probing.count%uint64(c.cfg.RemoteProbeEvery) == 0 {
		first = 1
	}
	if m := c.fromRing(first); m != nil {
		return m
	}
	return c.fromRing(1 - first)
}

func (c *core) fromRing(i int) *member {
	all := c.local
	if i == 1 {
		all = c.remote
	}
	ring := &c.probing.rings[i]
	for range 2 {
		for len(*ring) > 0 {
			m := (*ring)[len(*ring)-1]
			*ring = (*ring)[:len(*ring)-1]
			if m.live() && c.members[m.id] == m {
				return m
			}
		}
		*ring = append(*ring, all...)
		c.rand.Shuffle(len(*ring), func(a, b int) { (*ring)[a], (*ring)[b] = (*ring)[b], (*ring)[a] })
	}
	return nil
}

// probeSoon puts a member at the front of its ring.
func (c *core) probeSoon(m *member) {
	i := 0
	if m.meta.Region != c.self.meta.Region {
		i = 1
	}
	c.probing.rings[i] = append(c.probing.rings[i], m)
}

// probeIndirectly asks other members to probe the target, and tries directly
// once more.
func (c *core) probeIndirectly() {
	p := &c.probing
	for _, h := range c.helpers(p.target) {
		c.send(h.id, h.meta.GossipAddr, kindIndirect, p.current, p.target.id)
	}
	c.send(p.target.id, p.target.meta.GossipAddr, kindPing, p.current, "")
}

// helpers returns members to probe the target indirectly. One of them is of
// another region, and not of the target's where possible: when the way from
// this region to the target's is cut, nobody here reaches it.
func (c *core) helpers(target *member) []*member {
	c.views()
	var out []*member
	for _, m := range c.choose(c.remote, regionSample*c.cfg.IndirectProbes, target.id) {
		if len(out) == 0 || out[0].meta.Region == target.meta.Region && m.meta.Region != target.meta.Region {
			out = append(out[:0], m)
		}
	}
	out = append(out, c.choose(c.local, c.cfg.IndirectProbes-len(out), target.id)...)
	more := c.choose(c.remote, c.cfg.IndirectProbes-len(out), target.id)
	return append(out, slices.DeleteFunc(more, func(m *member) bool { return slices.Contains(out, m) })...)
}

func (c *core) probeFailed(now time.Time) {
	p := &c.probing
	m := p.target
	p.target = nil
	p.score = min(p.score+1, maxScore)
	c.counters.FailedProbes.Add(1)
	if !m.live() || c.members[m.id] != m {
		return
	}
	switch m.status.State {
	case fleet.NodeAlive:
		c.setStatus(now, m, status{Incarnation: m.status.Incarnation, State: fleet.NodeSuspect})
	case fleet.NodeLeaving:
		// It may have ended or be about to. Only this node waits for it, since
		// suspicion would hide that it is leaving.
		if m.deadline.IsZero() {
			c.setDeadline(m, now.Add(c.suspicionTimeout()))
		}
	}
}

func (c *core) acked(now time.Time, msg *message) {
	if r, ok := c.probing.relays[msg.Probe]; ok && r.subject == msg.From && msg.Subject == "" {
		delete(c.probing.relays, msg.Probe)
		c.send(r.from, r.addr, kindAck, r.probe, r.subject)
		return
	}
	p := &c.probing
	if p.target == nil || msg.Probe != p.current {
		return
	}
	if msg.From != p.target.id && msg.Subject != p.target.id {
		return
	}
	if p.target.status.State == fleet.NodeLeaving {
		c.setDeadline(p.target, time.Time{})
	}
	p.target = nil
	p.score = max(p.score-1, 0)
}

// relay probes a member for the sender of msg.
func (c *core) relay(now time.Time, src string, msg *message) {
	m := c.members[msg.Subject]
	if m == nil || !m.known() || len(c.probing.relays) >= maxRelays {
		return
	}
	c.probing.number++
	c.probing.relays[c.probing.number] = relayed{
		from: msg.From, addr: src, probe: msg.Probe, subject: m.id, expires: now.Add(c.cfg.ProbeInterval),
	}
	c.counters.Relayed.Add(1)
	c.send(m.id, m.meta.GossipAddr, kindPing, c.probing.number, "")
}

func (c *core) expireRelays(now time.Time) {
	for n, r := range c.probing.relays {
		if !r.expires.After(now) {
			delete(c.probing.relays, n)
		}
	}
}

func (c *core) suspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionFactor * sizeLog(c.size()) * float64(c.cfg.ProbeInterval))
}

// setDeadline sets when a silent member is declared dead; the zero time
// withdraws that.
func (c *core) setDeadline(m *member, t time.Time) {
	m.deadline = t
	if t.IsZero() {
		delete(c.silent, m)
	} else {
		c.silent[m] = true
	}
}

// tickSuspicions declares dead the members that were silent for too long.
func (c *core) tickSuspicions(now time.Time) {
	if len(c.silent) == 0 {
		return
	}
	// The order of members, unlike that of the map, is the same in each run.
	for _, m := range c.order {
		if m.deadline.IsZero() || m.deadline.After(now) {
			continue
		}
		c.setStatus(now, m, status{Incarnation: m.status.Incarnation, State: fleet.NodeDead})
	}
}
