package distribute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// peer is what a follower knows about another node.
type peer struct {
	id                    fleet.NodeID
	region, failureDomain string
	addr                  string
	state                 fleet.NodeState
	incarnation           uint64
	configVersion         resource.Version
	avoidUntil            time.Time // after a failed pull
}

// usable reports whether the node may pull from the peer at now.
func (p *peer) usable(now time.Time) bool {
	return p.state != fleet.NodeDead && !p.avoidUntil.After(now)
}

// peers is a follower's view of membership. It is safe for concurrent use.
type peers struct {
	self fleet.Node

	mu   sync.Mutex
	byID map[fleet.NodeID]*peer
	// generation is incremented when the ranking of feeders may have changed.
	generation uint64
	// controlByID holds the usable control VMs.
	controlByID map[fleet.NodeID]controlVM
	// controlVersion is the highest version that control has named.
	controlVersion resource.Version
}

// controlVM is a control VM that membership knows.
type controlVM struct{ region, addr string }

func newPeers(self fleet.Node) *peers {
	return &peers{self: self, byID: map[fleet.NodeID]*peer{}, controlByID: map[fleet.NodeID]controlVM{}}
}

// update applies a change of a node in membership. Control VMs are not added as peers: they do not
// watch control, so a region in which they had the first ranks would have no feeder.
func (p *peers) update(n fleet.Node) {
	if n.ID == p.self.ID {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.Control {
		p.updateControl(n)
		return
	}
	old := p.byID[n.ID]
	if n.State == fleet.NodeDead {
		if old != nil {
			delete(p.byID, n.ID)
			p.generation++
		}
		return
	}
	if old == nil || old.state != n.State || old.region != n.Region || old.failureDomain != n.FailureDomain {
		p.generation++
	}
	next := &peer{
		id: n.ID, region: n.Region, failureDomain: n.FailureDomain, addr: n.LinkAddr,
		state: n.State, incarnation: n.Incarnation, configVersion: n.ConfigVersion,
	}
	if old != nil {
		next.avoidUntil = old.avoidUntil
	}
	p.byID[n.ID] = next
}

// updateControl records a control VM, or removes it. p.mu is held.
func (p *peers) updateControl(n fleet.Node) {
	if n.Usable() {
		p.controlByID[n.ID] = controlVM{n.Region, n.LinkAddr}
	} else {
		delete(p.controlByID, n.ID)
	}
}

// controlAddrs returns the configured addresses of control and those that membership knows, sorted and
// without duplicates.
func (p *peers) controlAddrs(configured []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(configured)
	for _, c := range p.controlByID {
		out = append(out, c.addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// shuffledControlAddrs returns the same addresses in random order, those of this node's region first.
func (p *peers) shuffledControlAddrs(configured []string) []string {
	out := p.controlAddrs(configured)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	near := map[string]bool{}
	for _, c := range p.controlByID {
		near[c.addr] = c.region == p.self.Region
	}
	slices.SortStableFunc(out, func(a, b string) int {
		switch {
		case near[a] == near[b]:
			return 0
		case near[a]:
			return -1
		}
		return 1
	})
	return out
}

// recordControlVersion records a version that control has named.
func (p *peers) recordControlVersion(v resource.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.controlVersion.Less(v) {
		p.controlVersion = v
	}
}

// controlIsNewer reports whether control has named a version above v.
func (p *peers) controlIsNewer(v resource.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return v.Less(p.controlVersion)
}

// newestVersion returns the highest version that control or any peer is known to hold.
func (p *peers) newestVersion() resource.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.controlVersion
	for _, q := range p.byID {
		if v.Less(q.configVersion) {
			v = q.configVersion
		}
	}
	return v
}

// pickSource returns a random usable peer that holds a version above v and whose address is not in
// asked, from this node's region or, if remote is true, from any region. Peers that membership
// considers alive are preferred. ok is false if there is none.
func (p *peers) pickSource(now time.Time, v resource.Version, remote bool, asked map[string]bool) (chosen peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates, alive := 0, false
	for _, q := range p.byID {
		if !v.Less(q.configVersion) || !q.usable(now) || asked[q.addr] || !remote && q.region != p.self.Region {
			continue
		}
		if q.state == fleet.NodeAlive && !alive {
			alive, candidates = true, 0
		}
		if alive && q.state != fleet.NodeAlive {
			continue
		}
		// Reservoir sampling: each candidate so far is chosen with the same probability.
		if candidates++; rand.IntN(candidates) == 0 {
			chosen, ok = *q, true
		}
	}
	return chosen, ok
}

// recordVersion records the version that a peer has returned. asked is the peer as it was known when it
// was asked.
func (p *peers) recordVersion(asked peer, v resource.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byID[asked.id]
	if q == nil {
		return
	}
	q.avoidUntil = time.Time{}
	// A lower version means that the peer has restarted. It is accepted unless membership has
	// announced another version in the meantime.
	if q.configVersion.Less(v) || q.configVersion == asked.configVersion {
		q.configVersion = v
	}
}

// recordFailure excludes a peer as source of pulls until the given time.
func (p *peers) recordFailure(id fleet.NodeID, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.byID[id]; q != nil {
		q.avoidUntil = until
	}
}

// pickRandom returns up to n random peers, those of this node's region first.
func (p *peers) pickRandom(n int) []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]peer, 0, len(p.byID))
	for _, q := range p.byID {
		all = append(all, *q)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b peer) int {
		return cmp.Compare(p.distance(&a), p.distance(&b))
	})
	return all[:min(n, len(all))]
}

