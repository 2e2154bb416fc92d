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

// peer is what a follower needs to know of another node.
type peer struct {
	id             fleet.NodeID
	region, domain string
	addr           string
	state          fleet.NodeState
	incarnation    uint64
	config         resource.Version
	avoidUntil     time.Time // after a failed pull
}

// usable reports whether the peer may be asked at now.
func (p *peer) usable(now time.Time) bool {
	return p.state != fleet.NodeDead && !p.avoidUntil.After(now)
}

// peers is the follower's view of membership. It is safe for concurrent use.
type peers struct {
	self fleet.Node

	mu   sync.Mutex
	byID map[fleet.NodeID]*peer
	// generation grows when the ranking of feeders may have changed.
	generation uint64
	// control holds the link addresses of live control VMs.
	control map[fleet.NodeID]string
}

func newPeers(self fleet.Node) *peers {
	return &peers{self: self, byID: map[fleet.NodeID]*peer{}, control: map[fleet.NodeID]string{}}
}

// update takes what membership says of a node. Control VMs are left out: they
// do not watch control, so a region where they have the first ranks would have
// no feeder.
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
	if old == nil || old.state != n.State || old.region != n.Region || old.domain != n.FailureDomain {
		p.generation++
	}
	next := &peer{
		id: n.ID, region: n.Region, domain: n.FailureDomain, addr: n.LinkAddr,
		state: n.State, incarnation: n.Incarnation, config: n.Config,
	}
	if old != nil {
		next.avoidUntil = old.avoidUntil
	}
	p.byID[n.ID] = next
}

// updateControl notes where a control VM is reached. p.mu is held.
func (p *peers) updateControl(n fleet.Node) {
	if n.Usable() {
		p.control[n.ID] = n.LinkAddr
	} else {
		delete(p.control, n.ID)
	}
}

// controlAddrs returns the given addresses of control and those that
// membership knows, in order and without repetition.
func (p *peers) controlAddrs(given []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(given)
	for _, addr := range p.control {
		out = append(out, addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// newest returns the highest version that any peer is known to hold.
func (p *peers) newest() resource.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	var v resource.Version
	for _, q := range p.byID {
		if v.Less(q.config) {
			v = q.config
		}
	}
	return v
}

// source returns a random peer that holds a version above v, from the own
// region or, if remote is true, from any. ok is false if there is none.
func (p *peers) source(now time.Time, v resource.Version, remote bool) (chosen peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := 0
	for _, q := range p.byID {
		if !v.Less(q.config) || !q.usable(now) || !remote && q.region != p.self.Region {
			continue
		}
		// Each of the peers seen so far is kept with the same chance.
		if seen++; rand.IntN(seen) == 0 {
			chosen, ok = *q, true
		}
	}
	return chosen, ok
}

// answered notes the version that a peer said it holds. asked is the peer as it
// was known before.
func (p *peers) answered(asked peer, v resource.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byID[asked.id]
	if q == nil {
		return
	}
	q.avoidUntil = time.Time{}
	// A lower version is taken unless membership has told of a newer one
	// meanwhile: the peer has restarted.
	if q.config.Less(v) || q.config == asked.config {
		q.config = v
	}
}

// failed keeps a peer from being asked for a while.
func (p *peers) failed(id fleet.NodeID, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.byID[id]; q != nil {
		q.avoidUntil = until
	}
}

// random returns up to n random peers, those of the own region first.
func (p *peers) random(n int) []peer {
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

func (p *peers) distance(q *peer) int {
	if q.region == p.self.Region {
		return 0
	}
	return 1
}

// ranking is the order in which the nodes of a region feed it.
type ranking struct {
	generation uint64
	nodes      []peer // the own node included
	own        int    // position of the own node
}

func score(id fleet.NodeID) uint64 { return xxhash.Sum64String("feeder " + string(id)) }

// rank returns the ranking of the own region: by rendezvous hash, but with the
// second from another failure domain than the first where possible. Only nodes
// held alive take part. old is returned if nothing changed since.
func (p *peers) rank(old *ranking) *ranking {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old != nil && old.generation == p.generation {
		return old
	}
	r := &ranking{generation: p.generation}
	r.nodes = append(r.nodes, peer{id: p.self.ID, domain: p.self.FailureDomain})
	for _, q := range p.byID {
		if q.region == p.self.Region && q.state == fleet.NodeAlive {
			r.nodes = append(r.nodes, *q)
		}
	}
	slices.SortFunc(r.nodes, func(a, b peer) int {
		return cmp.Or(cmp.Compare(score(b.id), score(a.id)), cmp.Compare(a.id, b.id))
	})
	other := slices.IndexFunc(r.nodes, func(q peer) bool { return q.domain != r.nodes[0].domain })
	if other > 1 {
		q := r.nodes[other]
		r.nodes = slices.Insert(slices.Delete(r.nodes, other, other+1), 1, q)
	}
	r.own = slices.IndexFunc(r.nodes, func(q peer) bool { return q.id == p.self.ID })
	return r
}
