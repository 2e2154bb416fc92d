package gossip

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// maxTombstones bounds the upstreams that a node announces as gone. Beyond it
// the node numbers its upstreams anew, which voids all older entries.
const maxTombstones = 32

// placeholderRetention is how long a member is kept of which no more than a
// part has arrived.
const placeholderRetention = time.Minute

// Errors of received messages.
var (
	errStale = errors.New("gossip: message of an earlier process of its sender")
	errSelf  = errors.New("gossip: message from this node itself")
)

// packet is a datagram to be sealed and sent.
type packet struct {
	to      fleet.NodeID
	addr    string
	payload []byte
}

// core decides about membership. It is not safe for concurrent use. Its
// output, packets and changes, is taken with drain after each call.
type core struct {
	cfg    Config
	rand   *rand.Rand
	self   *member
	number uint64 // last number given to a part of the own record

	members map[fleet.NodeID]*member
	order   []*member        // all members but the own, by id
	silent  map[*member]bool // those with a deadline
	queue   *queue
	probing probing
	pushing pushing
	bulk    bulk

	// views of order, valid unless stale
	local, remote, dead []*member
	// near and far are the parts of local in the own failure domain and in others.
	near, far []*member
	stale     bool
	table     tableState
	// joining is true while no other live member is known.
	joining bool

	packets  []packet
	changed  map[fleet.NodeID]bool
	counters *counters
}

func newCore(cfg Config, local fleet.Node, seed uint64, now time.Time, n *counters) *core {
	incarnation := firstIncarnation(now)
	self := &member{
		id:        local.ID,
		status:    status{Incarnation: incarnation},
		upstreams: map[fleet.UpstreamID]upstreamEntry{},
		created:   now,
	}
	c := &core{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(seed, uint64(len(local.ID)))),
		self:     self,
		number:   incarnation,
		members:  map[fleet.NodeID]*member{local.ID: self},
		silent:   map[*member]bool{},
		queue:    newQueue(),
		stale:    true,
		joining:  true,
		changed:  map[fleet.NodeID]bool{},
		table:    tableState{dirty: map[*member]bool{}},
		counters: n,
	}
	c.pushing.tokens = float64(cfg.PushBurstBytes)
	c.pushing.refilled = now
	c.startProbing(now)
	c.queueStatus(c.self)
	c.setLocal(now, local)
	return c
}

// drain returns the packets to send and the members that changed since the
// last call.
func (c *core) drain() ([]packet, []fleet.Node) {
	packets := c.packets
	c.packets = nil
	var nodes []fleet.Node
	for id := range c.changed {
		if m := c.members[id]; m != nil && m.known() {
			nodes = append(nodes, m.node())
		}
	}
	clear(c.changed)
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return packets, nodes
}