// pickForProof returns a random peer of this node's region and a random one of any region.
func (p *peers) pickForProof() []peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, anywhere []peer
	for _, q := range p.byID {
		anywhere = append(anywhere, *q)
		if q.region == p.self.Region {
			near = append(near, *q)
		}
	}
	var out []peer
	for _, list := range [][]peer{near, anywhere} {
		if len(list) > 0 {
			out = append(out, list[rand.IntN(len(list))])
		}
	}
	return out
}

func (p *peers) distance(q *peer) int {
	if q.region == p.self.Region {
		return 0
	}
	return 1
}

// ranking is the order of the nodes of a region; the first ones are its feeders.
type ranking struct {
	generation uint64
	nodes      []peer // including this node
	ownRank    int    // position of this node in nodes
}

func rankScore(id fleet.NodeID) uint64 { return xxhash.Sum64String("feeder " + string(id)) }

// rank returns the ranking of this node's region, by rendezvous hashing, but with the second node from
// another failure domain than the first where possible. Only nodes that membership considers alive are
// ranked. old is returned if it is still valid.
func (p *peers) rank(old *ranking) *ranking {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old != nil && old.generation == p.generation {
		return old
	}
	r := &ranking{generation: p.generation}
	r.nodes = append(r.nodes, peer{id: p.self.ID, failureDomain: p.self.FailureDomain})
	for _, q := range p.byID {
		if q.region == p.self.Region && q.state == fleet.NodeAlive {
			r.nodes = append(r.nodes, *q)
		}
	}
	slices.SortFunc(r.nodes, func(a, b peer) int {
		return cmp.Or(cmp.Compare(rankScore(b.id), rankScore(a.id)), cmp.Compare(a.id, b.id))
	})
	otherDomain := slices.IndexFunc(r.nodes, func(q peer) bool { return q.failureDomain != r.nodes[0].failureDomain })
	if otherDomain > 1 {
		q := r.nodes[otherDomain]
		r.nodes = slices.Insert(slices.Delete(r.nodes, otherDomain, otherDomain+1), 1, q)
	}
	r.ownRank = slices.IndexFunc(r.nodes, func(q peer) bool { return q.id == p.self.ID })
	return r
}
