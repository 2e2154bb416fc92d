package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/fleet"
	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/resource"
)

const incarnationStep = 1 << 20 // difference of incarnations between two starts of a process

// members returns n nodes in each failure domain of two regions.
func members(n int) []fleet.Node {
	var out []fleet.Node
	for _, domain := range []string{"r1-a", "r1-b", "r2-a", "r2-b"} {
		for i := range n {
			out = append(out, fleet.Node{
				ID: fleet.NodeID(fmt.Sprintf("%s-%d", domain, i)), Incarnation: incarnationStep,
				Region: domain[:2], FailureDomain: domain,
			})
		}
	}
	return out
}

func applyPlan(t *testing.T, groups map[string]*resource.Group, nodes []fleet.Node) map[string]*resource.Group {
	out := map[string]*resource.Group{}
	for name, g := range groups {
		out[name] = g
	}
	for _, g := range Plan(groups, nodes, nil) {
		assert.Equal(t, len(resource.Validate(g)), 0)
		out[g.Name] = g
	}
	return out
}

func changeNode(nodes []fleet.Node, id string, change func(*fleet.Node)) []fleet.Node {
	out := append([]fleet.Node(nil), nodes...)
	for i := range out {
		if string(out[i].ID) == id {
			change(&out[i])
		}
	}
	return out
}

func markDead(n *fleet.Node) { n.State = fleet.NodeDead }
func restart(n *fleet.Node)  { n.Incarnation += incarnationStep }

// Guards against a group that loses its quorum with one failure domain.
func TestGroupsAreSpread(t *testing.T) {
	groups := applyPlan(t, nil, members(10))
	assert.Equal(t, len(groups), 4)
	for _, g := range groups {
		domains, remote := map[string]int{}, 0
		for _, m := range g.Members {
			domains[m.Node[:4]]++
			if m.Node[:2] != g.HomeRegion {
				remote++
			}
		}
		assert.Equal(t, len(g.Members), 5)
		assert.Equal(t, remote, 1)
		for d, n := range domains {
			assert.Assert(t, n <= 2, "failure domain %s holds %d replicas", d, n)
		}
	}
	assert.Equal(t, len(Plan(groups, members(10), nil)), 0, "a second plan must change nothing")
}

// Guards against a replica that votes after its node has lost the replica's state.
func TestLostMembersGetNewReplicaNumbers(t *testing.T) {
	nodes := members(3)
	groups := applyPlan(t, nil, nodes)
	g := groups["r1-0"]
	for name, change := range map[string]func(*fleet.Node){"dead": markDead, "restarted": restart} {
		next := applyPlan(t, groups, changeNode(nodes, g.Members[0].Node, change))["r1-0"]
		assert.Equal(t, len(next.Members), 5, name)
		assert.Equal(t, next.Epoch, g.Epoch, name)
		assert.DeepEqual(t, next.Founders, g.Founders)
		added := next.Members[4]
		assert.Assert(t, added.Joining && added.Replica == 6, name)
		for _, m := range next.Members {
			assert.Assert(t, m.Replica != g.Members[0].Replica, name)
		}
	}
}

// Guards against a second group beside one that still works on the other side of a
// partition: a new epoch starts only if a majority has certainly lost its state.
func TestOnlyLostStateStartsNewEpoch(t *testing.T) {
	nodes := members(3)
	groups := applyPlan(t, nil, nodes)
	g := groups["r1-0"]
	dead, restarted := nodes, nodes
	for _, m := range g.Members[:3] {
		dead = changeNode(dead, m.Node, markDead)
		restarted = changeNode(restarted, m.Node, restart)
	}
	assert.Equal(t, applyPlan(t, groups, dead)["r1-0"], g)
	next := applyPlan(t, groups, restarted)["r1-0"]
	assert.Equal(t, next.Epoch, g.Epoch+1)
	for _, m := range next.Members {
		assert.Assert(t, m.Replica > 5 && !m.Joining)
	}
}

// Guards against assigning a replica number twice: the second node would then vote in the
// name of the first replica, without the state that the first had acknowledged.
func TestReplicaNumbersAreNeverReused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := members(rapid.IntRange(1, 3).Draw(rt, "per domain"))
		groups := applyPlan(t, nil, nodes)
		holder := map[string]resource.GroupMember{}
		for range 30 {
			for _, g := range groups {
				for _, m := range g.Members {
					name := fmt.Sprintf("%s/%d", g.Name, m.Replica)
					m.Joining = false
					if old, ok := holder[name]; ok {
						assert.Equal(t, old, m)
					}
					holder[name] = m
				}
			}
			i := rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")
			state := rapid.SampledFrom([]fleet.NodeState{fleet.NodeAlive, fleet.NodeSuspect, fleet.NodeDead}).Draw(rt, "state")
			nodes = changeNode(nodes, string(nodes[i].ID), func(n *fleet.Node) {
				n.State = state
				if rapid.Bool().Draw(rt, "restart") {
					restart(n)
				}
			})
			groups = applyPlan(t, groups, nodes)
		}
	})
}
