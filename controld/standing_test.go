package controld

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/consensus/quorum"
	"github.com/godwithub/godwithub/fleet"
	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/placement"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	groupName1 = "r1-0"
	restartGap = 1 << 20 // difference of incarnations between two starts of a process
)

// groupModel is an idempotency group, its nodes, and control that looks at them.
type groupModel struct {
	t      rapid.TB
	nodes  []fleet.Node
	groups map[string]*resource.Group
	placer *placer
	// configs are the committed memberships of the epoch, by voters.
	epoch   uint64
	configs [][]uint64
	// running holds the node of each replica that runs, and view how many configs each has received.
	running map[uint64]string
	view    map[uint64]int
	// silent nodes do not answer control.
	silent map[string]bool
}

func newGroupModel(t rapid.TB, nodes int) *groupModel {
	m := &groupModel{t: t, groups: map[string]*resource.Group{}, silent: map[string]bool{}}
	for i := range nodes {
		m.nodes = append(m.nodes, fleet.Node{
			ID: fleet.NodeID(fmt.Sprint("n", i)), Incarnation: restartGap, Region: "r1", FailureDomain: fmt.Sprint("r1-", i%3),
		})
	}
	m.changeLeader()
	m.look()
	return m
}

// changeLeader makes another control member look at the nodes, which remembers nothing.
func (m *groupModel) changeLeader() {
	m.placer = &placer{log: logging.Discard(), settled: map[string]uint64{}, askStatus: m.status}
}

// look lets control look once and write what it plans.
func (m *groupModel) look() {
	standings := m.placer.standings(context.Background(), m.groups, m.nodes)
	for _, g := range placement.Plan(m.groups, m.nodes, standings) {
		if g.Name != groupName1 {
			continue
		}
		g.Generation++
		if m.epoch != 0 && g.Epoch > m.epoch {
			assert.Assert(m.t, !m.alive(), "the group was founded again although it works: %v of %v run", m.running, m.configs)
		}
		m.groups = map[string]*resource.Group{groupName1: g}
	}
	m.assign()
}

// assign starts the replicas that the resource assigns.
func (m *groupModel) assign() {
	g := m.groups[groupName1]
	if g.Epoch != m.epoch {
		m.epoch, m.configs = g.Epoch, [][]uint64{slices.Clone(g.Founders)}
		m.running, m.view = map[uint64]string{}, map[uint64]int{}
		for _, member := range g.Members {
			m.view[member.Replica] = 1
		}
	}
	for _, member := range g.Members {
		if _, runs := m.running[member.Replica]; runs || m.node(member.Node).Incarnation > member.Incarnation {
			continue
		}
		for replica, node := range m.running { // a node runs the latest one only
			if node == member.Node {
				delete(m.running, replica)
				delete(m.view, replica)
			}
		}
		m.running[member.Replica] = member.Node
	}
}

func (m *groupModel) node(id string) *fleet.Node {
	for i := range m.nodes {
		if string(m.nodes[i].ID) == id {
			return &m.nodes[i]
		}
	}
	m.t.Fatalf("no node %s", id)
	return nil
}

// restart restarts a node, which loses its replica.
func (m *groupModel) restart(id string) {
	m.node(id).Incarnation += restartGap
	for replica, node := range m.running {
		if node == id {
			delete(m.running, replica)
			delete(m.view, replica)
		}
	}
}

func (m *groupModel) config() []uint64 { return m.configs[len(m.configs)-1] }

// alive reports whether a quorum of the voters runs and holds the group's state.
func (m *groupModel) alive() bool {
	n := 0
	for _, v := range m.config() {
		if _, runs := m.running[v]; runs && m.view[v] > 0 {
			n++
		}
	}
	return quorum.Reached(n, len(m.config()))
}

// advance lets the group commit one change towards the members of the resource. late replicas do not receive it, as far
// as a quorum does.
func (m *groupModel) advance(late map[uint64]bool) bool {
	next, ok := m.nextConfig()
	if !m.alive() || !ok {
		return false
	}
	var receivers []uint64
	for _, wait := range []bool{false, true} {
		for _, v := range next {
			if _, runs := m.running[v]; runs && late[v] == wait && !(wait && quorum.Reached(len(receivers), len(next))) {
				receivers = append(receivers, v)
			}
		}
	}
	if !quorum.Reached(len(receivers), len(next)) {
		return false
	}
	m.configs = append(m.configs, next)
	for _, v := range receivers {
		m.view[v] = len(m.configs)
	}
	return true
}

