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

// maxTombstones is the maximum number of tombstones in a node's own record. When it is exceeded,
// the node renumbers its record, which invalidates all older entries.
const maxTombstones = 32

// placeholderRetention is how long a member is kept whose status or meta has not arrived.
const placeholderRetention = time.Minute

// Errors on received messages.
var (
	errStale = errors.New("gossip: message from an earlier process of its sender")
	errSelf  = errors.New("gossip: message has this node's own ID as its sender")
)

// packet is a message to be sealed and sent as a datagram.
type packet struct {
	receiver fleet.NodeID
	addr     string
	payload  []byte
}

// core is the state machine of the membership protocol. It is not safe for concurrent use. After
// each call, its output (packets and changed members) must be fetched with takeOutput.
type core struct {
	cfg        Config
	rand       *rand.Rand
	self       *member
	lastNumber uint64 // last number given to this node's meta or one of its upstream entries

	members        map[fleet.NodeID]*member
	peers          []*member        // all members except self, sorted by ID
	deathDeadlines map[*member]bool // members whose deathDeadline is set
	queue          *queue
	probing        probing
	pushing        pushing
	bulk           bulk

	// Subsets of peers, valid unless viewsStale: live members of this node's region and of the other
	// regions, and dead members.
	sameRegion, otherRegions, dead []*member
	// sameDomain and otherDomains are the members of sameRegion in this node's failure domain and in
	// other ones.
	sameDomain, otherDomains []*member
	viewsStale               bool
	table                    tableState
	// joining is true while no other live member is known.
	joining bool

	// confirming holds the departures of this node that other members have to acknowledge, by number.
	confirming map[uint64]*confirmation
	storing    storing
	// recalled holds the departures of this node that other members have kept, until they are fetched.
	recalled []fleet.Departure

	packets  []packet
	changed  map[fleet.NodeID]bool
	counters *counters
}

func newCore(cfg Config, local fleet.Node, seed uint64, now time.Time, counts *counters) *core {
	incarnation := firstIncarnation(now)
	self := &member{
		id:        local.ID,
		status:    status{Incarnation: incarnation},
		upstreams: map[fleet.UpstreamID]upstreamEntry{}, departures: departures{},
		created: now,
	}
	c := &core{
		cfg:            cfg,
		rand:           rand.New(rand.NewPCG(seed, uint64(len(local.ID)))),
		self:           self,
		lastNumber:     incarnation,
		members:        map[fleet.NodeID]*member{local.ID: self},
		deathDeadlines: map[*member]bool{},
		confirming:     map[uint64]*confirmation{},
		queue:          newQueue(),
		viewsStale:     true,
		joining:        true,
		changed:        map[fleet.NodeID]bool{},
		table:          tableState{dirty: map[*member]bool{}},
		counters:       counts,
	}
	c.pushing.tokens = float64(cfg.PushBurstBytes)
	c.pushing.lastRefill = now
	c.startProbing(now)
	c.queueStatus(c.self)
	c.setLocal(now, local)
	return c
}

// takeOutput returns the packets to send and the members that changed since the last call.
func (c *core) takeOutput() ([]packet, []fleet.Node) {
	packets := c.packets
	c.packets = nil
	var nodes []fleet.Node
	for id := range c.changed {
		if m := c.members[id]; m != nil && m.complete() {
			nodes = append(nodes, m.node())
		}
	}
	clear(c.changed)
	slices.SortFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return packets, nodes
}

