package controld

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
	"github.com/godwithub/godwithub/control"
)

// storeFounding prepares the disks of the founders as if lone had founded the group of all of them and had been killed
// before another one learned of that.
func (g *testGroup) storeFounding(lone string, founders ...string) {
	g.t.Helper()
	stores := map[string]*disk.Store{}
	var all consensus.Membership
	for _, id := range founders {
		s, err := disk.Open(g.path("data-" + id))
		assert.NilError(g.t, err)
		stores[id] = s
		all = append(all, consensus.Member{ID: s.ID(), Addr: g.addrs[id].String(), Voter: true})
	}
	slices.SortFunc(all, func(a, b consensus.Member) int { return int(int64(a.ID>>1) - int64(b.ID>>1)) })
	data, err := control.NewMachine().Snapshot()
	assert.NilError(g.t, err)
	founded := consensus.FounderState(stores[lone].ID(), all, data)
	assert.NilError(g.t, stores[lone].Save(consensus.Batch{Hard: &founded.Hard, Snapshot: &founded.Snapshot, ResetEntries: true}))
	for _, s := range stores {
		assert.NilError(g.t, s.Close())
	}
}

// Guards against a founder that was killed just after it had founded the group, and stays outside of the one that the
// others have founded without it: two disks lost later leave no quorum.
func TestLoneFounderJoinsTheGroupOfTheOthers(t *testing.T) {
	founders, all := []string{"c1", "c2", "c3"}, []string{"c1", "c2", "c3", "c4", "c5"}
	for _, lone := range founders {
		for _, kills := range []int{0, 1} {
			t.Run(lone+map[int]string{0: "", 1: ", killed again"}[kills], func(t *testing.T) {
				t.Parallel()
				g := newTestGroup(t, all...)
				g.selfRepair = true
				g.storeFounding(lone, founders...)
				members := map[string]*Daemon{}
				for _, id := range without(founders, lone) {
					members[id] = g.start(id, founders...)
				}
				for _, id := range []string{"c4", "c5"} {
					members[id] = g.start(id)
				}
				g.waitForVoters(members["c4"], without(all, lone)...)
				for range kills {
					g.start(lone)
					time.Sleep(foundInterval / 2)
					g.kill(lone)
				}
				g.waitForVoters(g.start(lone), all...)
				c := g.client(all...)
				g.write(c, "a")
				g.loseDisks(without([]string{"c4", "c5"}, lone)...)
				g.write(c, "b")
				g.waitForVoters(members[without(founders, lone)[0]], all...)
			})
		}
	}
}

// Guards against a founder that gives its founding up although the others have not founded a group that works: a founder
// that has only been away, and one without which the others have no quorum.
func TestFoundingInUseIsKept(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "c2", "c3")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	g.storeFounding("c1", founders...)
	first := g.start("c1")
	id := first.replication.(*Group).replicaID()
	second := g.start("c2", founders...)
	g.waitForVoters(second, founders...)
	g.write(g.client("c1", "c2"), "a")
	assert.Equal(t, first.replication.(*Group).replicaID(), id)
	assert.NilError(t, os.RemoveAll(g.path("data-c3")))
	g.waitForVoters(g.start("c3"), founders...)
}
