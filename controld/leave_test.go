package controld

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

// leaderOf waits for a leader that a member knows, and returns it.
func (g *testGroup) leaderOf(members map[string]*Daemon, known string) (leader *Group) {
	g.t.Helper()
	waitFor(g.t, func() error {
		id, _, ok := members[known].replication.Leader()
		if !ok {
			return context.DeadlineExceeded
		}
		leader = members[id].replication.(*Group)
		return nil
	})
	return leader
}

// Guards against a group that drops below five voters as several members stop at once, and against a member that does
// not get its vote back when it starts again.
func TestVoteIsGivenUpOnlyIfSurplus(t *testing.T) {
	t.Parallel()
	g, members := startReplaced(t)
	leader := g.leaderOf(members, "c1")
	group := func(name string) *Group { return members[name].replication.(*Group) }
	id := func(name string) consensus.ReplicaID { return group(name).replicaID() }
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	errs := make(chan error)
	names := without([]string{"c4", "c5", "c6"}, leader.self.id)[:2]
	for _, name := range names {
		group(name).leaving.Store(true)
		go func() { errs <- leader.takeSurplusVote(ctx, id(name)) }()
	}
	assert.NilError(t, <-errs)
	assert.NilError(t, <-errs)
	assert.Equal(t, leader.replica.Load().Status().Membership.VoterCount(), targetVoters)
	for _, name := range names {
		group(name).leaving.Store(false) // it runs on and asks for its vote again
	}
	g.waitForVoters(members["c1"], "c1", "c2", "c3", "c4", "c5", "c6")
	g.stop(names[0])
	g.waitForVoters(members["c1"], without([]string{"c1", "c2", "c3", "c4", "c5", "c6"}, names[0])...)
	members[names[0]] = g.start(names[0])
	g.waitForVoters(members[names[0]], "c1", "c2", "c3", "c4", "c5", "c6")
}

// Guards against a member that gives up a vote that the group needs, as it restarts before its successor votes, and
// against a stop that waits for a leader without need.
func TestNeededVoteIsKeptAtStop(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "c2", "c3")
	g.selfRepair = true
	ids := []string{"c1", "c2", "c3"}
	members := map[string]*Daemon{}
	for _, id := range ids {
		members[id] = g.start(id, ids...)
	}
	leader := g.leaderOf(members, "c1")
	stopped := without(ids, leader.self.id)
	g.stop(stopped[0])
	assert.Equal(t, leader.replica.Load().Status().Membership.VoterCount(), 3)
	g.kill(stopped[1])
	waitFor(t, func() error {
		if leader.hasLeader() {
			return context.DeadlineExceeded
		}
		return nil
	})
	began := time.Now()
	leader.Leave(t.Context())
	assert.Assert(t, time.Since(began) < leaveTimeout, "%v", time.Since(began))
}

// Guards against a process that takes the vote of another member.
func TestVoteOfAnotherMemberIsNotTaken(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1")
	g.selfRepair = true
	group := g.start("c1", "c1").replication.(*Group)
	waitFor(t, group.confirmedOnce)
	assert.Assert(t, group.isReplicaOf(group.replicaID(), "c1"))
	assert.Assert(t, !group.isReplicaOf(group.replicaID(), "c2"))
	assert.Assert(t, group.isReplicaOf(group.replicaID()+1, "c2"), "not a member, so that nothing is changed")
}

func (g *Group) confirmedOnce() error {
	_, err := g.Current(context.Background())
	return err
}
