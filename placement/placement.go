// Package placement decides which nodes hold the replicas of idempotency groups. The
// plan is a pure function of the present groups and of membership. The control plane
// computes it and writes the groups that it returns.
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
	// groupSize is the number of voting replicas of a group. Five survive the loss of a
	// failure domain that holds two of them, or of any two VMs.
	groupSize = 5
	// remoteReplicas is the number of these replicas that are in another region, so that
	// a group survives the loss of one of its failure domains and one more VM.
	remoteReplicas = 1
	// nodesPerGroup is the number of a region's nodes per group. With 277 nodes in a
	// region, each node holds about half a replica on average.
	nodesPerGroup = 10
	// maxGroupsPerRegion bounds the number of groups of a region.
	maxGroupsPerRegion = 64
	// maxReplaced bounds the members that are replaced while it is not known whether the group has taken up the
	// last replacements. A group that has not by then waits for its nodes.
	maxReplaced = 32
)

// Plan returns the groups to write: new groups, and those whose members have to change.
// members is the membership without control VMs. standings holds what is known of groups whose members were replaced,
// by name. Groups of regions without nodes are not changed.
func Plan(groups map[string]*resource.Group, members []fleet.Node, standings map[string]Standing) []*resource.Group {
	p := newPlanner(groups, members)
	p.standings = standings
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
	nodes   map[string]fleet.Node   // alive or suspect nodes, by ID
	regions map[string][]fleet.Node // alive nodes, by region
	load    map[string]int          // number of replicas, by node ID

	standings map[string]Standing
}

func newPlanner(groups map[string]*resource.Group, members []fleet.Node) *planner {
	p := &planner{groups: groups, nodes: map[string]fleet.Node{}, regions: map[string][]fleet.Node{}, load: map[string]int{}}
	for _, n := range members {
		// A suspect node may soon be declared dead, so it gets no new replicas, but it
		// keeps those that it has.
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

// lost reports whether a replica's state, which is held in memory, is gone or
// unreachable.
func (p *planner) lost(m resource.GroupMember) bool {
	n, ok := p.nodes[m.Node]
	return !ok || p.restartedSinceAssigned(m, n)
}

// restartedSinceAssigned reports whether the node has restarted since the replica was
// assigned to it, which loses the replica's state.
func (p *planner) restartedSinceAssigned(m resource.GroupMember, n fleet.Node) bool {
	return gossip.Boot(n.Incarnation) > gossip.Boot(m.Incarnation)
}

// repair returns g with lost members replaced, or nil if g needs no change or can't be
// changed now.
func (p *planner) repair(g *resource.Group) *resource.Group {
	kept := make([]resource.GroupMember, 0, len(g.Members))
	restarted := 0
	for _, m := range g.Members {
		n, ok := p.nodes[m.Node]
		if ok && p.restartedSinceAssigned(m, n) {
			restarted++
		}
		if !p.lost(m) {
			kept = append(kept, m)
		}
	}
	size := p.replicasPerGroup()
	standing := p.standings[g.Name]
	replaced := g.Replaced
	if standing.Settled {
		replaced = nil
	}
	if standing.Lost || len(replaced) == 0 && restarted > len(g.Members)/2 {
		// A majority of the voters is known to have lost its state, so this epoch can
		// never have a quorum again. A group whose members are merely unreachable is not
		// replaced: it may be working on the other side of a partition. While members are
		// being replaced, only their nodes can tell who votes.
		return p.recreate(g)
	}
	if len(kept) == len(g.Members) && len(kept) >= size {
		return nil
	}
	next := g.Clone().(*resource.Group)
	next.Members = p.addMembers(g.HomeRegion, kept, size, nextReplica(g), true, p.holdersOf(g, replaced))
	if slices.Equal(next.Members, g.Members) || !p.isSafeChange(g, kept, next) {
		return nil
	}
	next.Replaced = slices.Clone(replaced)
	for _, m := range g.Members {
		if !slices.Contains(next.Members, m) {
			next.Replaced = append(next.Replaced, m)
		}
	}
	if len(next.Replaced) > maxReplaced {
		return nil
	}
	p.addLoad(g, -1)
	p.addLoad(next, +1)
	return next
}

// isSafeChange reports whether the change keeps a majority of the present members, which
// have to agree on it, and does not shrink the group. A member that can't be replaced
// stays listed, because its replica number must not be assigned again.
func (p *planner) isSafeChange(g *resource.Group, kept []resource.GroupMember, next *resource.Group) bool {
	return 2*len(kept) > len(g.Members) && len(next.Members) >= len(g.Members)
}

// recreate returns g with new members and the next epoch, or nil if there are no nodes.
func (p *planner) recreate(g *resource.Group) *resource.Group {
	next := g.Clone().(*resource.Group)
	p.addLoad(g, -1)
	next.Epoch++
	next.Members = p.addMembers(g.HomeRegion, nil, p.replicasPerGroup(), nextReplica(g), false, nil)
	next.Founders = replicaNumbers(next.Members)
	next.Replaced = nil
	if len(next.Members) == 0 {
		return nil
	}
	p.addLoad(next, +1)
	return next
}

// create returns the groups that are missing in a region.
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
		g.Members = p.addMembers(region, nil, p.replicasPerGroup(), 1, false, nil)
		g.Founders = replicaNumbers(g.Members)
		p.addLoad(g, +1)
		out = append(out, g)
		have++
	}
	return out
}