// nodes returns this node and all complete members, sorted by ID.
func (c *core) nodes() []fleet.Node {
	out := make([]fleet.Node, 0, len(c.peers)+1)
	out = append(out, c.self.node())
	for _, m := range c.peers {
		if m.complete() {
			out = append(out, m.node())
		}
	}
	slices.SortFunc(out, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// setLocal updates this node's record from n and announces what changed.
func (c *core) setLocal(now time.Time, n fleet.Node) {
	if n.State == fleet.NodeLeaving {
		c.setOwnState(now, fleet.NodeLeaving)
	}
	c.setOwnMeta(n)
	c.setOwnUpstreams(n.Upstreams)
	if risen := c.raiseConfigVersion(n.ConfigVersion); risen && !c.queue.hasFresh() {
		c.pushConfigNotice()
	}
	if c.queue.hasFresh() {
		c.push(now, true)
	}
}

// raiseConfigVersion raises the announced configuration version to v and reports whether v was
// higher. A lower version is ignored: a configuration never reverts, and the caller may have read
// v before the announced version was raised.
func (c *core) raiseConfigVersion(v resource.Version) (risen bool) {
	if !c.self.config.Less(v) {
		return false
	}
	c.self.config = v
	c.changed[c.self.id] = true
	return true
}

// setOwnState changes the state of this node to leaving or dead. A state that is not later than the
// current one is ignored.
func (c *core) setOwnState(now time.Time, s fleet.NodeState) {
	if c.self.status.State >= s {
		return
	}
	c.self.status.State = s
	c.queueStatus(c.self)
	c.push(now, true)
}

func (c *core) setOwnMeta(n fleet.Node) {
	next := meta{
		Number: c.self.meta.Number, MinNumber: c.self.meta.MinNumber,
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
	c.lastNumber++
	next.Number = c.lastNumber
	if next.MinNumber == 0 {
		next.MinNumber = c.lastNumber
	}
	c.self.meta = next
	c.viewsStale = true
	c.queueMeta(c.self)
}

func (c *core) setOwnUpstreams(list []fleet.Upstream) {
	seen := make(map[fleet.UpstreamID]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		c.setOwnUpstream(u)
	}
	for _, id := range c.ownUpstreamIDs() {
		if e := c.self.upstreams[id]; !seen[id] && e.State != fleet.UpstreamGone {
			e.State = fleet.UpstreamGone
			c.storeOwnUpstream(e)
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

func (c *core) setOwnUpstream(u fleet.Upstream) {
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
	c.storeOwnUpstream(next)
}

// ownUpstreamIDs returns the IDs in sorted order, to keep the core deterministic.
func (c *core) ownUpstreamIDs() []fleet.UpstreamID {
	ids := make([]fleet.UpstreamID, 0, len(c.self.upstreams))
	for id := range c.self.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *core) storeOwnUpstream(e upstreamEntry) {
	c.lastNumber++
	e.Number = c.lastNumber
	c.self.upstreams[e.ID] = e
	c.queueUpstream(c.self, e)
}

// renumber gives this node's meta and upstream entries new numbers and deletes the tombstones.
// Other nodes delete all earlier entries when they receive the new meta.
func (c *core) renumber() {
	c.lastNumber++
	c.self.meta.Number, c.self.meta.MinNumber = c.lastNumber, c.lastNumber
	c.queue.removeIf(func(p recordPart) bool { return p.node == c.self.id })
	c.queueStatus(c.self)
	c.queueMeta(c.self)
	for _, id := range c.ownUpstreamIDs() {
		e := c.self.upstreams[id]
		if e.State == fleet.UpstreamGone {
			delete(c.self.upstreams, id)
			continue
		}
		c.storeOwnUpstream(e)
	}
}

func (c *core) queueStatus(m *member) {
	s := m.status
	c.queueChange(recordPart{m.id, partStatus, ""}, record{Node: m.id, Status: &s}, s.State != fleet.NodeAlive)
	c.markChanged(m)
}

func (c *core) queueMeta(m *member) {
	copied := m.meta
	c.queueChange(recordPart{m.id, partMeta, ""}, record{Node: m.id, Meta: &copied}, false)
	c.markChanged(m)
}

func (c *core) queueUpstream(m *member, e upstreamEntry) {
	urgent := e.State == fleet.UpstreamDraining || e.State == fleet.UpstreamGone
	c.queueChange(recordPart{m.id, partUpstream, e.ID}, record{Node: m.id, Upstreams: []upstreamEntry{e}}, urgent)
	c.markChanged(m)
}

// queueChange queues a fresh change and chooses its reach on probes and acks. This node's own changes reach the
// whole fleet. Changes of other nodes reach other failure domains and regions only at randomly chosen nodes, so
// that about as many nodes pass a change on there as with pushes.
func (c *core) queueChange(p recordPart, r record, urgent bool) {
	passOns := passOnsPerRegion
	if urgent {
		passOns = urgentPassOnsPerRegion
	}
	c.refreshViews()
	to := reachDomain
	switch {
	case p.node == c.self.id, c.sampled(passOns, len(c.sameRegion)+1):
		to = reachFleet
	case c.passesToOtherDomains():
		to = reachRegion
	}
	c.queue.add(p, r, urgent, to)
}

// sampled returns true with probability n/total, so that about n of total nodes get true.
func (c *core) sampled(n, total int) bool { return c.rand.Float64()*float64(total) < float64(n) }

// reachOf returns the smallest reach that includes m. If the location of m is not known, m gets all changes.
func (c *core) reachOf(m *member) reach {
	switch {
	case m == nil || !m.complete():
		return reachDomain
	case m.meta.Region != c.self.meta.Region:
		return reachFleet
	case m.meta.FailureDomain != c.self.meta.FailureDomain:
		return reachRegion
	}
	return reachDomain
}

func (c *core) markChanged(m *member) {
	c.changed[m.id] = true
	c.viewsStale = true
	c.table.dirty[m] = true
}

// refreshViews updates the subsets of peers if they are stale.
func (c *core) refreshViews() {
	if !c.viewsStale {
		return
	}
	c.viewsStale = false
	c.sameRegion, c.otherRegions, c.dead = c.sameRegion[:0], c.otherRegions[:0], c.dead[:0]
	c.sameDomain, c.otherDomains = c.sameDomain[:0], c.otherDomains[:0]
	for _, m := range c.peers {
		switch {
		case !m.complete():
		case m.status.State == fleet.NodeDead:
			c.dead = append(c.dead, m)
		case m.meta.Region == c.self.meta.Region:
			c.sameRegion = append(c.sameRegion, m)
			if m.meta.FailureDomain == c.self.meta.FailureDomain {
				c.sameDomain = append(c.sameDomain, m)
			} else {
				c.otherDomains = append(c.otherDomains, m)
			}
		default:
			c.otherRegions = append(c.otherRegions, m)
		}
	}
	if len(c.sameRegion)+len(c.otherRegions) == 0 {
		c.joining = true
	}
}

// liveLinkAddrs returns the link addresses of all live nodes, including this one.
func (c *core) liveLinkAddrs() map[string]bool {
	c.refreshViews()
	addrs := map[string]bool{c.self.meta.LinkAddr: true}
	for _, list := range [...][]*member{c.sameRegion, c.otherRegions} {
		for _, m := range list {
			addrs[m.meta.LinkAddr] = true
		}
	}
	return addrs
}

// fleetSize returns the number of live nodes, including this one.
func (c *core) fleetSize() int {
	c.refreshViews()
	return 1 + len(c.sameRegion) + len(c.otherRegions)
}

// chooseRandom returns up to n distinct random members of list other than except.
func (c *core) chooseRandom(list []*member, n int, except fleet.NodeID) []*member {
	var out []*member
	// In a small list, many draws hit a member that was drawn before. The bound on tries ends the
	// search then.
	for tries := 0; len(out) < n && tries < 4*n+len(list) && len(list) > 0; tries++ {
		m := list[c.rand.IntN(len(list))]
		if m.id != except && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// memberFor returns the member with the given ID, and creates it if it is missing.
func (c *core) memberFor(now time.Time, id fleet.NodeID) *member {
	if m := c.members[id]; m != nil {
		return m
	}
	m := &member{id: id, upstreams: map[fleet.UpstreamID]upstreamEntry{}, departures: departures{}, created: now}
	c.members[id] = m
	i, _ := slices.BinarySearchFunc(c.peers, id, func(m *member, id fleet.NodeID) int { return cmp.Compare(m.id, id) })
	c.peers = slices.Insert(c.peers, i, m)
	return m
}

// expireMembers deletes members that have been dead for DeadRetention, or incomplete for
// placeholderRetention.
func (c *core) expireMembers(now time.Time) {
	oldLen := len(c.peers)
	c.peers = slices.DeleteFunc(c.peers, func(m *member) bool {
		expired := m.status.State == fleet.NodeDead && now.Sub(m.deadSince) >= c.cfg.DeadRetention ||
			!m.complete() && now.Sub(m.created) >= placeholderRetention
		if expired {
			c.setDeathDeadline(m, time.Time{})
			c.dropFromTable(m)
			delete(c.members, m.id)
			c.queue.removeIf(func(p recordPart) bool { return p.node == m.id })
		}
		return expired
	})
	if len(c.peers) != oldLen {
		c.viewsStale = true
	}
}
