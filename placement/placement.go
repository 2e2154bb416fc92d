// Package placement decides which nodes hold the replicas of idempotency
// groups. It is a pure function of the groups and of membership; control runs
// it and writes what it returns.
package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/gossip"
	"github.com/godwithub/godwithub/resource"
)

const (
	// groupSize is the number of voting replicas of a group. Five outlive the
	// loss of a failure domain with two of them, or of any two VMs.
	groupSize = 5
	// remoteReplicas is how many of them are in another region, so that a group
	// outlives one of its failure domains and one further VM.
	remoteReplicas = 1
	// nodesPerGroup is the number of nodes of a region per group. At 277 nodes
	// in a region each node then holds about half a replica.
	nodesPerGroup = 10
	// maxGroupsPerRegion bounds the groups of a region.
	maxGroupsPerRegion = 64
)

// Plan returns the groups to write: new ones, and those whose members have to
// change. members is membership without control VMs. Groups of regions without
// nodes are left as they are.
func Plan(groups map[string]*resource.Group, members []fleet.Node) []*resource.Group {
	p := newPlanner(groups, members)
	var out []*resource.Group
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		if g := p.repair(groups[name]); g != nil {
			out = append(out, g)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(p.regions)) {
		out = append(out, p.create(region)...)
	}
	return out
}

type planner struct {
	groups  map[string]*resource.Group
	nodes   map[string]fleet.Node // usable, by id
	regions map[string][]fleet.Node
	load    map[string]int // replicas by node
}

func newPlanner(groups map[string]*resource.Group, members []fleet.Node) *planner {
	p := &planner{groups: groups, nodes: map[string]fleet.Node{}, regions: map[string][]fleet.Node{}, load: map[string]int{}}
	for _, n := range members {
		// A suspected node may be about to be declared dead, so it gets no new
		// replicas, but it keeps those that it has.
		if n.State == fleet.NodeAlive || n.State == fleet.NodeSuspect {
			p.nodes[string(n.ID)] = n
		}
		if n.State == fleet.NodeAlive {
			p.regions[n.Region] = append(p.regions[n.Region], n)
		}
	}
	for _, g := range groups {
		for _, m := range g.Members {
			p.load[m.Node]++
		}
	}
	return p
}

// lost reports whether a replica's memory is gone or out of reach.
func (p *planner) lost(m resource.GroupMember) bool {
	n, ok := p.nodes[m.Node]
	return !ok || p.forgot(m, n)
}

// forgot reports whether the node has restarted since the replica was assigned.
func (p *planner) forgot(m resource.GroupMember, n fleet.Node) bool {
	return gossip.Boot(n.Incarnation) > gossip.Boot(m.Incarnation)
}

// repair returns g with lost members replaced, or nil if it can stay.
func (p *planner) repair(g *resource.Group) *resource.Group {
	kept := make([]resource.GroupMember, 0, len(g.Members))
	forgot := 0
	for _, m := range g.Members {
		n, ok := p.nodes[m.Node]
		if ok && p.forgot(m, n) {
			forgot++
		}
		if !p.lost(m) {
			kept = append(kept, m)
		}
	}
	size := p.size()
	if forgot > len(g.Members)/2 {
		// Most replicas are known to have lost their memory, so no majority of
		// this epoch can come together again. A group whose members are merely
		// out of reach is left alone: it may be at work beyond a partition.
		return p.refound(g)
	}
	if len(kept) == len(g.Members) && len(kept) >= size {
		return nil
	}
	next := g.Clone().(*resource.Group)
	next.Members = p.fill(g.HomeRegion, kept, size, nextReplica(g), true)
	if slices.Equal(next.Members, g.Members) || !p.safe(g, kept, next) {
		return nil
	}
	p.count(g, -1)
	p.count(next, +1)
	return next
}

// safe reports whether the change keeps a majority of the present members, so
// that they can carry it out, and does not make the group smaller. A member that
// cannot be replaced stays listed: its number must not be given out again.
func (p *planner) safe(g *resource.Group, kept []resource.GroupMember, next *resource.Group) bool {
	return 2*len(kept) > len(g.Members) && len(next.Members) >= len(g.Members)
}