// replicasPerGroup returns the number of replicas per group that the fleet can place on
// distinct nodes: 5, 3 or 1, or 0 without alive nodes.
func (p *planner) replicasPerGroup() int {
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

// holdersOf returns the nodes that may still run a replica which was replaced. A new replica there would end it, while
// its vote may still count.
func (p *planner) holdersOf(g *resource.Group, replaced []resource.GroupMember) map[string]bool {
	out := map[string]bool{}
	for _, m := range slices.Concat(g.Members, replaced) {
		if n, ok := p.nodes[m.Node]; !ok || !p.restartedSinceAssigned(m, n) {
			out[m.Node] = true
		}
	}
	return out
}

// addMembers returns kept with members added until there are size of them or no node is
// left. replica is the number of the first added one, and no member is added on the excluded nodes.
func (p *planner) addMembers(home string, kept []resource.GroupMember, size int, replica uint64, joining bool, excluded map[string]bool) []resource.GroupMember {
	out := slices.Clone(kept)
	for len(out) < size {
		n, ok := p.bestNode(home, out, size, excluded)
		if !ok {
			break
		}
		out = append(out, resource.GroupMember{Replica: replica, Node: string(n.ID), Incarnation: n.Incarnation, Joining: joining})
		replica++
	}
	return out
}

// bestNode returns the best node for the next member of a group: members are spread over
// the failure domains, with remoteReplicas of them outside the home region, and go to the
// nodes with the fewest replicas.
func (p *planner) bestNode(home string, members []resource.GroupMember, size int, excluded map[string]bool) (fleet.Node, bool) {
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
			if used[string(n.ID)] || excluded[string(n.ID)] {
				continue
			}
			if !found || p.compareNodes(n, best, home, wantRemote, inDomain) < 0 {
				best, found = n, true
			}
		}
	}
	return best, found
}

// compareNodes orders nodes by suitability for the next member; the best comes first.
func (p *planner) compareNodes(a, b fleet.Node, home string, wantRemote bool, inDomain map[string]int) int {
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

func (p *planner) addLoad(g *resource.Group, by int) {
	for _, m := range g.Members {
		p.load[m.Node] += by
	}
}

func replicaNumbers(members []resource.GroupMember) []uint64 {
	out := make([]uint64, len(members))
	for i, m := range members {
		out[i] = m.Replica
	}
	return out
}

// nextReplica returns a replica number that the group has never used. The highest number
// in use so far is always listed, since members are only removed when others replace
// them.
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