func (m *groupModel) nextConfig() ([]uint64, bool) {
	var wanted []uint64
	for _, member := range m.groups[groupName1].Members {
		wanted = append(wanted, member.Replica)
	}
	current := m.config()
	for _, v := range current {
		if _, runs := m.running[v]; !runs && !slices.Contains(wanted, v) {
			return slices.DeleteFunc(slices.Clone(current), func(r uint64) bool { return r == v }), true
		}
	}
	for _, v := range wanted {
		if _, runs := m.running[v]; runs && !slices.Contains(current, v) {
			return append(slices.Clone(current), v), true
		}
	}
	for _, v := range current {
		if !slices.Contains(wanted, v) {
			return slices.DeleteFunc(slices.Clone(current), func(r uint64) bool { return r == v }), true
		}
	}
	return nil, false
}

// status answers control for a node.
func (m *groupModel) status(_ context.Context, n *fleet.Node, q wire.GroupStatusRequest) (wire.GroupStatus, error) {
	if m.silent[string(n.ID)] {
		return wire.GroupStatus{}, errors.New("out of reach")
	}
	out := wire.GroupStatus{Known: true}
	for replica, node := range m.running {
		if node != string(n.ID) || replica < out.Replica || q.Epoch != m.epoch {
			continue
		}
		out.Replica, out.HasLeader = replica, m.alive()
		if v := m.view[replica]; v > 0 {
			out.Voters, out.LastIndex = m.configs[v-1], uint64(v)
		}
	}
	return out, nil
}

// Guards against a group that is never founded again as control sees the restarts of a majority one after the other: for
// every split of the restarts into looks, every progress of the group in between, and a control leader that changes.
func TestRestartsSeenOneByOne(t *testing.T) {
	for split := range 4 { // bit i: a look between restart i and i+1
		for progress := range 4 { // changes that the group commits after a look
			for leaders := range 2 {
				m := newGroupModel(t, 9)
				restarted := m.groups[groupName1].Members[:3]
				for i, member := range restarted {
					m.restart(member.Node)
					if i < 2 && split&(1<<i) == 0 {
						continue
					}
					m.look()
					for range progress {
						m.advance(nil)
					}
					if leaders > 0 {
						m.changeLeader()
					}
				}
				for range 4 {
					m.look()
					for m.advance(nil) {
					}
				}
				assert.Assert(t, m.alive(), "split %b, progress %d, leaders %d: the group does not work: %v of %v run, epoch %d", split, progress, leaders, m.running, m.configs, m.epoch)
			}
		}
	}
}

// Guards against two groups at once, and against one without a quorum for good, whatever restarts, looks, silence and
// progress there is. The check that a group that works is not founded again is in look.
func TestGroupIsFoundedAgainOnlyIfLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newGroupModel(rt, rapid.IntRange(5, 9).Draw(rt, "nodes"))
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			node := string(m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(rt, "node")].ID)
			switch rapid.SampledFrom([]string{"restart", "look", "look", "advance", "advance", "leader", "silence", "hear", "suspect"}).Draw(rt, "event") {
			case "restart":
				m.restart(node)
			case "look":
				m.look()
			case "advance":
				late := map[uint64]bool{}
				for _, v := range slices.Sorted(maps.Keys(m.running)) {
					late[v] = v%2 == uint64(rapid.IntRange(0, 2).Draw(rt, "late"))
				}
				m.advance(late)
			case "leader":
				m.changeLeader()
			case "silence":
				m.silent[node] = true
			case "hear":
				delete(m.silent, node)
			case "suspect":
				n := m.node(node)
				n.State = fleet.NodeDead - n.State // dead by mistake, or alive again
			}
		}
		clear(m.silent)
		for i := range m.nodes {
			m.nodes[i].State = fleet.NodeAlive
		}
		for range 8 {
			m.look()
			for m.advance(nil) {
			}
		}
		assert.Assert(rt, m.alive(), "the group does not work: %v of %v run, epoch %d", m.running, m.configs, m.epoch)
	})
}
