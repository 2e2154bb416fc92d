package controld

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

// Guards against a group that is never founded, so that nothing is served, since founders were lost during the
// first start of the system: their process restarts with other settings, with its disk, with a blank one, or
// not at all.
func TestFounderLostDuringFirstStart(t *testing.T) {
	founders := []string{"c1", "c2", "c3"}
	type loss struct {
		ids           []string
		disk, forGood bool
	}
	for name, lost := range map[string]loss{
		"the first, with its disk":  {ids: []string{"c1"}, disk: true},
		"the second, with its disk": {ids: []string{"c2"}, disk: true},
		"the third, with its disk":  {ids: []string{"c3"}, disk: true},
		"the first, restarted":      {ids: []string{"c1"}},
		"two, restarted":            {ids: []string{"c1", "c2"}},
		"the first, for good":       {ids: []string{"c1"}, forGood: true},
		"the third, for good":       {ids: []string{"c3"}, forGood: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5")
			g.selfRepair = true
			for _, id := range lost.ids {
				g.start(id, founders...)
			}
			time.Sleep(foundInterval / 2)
			for _, id := range lost.ids {
				g.stop(id)
				if lost.disk {
					assert.NilError(t, os.RemoveAll(g.path("data-"+id)))
				}
			}
			running := map[string]*Daemon{}
			for _, id := range founders {
				switch isLost := slices.Contains(lost.ids, id); {
				case !isLost:
					running[id] = g.start(id, founders...)
				case !lost.forGood:
					running[id] = g.start(id)
				}
			}
			var all []string
			for _, id := range []string{"c1", "c2", "c3", "c4", "c5"} {
				if id == "c4" || id == "c5" {
					running[id] = g.start(id)
				}
				if running[id] != nil {
					all = append(all, id)
				}
			}
			began := time.Now()
			g.write(g.client(all...), "a")
			assert.Assert(t, time.Since(began) < absenceTimeout+4*time.Second, "%v", time.Since(began))
			g.waitForVoters(running["c2"], all...)
		})
	}
}

// Guards against two groups, founded by founders that do not reach all others, and against a group without a
// founder that has lost its disk.
func TestFoundingNeedsAMajorityOfReadyFounders(t *testing.T) {
	all := []string{"a", "b", "c"}
	ready := func(coordinator string) founderState {
		return founderState{info: memberInfo{ID: 7, Blank: true, ConfiguredFounders: all, Coordinator: coordinator}}
	}
	lostDisk := founderState{info: memberInfo{ID: 8, Blank: true}}
	other := founderState{info: memberInfo{ID: 9, Blank: true, ConfiguredFounders: []string{"a", "x"}}}
	absent := founderState{err: errors.New("out of reach")}
	for _, test := range []struct {
		self, first, second string
		states              [2]founderState
		mayLeaveOut         bool
		members             int // 0: it does not found
	}{
		{"a", "b", "c", [2]founderState{ready(""), ready("")}, false, 3},
		{"b", "a", "c", [2]founderState{ready(""), ready("")}, false, 0},
		{"b", "a", "c", [2]founderState{lostDisk, ready("")}, false, 3},
		{"a", "b", "c", [2]founderState{lostDisk, lostDisk}, true, 0},
		{"a", "b", "c", [2]founderState{other, ready("")}, true, 0},
		{"b", "a", "c", [2]founderState{absent, ready("b")}, false, 0},
		{"b", "a", "c", [2]founderState{absent, ready("b")}, true, 2},
		{"b", "a", "c", [2]founderState{absent, ready("a")}, true, 0}, // it may be the one that a agrees with
		{"b", "a", "c", [2]founderState{absent, lostDisk}, true, 0},
		{"b", "a", "c", [2]founderState{absent, absent}, true, 0},
	} {
		view := foundingView{self: address{id: test.self}, selfID: 1, mayLeaveOut: test.mayLeaveOut, others: map[string]founderState{
			test.first: test.states[0], test.second: test.states[1],
		}}
		for _, id := range all {
			view.founders = append(view.founders, address{id: id})
		}
		_, members, err := view.plan()
		assert.Equal(t, len(members), test.members, fmt.Sprint(test, err))
		assert.Equal(t, err == nil, test.members > 0)
		assert.Assert(t, len(members) == 0 || members.IsVoter(consensus.ReplicaID(1)))
	}
}

// Guards against two groups that both commit, founded by founders of which some do not reach each other: a quorum of one
// must have a replica in common with each quorum of the other.
func TestQuorumsOfTwoFoundingsOverlap(t *testing.T) {
	for n := 1; n <= 7; n++ {
		var founders []address
		var ids []string
		for i := range n {
			founders = append(founders, address{id: fmt.Sprint("f", i)})
			ids = append(ids, founders[i].id)
		}
		smallest := n // number of founders with which a group is founded
		for reachable := 1; reachable <= n; reachable++ {
			view := foundingView{self: founders[0], selfID: 1, founders: founders, mayLeaveOut: true, others: map[string]founderState{}}
			for i := 1; i < n; i++ {
				state := founderState{info: memberInfo{ID: consensus.ReplicaID(i + 1), Blank: true, ConfiguredFounders: ids, Coordinator: "f0"}}
				if i >= reachable {
					state = founderState{err: errors.New("out of reach")}
				}
				view.others[founders[i].id] = state
			}
			if _, members, err := view.plan(); err == nil {
				smallest = min(smallest, len(members))
			}
		}
		quorum := smallest/2 + 1
		assert.Assert(t, quorum+quorum > n, "%d founders: two quorums of groups of %d need not overlap", n, smallest)
	}
}
