package gossip

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// sim runs cores on a simulated network with a simulated clock.
type sim struct {
	t       testing.TB
	now     time.Time
	rand    *rand.Rand
	cores   map[string]*core // by gossip address; a killed node has no entry
	nodes   []*core
	pending deliveries
	sent    int // datagrams sent so far, including lost ones
	// blocked reports whether all datagrams from one address to another are lost.
	blocked   func(from, to string) bool
	loss      float64
	events    map[fleet.NodeID][]fleet.Node // the changes that each node reported
	nextTicks []time.Time                   // time of each node's next tick
	// disks are those of the control VMs, by node. They outlast the processes.
	disks [8]memDisk
	bytes int // sent in datagrams, including headers
	// exchanged is the number of bytes sent in full exchanges.
	exchanged int
}

// simControls are the nodes that are control VMs.
var simControls = []int{0, 1, 2, 5, 6}

// memDisk is the disk of a control VM.
type memDisk struct {
	kept []fleet.KeptDeparture
	// refuses makes all writes fail.
	refuses bool
	storeAt time.Time // when departures are stored next; zero if that is not due
}

// LoadDepartures implements DepartureStore.
func (d *memDisk) LoadDepartures() ([]fleet.KeptDeparture, error) { return d.kept, nil }

// SaveDepartures implements DepartureStore.
func (d *memDisk) SaveDepartures(list []fleet.KeptDeparture) error {
	if d.refuses {
		return errors.New("no space left on device")
	}
	d.kept = list
	return nil
}

type delivery struct {
	at       time.Time
	seq      int
	from, to string
	packet   packet
}

type deliveries []delivery

func (m deliveries) Len() int { return len(m) }
func (m deliveries) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].seq < m[j].seq
}
func (m deliveries) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *deliveries) Push(x any)   { *m = append(*m, x.(delivery)) }
func (m *deliveries) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

func addrOf(i int) string { return fmt.Sprintf("127.0.0.1:%d", 1000+i) }

func indexOf(addr string) int {
	var i int
	fmt.Sscanf(addr, "127.0.0.1:%d", &i)
	return i - 1000
}

func localNode(i, regions int) fleet.Node {
	return fleet.Node{
		ID:         fleet.NodeID(fmt.Sprintf("node-%03d", i)),
		Region:     fmt.Sprintf("region-%d", i%regions),
		LinkAddr:   addrOf(i),
		GossipAddr: addrOf(i),
		Control:    slices.Contains(simControls, i),
	}
}

// newSim starts n nodes that know each other, spread over the given number of regions.
func newSim(t testing.TB, n, regions int, seed uint64) *sim {
	s := &sim{
		t: t, now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		cores: map[string]*core{}, blocked: func(_, _ string) bool { return false },
		events: map[fleet.NodeID][]fleet.Node{},
	}
	for i := range n {
		s.start(i, regions)
		if i > 0 {
			s.exchange(i, 0)
		}
	}
	for i := 1; i < n; i++ {
		s.exchange(i, 0)
	}
	s.run(3 * time.Second)
	for i := range n {
		s.wantState(i, fleet.NodeAlive, all(n)...)
	}
	return s
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// start starts a new process of node i.
func (s *sim) start(i, regions int) *core {
	cfg := Config{DepartureDisks: 3}
	cfg.setDefaults()
	isControl := slices.Contains(simControls, i)
	if isControl {
		s.disks[i].storeAt = time.Time{}
		cfg.Departures = &s.disks[i]
	}
	c := newCore(cfg, localNode(i, regions), s.rand.Uint64(), s.now, &counters{})
	if isControl {
		c.loadDepartures(s.now, s.disks[i].kept)
	}
	if i < len(s.nodes) {
		s.nodes[i] = c
	} else {
		s.nodes = append(s.nodes, c)
		s.nextTicks = append(s.nextTicks, time.Time{})
	}
	s.nextTicks[i] = c.nextTick()
	s.cores[addrOf(i)] = c
	return c
}

func (s *sim) kill(i int) { delete(s.cores, addrOf(i)) }

// exchange runs a full exchange that node i initiates.
func (s *sim) exchange(i, with int) {
	a, b := s.nodes[i], s.nodes[with]
	wasJoining := a.joining
	digests := a.digests()
	records, want := b.compareDigests(s.now, digests)
	wanted := a.recordsOf(s.now, want)
	s.exchanged += len(mustEncode(digests)) + len(mustEncode(records)) + len(mustEncode(want)) + len(mustEncode(wanted))
	a.mergeRecords(s.now, records, wasJoining)
	b.mergeRecords(s.now, wanted, false)
	s.collect(a)
	s.collect(b)
}

// collect fetches the output of a core and schedules the delivery of its packets.
func (s *sim) collect(c *core) {
	packets, changed := c.takeOutput()
	s.events[c.self.id] = append(s.events[c.self.id], changed...)
	from := c.self.meta.GossipAddr
	s.nextTicks[indexOf(from)] = c.nextTick()
	if i := indexOf(from); c.storing.due && c.cfg.Departures != nil && s.disks[i].storeAt.IsZero() {
		s.disks[i].storeAt = s.now.Add(saveDelay)
	}
	c.storing.due = false
	for _, p := range packets {
		if len(p.payload) > maxPlain {
			s.t.Fatalf("message of %d bytes is larger than maxPlain", len(p.payload))
		}
		s.sent++
		s.bytes += len(p.payload) + sealOverhead + packetOverhead
		if s.blocked(from, p.addr) || s.rand.Float64() < s.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(s.rand.Int64N(int64(30*time.Millisecond)))
		heap.Push(&s.pending, delivery{s.now.Add(delay), s.sent, from, p.addr, p})
	}
}

// run advances the clock by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		at := end
		var due *core
		for i, tick := range s.nextTicks {
			if tick.Before(at) && s.cores[addrOf(i)] != nil {
				at, due = tick, s.nodes[i]
			}
		}
		if i, disk := s.nextStore(); disk != nil && !disk.storeAt.After(at) {
			s.now = later(s.now, disk.storeAt)
			s.store(i)
			continue
		}
		if len(s.pending) > 0 && !s.pending[0].at.After(at) {
			next := heap.Pop(&s.pending).(delivery)
			s.now = next.at
			s.deliver(next)
			continue
		}
		if due == nil {
			s.now = end
			return
		}
		s.now = later(s.now, at)
		due.tick(s.now)
		s.collect(due)
		addr, ok := due.bulkPartner(s.now)
		if !ok {
			addr, ok = due.repairPartner(s.now)
		}
		if ok && s.cores[addr] != nil {
			s.exchange(indexOf(due.self.meta.GossipAddr), indexOf(addr))
		}
	}
}