// nodes returns all members that can be shown, by id.
func (c *core) nodes() []fleet.Node {
	out := make([]fleet.Node, 0, len(c.order)+1)
	out = append(out, c.self.node())
	for _, m := range c.order {
		if m.known() {
			out = append(out, m.node())
		}
	}
	slices.SortFunc(out, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// setLocal announces what changed in the own node.
func (c *core) setLocal(now time.Time, n fleet.Node) {
	if n.State == fleet.NodeLeaving {
		c.setOwnState(now, fleet.NodeLeaving)
	}
	c.setMeta(n)
	c.setUpstreams(n.Upstreams)
	if risen := c.raiseConfig(n.Config); risen && !c.queue.hasFresh() {
		c.pushNotice()
	}
	if c.queue.hasFresh() {
		c.push(now, true)
	}
}

// raiseConfig takes the version of the own configuration unless it is lower: a
// configuration never reverts, and a caller may have read it before it rose.
func (c *core) raiseConfig(v resource.Version) (risen bool) {
	if !c.self.config.Less(v) {
		return false
	}
	c.self.config = v
	c.changed[c.self.id] = true
	return true
}

// setOwnState moves the own node to a later state: leaving or dead.
func (c *core) setOwnState(now time.Time, s fleet.NodeState) {
	if c.self.status.State >= s {
		return
	}
	c.self.status.State = s
	c.queueStatus(c.self)
	c.push(now, true)
}

func (c *core) setMeta(n fleet.Node) {
	next := meta{
		Number: c.self.meta.Number, First: c.self.meta.First,
		Region: n.Region, FailureDomain: n.FailureDomain,
		LinkAddr: n.LinkAddr, GossipAddr: n.GossipAddr, Control: n.Control,
	}
	if next == c.self.meta && next.Number != 0 {
		return
	}
	if r := (record{Node: c.self.id, Meta: &next}); !r.valid() {
		c.counters.Refused.Add(1)
		return
	}
	c.number++
	next.Number = c.number
	if next.First == 0 {
		next.First = c.number
	}
	c.self.meta = next
	c.stale = true
	c.queueMeta(c.self)
}

func (c *core) setUpstreams(list []fleet.Upstream) {
	seen := make(map[fleet.UpstreamID]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		c.setUpstream(u)
	}
	for _, id := range c.ownUpstreams() {
		if e := c.self.upstreams[id]; !seen[id] && e.State != fleet.UpstreamGone {
			e.State = fleet.UpstreamGone
			c.putOwn(e)
		}
	}
	tombstones := 0
	for _, e := range c.self.upstreams {
		if e.State == fleet.UpstreamGone {
			tombstones++
		}
	}
	if tombstones > maxTombstones {
		c.renumber()
	}
}

func (c *core) setUpstream(u fleet.Upstream) {
	old, known := c.self.upstreams[u.ID]
	next := toEntry(u, old.Number)
	if next == old || !known && u.State == fleet.UpstreamGone {
		return
	}
	r := record{Node: c.self.id, Upstreams: []upstreamEntry{next}}
	if !r.valid() || !known && len(c.self.upstreams) >= maxUpstreams+maxTombstones {
		c.counters.Refused.Add(1)
		return
	}
	c.putOwn(next)
}

// ownUpstreams returns the ids in a fixed order, to keep the core
// deterministic.
func (c *core) ownUpstreams() []fleet.UpstreamID {
	ids := make([]fleet.UpstreamID, 0, len(c.self.upstreams))
	for id := range c.self.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *core) putOwn(e upstreamEntry) {
	c.number++
	e.Number = c.number
	c.self.upstreams[e.ID] = e
	c.queueUpstream(c.self, e)
}

// renumber gives all parts of the own record new numbers and drops its
// tombstones. Entries from before are void wherever they are.
func (c *core) renumber() {
	c.number++
	c.self.meta.Number, c.self.meta.First = c.number, c.number
	c.queue.removeIf(func(p part) bool { return p.node == c.self.id })
	c.queueStatus(c.self)
	c.queueMeta(c.self)
	for _, id := range c.ownUpstreams() {
		e := c.self.upstreams[id]
		if e.State == fleet.UpstreamGone {
			delete(c.self.upstreams, id)
			continue
		}
		c.putOwn(e)
	}
}

func (c *core) queueStatus(m *member) {
	s := m.status
	c.queue.add(part{m.id, partStatus, ""}, record{Node: m.id, Status: &s}, s.State != fleet.NodeAlive)
	c.touch(m)
}

func (c *core) queueMeta(m *member) {
	x := m.meta
	c.queue.add(part{m.id, partMeta, ""}, record{Node: m.id, Meta: &x}, false)
	c.touch(m)
}

func (c *core) queueUpstream(m *member, e upstreamEntry) {
	urgent := e.State == fleet.UpstreamDraining || e.State == fleet.UpstreamGone
	c.queue.add(part{m.id, partUpstream, e.ID}, record{Node: m.id, Upstreams: []upstreamEntry{e}}, urgent)
	c.touch(m)
}

func (c *core) touch(m *member) {
	c.changed[m.id] = true
	c.stale = true
	c.table.dirty[m] = true
}

// views brings local, remote and dead up to date.
func (c *core) views() {
	if !c.stale {
		return
	}
	c.stale = false
	c.local, c.remote, c.dead = c.local[:0], c.remote[:0], c.dead[:0]
	c.near, c.far = c.near[:0], c.far[:0]
	for _, m := range c.order {
		switch {
		case !m.known():
		case m.status.State == fleet.NodeDead:
			c.dead = append(c.dead, m)
		case m.meta.Region == c.self.meta.Region:
			c.local = append(c.local, m)
			if m.meta.FailureDomain == c.self.meta.FailureDomain {
				c.near = append(c.near, m)
			} else {
				c.far = append(c.far, m)
			}
		default:
			c.remote = append(c.remote, m)
		}
	}
	if len(c.local)+len(c.remote) == 0 {
		c.joining = true
	}
}

// liveLinkAddrs returns the link addresses of all live nodes, the own included.
func (c *core) liveLinkAddrs() map[string]bool {
	c.views()
	addrs := map[string]bool{c.self.meta.LinkAddr: true}
	for _, list := range [...][]*member{c.local, c.remote} {
		for _, m := range list {
			addrs[m.meta.LinkAddr] = true
		}
	}
	return addrs
}

// size returns the number of live nodes, with the own.
func (c *core) size() int {
	c.views()
	return 1 + len(c.local) + len(c.remote)
}

// choose returns up to n random members of list other than except.
func (c *core) choose(list []*member, n int, except fleet.NodeID) []*member {
	var out []*member
	// A few misses are expected in small lists; the bound ends the search there.
	for tries := 0; len(out) < n && tries < 4*n+len(list) && len(list) > 0; tries++ {
		m := list[c.rand.IntN(len(list))]
		if m.id != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// add returns the member called id, made if need be.
func (c *core) add(now time.Time, id fleet.NodeID) *member {
	if m := c.members[id]; m != nil {
		return m
	}
	m := &member{id: id, upstreams: map[fleet.UpstreamID]upstreamEntry{}, created: now}
	c.members[id] = m
	i, _ := slices.BinarySearchFunc(c.order, id, func(m *member, id fleet.NodeID) int { return cmp.Compare(m.id, id) })
	c.order = slices.Insert(c.order, i, m)
	return m
}

// expire forgets members that have been dead, or incomplete, for long.
func (c *core) expire(now time.Time) {
	before := len(c.order)
	c.order = slices.DeleteFunc(c.order, func(m *member) bool {
		old := m.status.State == fleet.NodeDead && now.Sub(m.deadSince) >= c.cfg.DeadRetention ||
			!m.known() && now.Sub(m.created) >= placeholderRetention
		if old {
			c.setDeadline(m, time.Time{})
			c.dropFromTable(m)
			delete(c.members, m.id)
			c.queue.removeIf(func(p part) bool { return p.node == m.id })
		}
		return old
	})
	if len(c.order) != before {
		c.stale = true
	}
}