// refound returns g with new members under a higher epoch.
func (p *planner) refound(g *resource.Group) *resource.Group {
	next := g.Clone().(*resource.Group)
	p.count(g, -1)
	next.Epoch++
	next.Members = p.fill(g.HomeRegion, nil, p.size(), nextReplica(g), false)
	next.Founders = replicas(next.Members)
	if len(next.Members) == 0 {
		return nil
	}
	p.count(next, +1)
	return next
}

// create returns the groups that a region still lacks.
func (p *planner) create(region string) []*resource.Group {
	have := 0
	for _, g := range p.groups {
		if g.HomeRegion == region {
			have++
		}
	}
	want := min(maxGroupsPerRegion, max(1, len(p.regions[region])/nodesPerGroup))
	var out []*resource.Group
	for i := 0; have < want && i < maxGroupsPerRegion; i++ {
		name := fmt.Sprintf("%s-%d", region, i)
		if p.groups[name] != nil {
			continue
		}
		g := &resource.Group{Meta: resource.Meta{Name: name}, HomeRegion: region, Epoch: 1}
		g.Members = p.fill(region, nil, p.size(), 1, false)
		g.Founders = replicas(g.Members)
		p.count(g, +1)
		out = append(out, g)
		have++
	}
	return out
}

// size returns the number of replicas that the fleet can hold on distinct
// nodes: 5, 3 or 1.
func (p *planner) size() int {
	alive := 0
	for _, list := range p.regions {
		alive += len(list)
	}
	switch {
	case alive >= groupSize:
		return groupSize
	case alive >= 3:
		return 3
	default:
		return min(alive, 1)
	}
}

// fill adds members to kept until there are size of them.
func (p *planner) fill(home string, kept []resource.GroupMember, size int, replica uint64, joining bool) []resource.GroupMember {
	out := slices.Clone(kept)
	for len(out) < size {
		n, ok := p.best(home, out, size)
		if !ok {
			break
		}
		out = append(out, resource.GroupMember{Replica: replica, Node: string(n.ID), Incarnation: n.Incarnation, Joining: joining})
		replica++
	}
	return out
}

// best returns the node that suits the group best: spread over the failure
// domains of its region, with the least load.
func (p *planner) best(home string, members []resource.GroupMember, size int) (fleet.Node, bool) {
	used := map[string]bool{}
	inDomain := map[string]int{}
	remote := 0
	for _, m := range members {
		used[m.Node] = true
		n := p.nodes[m.Node]
		inDomain[n.FailureDomain]++
		if n.Region != home {
			remote++
		}
	}
	wantRemote := remote < remoteReplicas && len(members) >= size-remoteReplicas
	var best fleet.Node
	found := false
	for _, region := range slices.Sorted(maps.Keys(p.regions)) {
		for _, n := range p.regions[region] {
			if used[string(n.ID)] {
				continue
			}
			if !found || p.compare(n, best, home, wantRemote, inDomain) < 0 {
				best, found = n, true
			}
		}
	}
	return best, found
}

// compare orders nodes by how well they suit.
func (p *planner) compare(a, b fleet.Node, home string, wantRemote bool, inDomain map[string]int) int {
	misplaced := func(n fleet.Node) int {
		if (n.Region != home) != wantRemote {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(misplaced(a), misplaced(b)),
		cmp.Compare(inDomain[a.FailureDomain], inDomain[b.FailureDomain]),
		cmp.Compare(p.load[string(a.ID)], p.load[string(b.ID)]),
		cmp.Compare(a.ID, b.ID),
	)
}

func (p *planner) count(g *resource.Group, by int) {
	for _, m := range g.Members {
		p.load[m.Node] += by
	}
}

func replicas(members []resource.GroupMember) []uint64 {
	out := make([]uint64, len(members))
	for i, m := range members {
		out[i] = m.Replica
	}
	return out
}

// nextReplica returns a replica number that the group has never used: the latest
// one is still listed, since members are only dropped when others replace them.
func nextReplica(g *resource.Group) uint64 {
	highest := uint64(0)
	for _, m := range g.Members {
		highest = max(highest, m.Replica)
	}
	for _, f := range g.Founders {
		highest = max(highest, f)
	}
	return highest + 1
}