// nextStore returns the control VM that stores departures next, or nil.
func (s *sim) nextStore() (next int, disk *memDisk) {
	for _, i := range simControls {
		d := &s.disks[i]
		if d.storeAt.IsZero() || s.cores[addrOf(i)] == nil {
			continue
		}
		if disk == nil || d.storeAt.Before(disk.storeAt) {
			next, disk = i, d
		}
	}
	return next, disk
}

// store stores the departures that control VM i knows.
func (s *sim) store(i int) {
	c, disk := s.nodes[i], &s.disks[i]
	disk.storeAt = time.Time{}
	version := c.storing.version
	if disk.SaveDepartures(c.keptDepartures(s.now)) != nil {
		c.storeFailed()
	} else {
		c.departuresStored(version)
	}
	s.collect(c)
}

func (s *sim) deliver(d delivery) {
	c := s.cores[d.to]
	if c == nil {
		return
	}
	if err := c.receive(s.now, d.from, d.packet.payload); err != nil && err != errStale {
		s.t.Fatalf("%s refused a message from %s: %v", d.to, d.from, err)
	}
	s.collect(c)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// state returns the state of node i in the observer's view, and whether the observer knows the node.
func (s *sim) state(observer, i int) (fleet.NodeState, bool) {
	m := s.nodes[observer].members[s.nodes[i].self.id]
	if m == nil || !m.complete() {
		return 0, false
	}
	return m.status.State, true
}

// wantState fails the test unless node i has the wanted state in the view of all observers.
func (s *sim) wantState(i int, want fleet.NodeState, observers ...int) {
	s.t.Helper()
	for _, o := range observers {
		if got, ok := s.state(o, i); !ok || got != want {
			s.t.Fatalf("node %d has node %d in state %v (known: %v), want %v", o, i, got, ok, want)
		}
	}
}

// hasState reports whether node i has one of the states in the view of all observers.
func (s *sim) hasState(i int, observers []int, states ...fleet.NodeState) bool {
	for _, o := range observers {
		if got, ok := s.state(o, i); !ok || !slices.Contains(states, got) {
			return false
		}
	}
	return true
}

// everDead reports whether any node ever reported node i as dead.
func (s *sim) everDead(i int) bool {
	for _, list := range s.events {
		for _, n := range list {
			if n.ID == s.nodes[i].self.id && n.State == fleet.NodeDead {
				return true
			}
		}
	}
	return false
}

// until advances the clock until cond holds and returns how long that took. It fails the test after
// limit.
func (s *sim) until(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	began := s.now
	for !cond() {
		if s.now.Sub(began) > limit {
			s.t.Fatalf("condition did not hold within %v: %s", limit, what)
		}
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(began)
}
