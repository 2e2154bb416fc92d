package controld

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitForVoters waits until the member id leads or follows a group with exactly these voters.
func (g *testGroup) waitForVoters(d *Daemon, ids ...string) {
	g.t.Helper()
	want := fmt.Sprint(ids)
	waitFor(g.t, func() error {
		var voters []string
		for _, m := range d.replication.(*Group).Members() {
			if m.Voter {
				voters = append(voters, m.ID)
			}
		}
		if got := fmt.Sprint(voters); got != want {
			return fmt.Errorf("voters are %s, want %s", got, want)
		}
		return nil
	})
}

// startReplaced starts a self-repairing group of c1 to c5 to which c6 has been added.
func startReplaced(t *testing.T) (*testGroup, map[string]*Daemon) {
	g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5", "c6")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	members := map[string]*Daemon{}
	for _, id := range founders {
		members[id] = g.start(id, founders...)
	}
	for _, id := range []string{"c4", "c5"} {
		members[id] = g.start(id)
	}
	g.waitForVoters(members["c1"], "c1", "c2", "c3", "c4", "c5")
	members["c6"] = g.start("c6")
	g.waitForVoters(members["c1"], "c1", "c2", "c3", "c4", "c5", "c6")
	return g, members
}

// loseDisks kills members at the same moment and starts them again with blank disks.
func (g *testGroup) loseDisks(ids ...string) {
	g.t.Helper()
	g.kill(ids...)
	for _, id := range ids {
		assert.NilError(g.t, os.RemoveAll(g.path("data-"+id)))
		g.start(id)
	}
}

// Guards against a group that loses its quorum with two disks, lost right after a member that was replaced has
// stopped as planned: any member, the leader among them.
func TestTwoDisksLostRightAfterPlannedStop(t *testing.T) {
	for _, stops := range []string{"the leader", "a follower"} {
		t.Run(stops, func(t *testing.T) {
			t.Parallel()
			g, members := startReplaced(t)
			c := g.client("c1", "c2", "c3", "c4", "c5", "c6")
			g.write(c, "a")
			stopped, _, ok := members["c1"].replication.Leader()
			assert.Assert(t, ok)
			if stops == "a follower" {
				stopped = without([]string{"c1", "c2"}, stopped)[0]
			}
			rest := without([]string{"c1", "c2", "c3", "c4", "c5", "c6"}, stopped)
			g.stop(stopped)
			g.loseDisks(rest[:2]...)
			g.write(c, "b")
			g.waitForVoters(members[rest[2]], rest...)
		})
	}
}

func without(ids []string, left string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == left })
}

// Guards against a group that still counts the vote of a member that was replaced for good, and then
// has no leader after the loss of two disks.
func TestTwoDisksLostAfterPlannedReplacement(t *testing.T) {
	const catchUp = 4 * time.Second // within which a replaced member stops counting
	g, members := startReplaced(t)
	c := g.client("c1", "c2", "c3", "c4", "c5", "c6")
	g.write(c, "a")
	g.kill("c2")
	stopped := time.Now()
	g.waitForVoters(members["c1"], "c1", "c3", "c4", "c5", "c6")
	assert.Assert(t, time.Since(stopped) < catchUp, "%v", time.Since(stopped))
	g.loseDisks("c3", "c4")
	g.write(c, "b")
	g.waitForVoters(members["c1"], "c1", "c3", "c4", "c5", "c6")
}
