package controld

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/resource"
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

// Guards against a change that is acknowledged while a replaced member that was killed still has its vote, so that the loss of two
// disks right after the acknowledgement leaves three of six votes.
func TestTwoDisksLostAtAcknowledgementAfterKilledReplacement(t *testing.T) {
	for _, lost := range []string{"followers", "the leader and a follower"} {
		t.Run(lost, func(t *testing.T) {
			t.Parallel()
			g, members := startReplaced(t)
			c := g.client("c1", "c2", "c3", "c4", "c5", "c6")
			g.write(c, "a")
			leader := g.leaderOf(members, "c1").self.id
			others := without([]string{"c1", "c2", "c3", "c4", "c5", "c6"}, leader)
			killed, losing := others[0], others[1:3]
			if lost != "followers" {
				losing = []string{leader, others[1]}
			}
			g.kill(killed)
			g.write(c, "b")
			g.loseDisks(losing...)
			g.write(c, "c")
			g.waitForVoters(members[others[4]], without([]string{"c1", "c2", "c3", "c4", "c5", "c6"}, killed)...)
			callers, err := c.List(t.Context(), resource.TypeCaller, 100, "")
			assert.NilError(t, err)
			assert.Equal(t, len(callers.Items), 3)
		})
	}
}

// Guards against a first change that is acknowledged by two of the three founders, while two disks may be lost.
func TestTwoDisksLostAtFirstAcknowledgement(t *testing.T) {
	g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	members := map[string]*Daemon{}
	for _, id := range founders {
		members[id] = g.start(id, founders...)
	}
	g.leaderOf(members, "c1")
	c := g.client("c1", "c2", "c3", "c4", "c5")
	written := make(chan struct{})
	go func() {
		defer close(written)
		g.write(c, "a")
	}()
	for _, id := range []string{"c4", "c5"} {
		members[id] = g.start(id)
	}
	<-written
	g.loseDisks("c1", "c2")
	g.write(c, "b")
	g.waitForVoters(members["c5"], "c1", "c2", "c3", "c4", "c5")
}

// Guards against a group of three VMs that never acknowledges a change, or delays each, since two more voters are missing.
func TestGroupWithoutFurtherProcessesAcknowledges(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "c2", "c3")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	for _, id := range founders {
		g.start(id, founders...)
	}
	c := g.client(founders...)
	g.write(c, "a")
	began := time.Now()
	for i := range 5 {
		g.write(c, fmt.Sprint("b", i))
	}
	assert.Assert(t, time.Since(began) < consensus.DefaultReleaseTicks*replica.DefaultTickInterval, "%v", time.Since(began))
}
