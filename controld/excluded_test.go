package controld

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/disk"
)

// Guards against a member that was removed because it had been silent for long, and that can't return with its disk: by its
// own log it is a voter and asks nobody, and its disk is not blank.
func TestRemovedMemberReturnsWithItsDisk(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "c2", "c3", "c4", "c5", "d1")
	g.selfRepair = true
	founders := []string{"c1", "c2", "c3"}
	for _, id := range founders {
		g.start(id, founders...)
	}
	g.start("c4")
	g.waitForVoters(g.start("c5"), "c1", "c2", "c3", "c4", "c5")
	c := g.client("c1", "c2", "c3", "c4")
	g.write(c, "a")
	g.kill("c5")
	d1 := g.start("d1")
	g.waitForVoters(d1, "c1", "c2", "c3", "c4", "d1")
	// As the leader does after removeAfter.
	_, err := c.RemoveMember(t.Context(), "c5", client.WriteOptions{})
	assert.NilError(t, err)
	g.write(c, "b")
	g.start("c5")
	g.waitForVoters(d1, "c1", "c2", "c3", "c4", "c5", "d1")
	g.write(c, "c")
}

// storedBy returns what the disk of a member that does not run holds.
func (g *testGroup) storedBy(id string) consensus.Stored {
	g.t.Helper()
	s, err := disk.Open(g.path("data-" + id))
	assert.NilError(g.t, err)
	stored, err := s.Load()
	assert.NilError(g.t, err)
	assert.NilError(g.t, s.Close())
	return stored
}

// storeUncommitted prepares the disk of a newcomer that has received the log in stored and, after it, the entry that adds
// the newcomer.
func (g *testGroup) storeUncommitted(id string, stored consensus.Stored, voter bool) {
	g.t.Helper()
	s, err := disk.Open(g.path("data-" + id))
	assert.NilError(g.t, err)
	entries := stored.Entries
	last, members := consensus.Entry{Index: stored.Snapshot.Index, Term: stored.Snapshot.Term}, stored.Snapshot.Membership
	for _, e := range entries {
		last = e
		if e.Kind == consensus.EntryMembership {
			members = e.Membership
		}
	}
	added, err := members.Apply(consensus.MemberChange{Kind: consensus.AddLearner, ID: s.ID(), Addr: g.addrs[id].String()})
	assert.NilError(g.t, err)
	if voter {
		added, err = added.Apply(consensus.MemberChange{Kind: consensus.Promote, ID: s.ID()})
		assert.NilError(g.t, err)
	}
	entries = append(entries, consensus.Entry{Index: last.Index + 1, Term: last.Term, Kind: consensus.EntryMembership, Membership: added})
	hard := consensus.HardState{Term: last.Term}
	assert.NilError(g.t, s.Save(consensus.Batch{Hard: &hard, Snapshot: &stored.Snapshot, ResetEntries: true, Entries: entries}))
	assert.NilError(g.t, s.Close())
}

// Guards against a newcomer that stays outside for good because it has stored the change of a leader that adds it, and
// that was lost with that leader: it is no member, and its disk is not blank.
func TestNewcomerWithUncommittedEntryJoins(t *testing.T) {
	for name, voter := range map[string]bool{"learner": false, "voter": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGroup(t, "c1", "c2", "c3", "d1")
			g.selfRepair = true
			founders := []string{"c1", "c2", "c3"}
			for _, id := range founders {
				g.start(id, founders...)
			}
			c := g.client(founders...)
			g.write(c, "a")
			g.kill(founders...)
			g.storeUncommitted("d1", g.storedBy("c1"), voter)
			members := map[string]*Daemon{}
			for _, id := range founders {
				members[id] = g.start(id)
			}
			g.write(c, "b")
			g.start("d1")
			g.waitForVoters(members["c2"], "c1", "c2", "c3", "d1")
			g.write(c, "c")
		})
	}
}

// Guards against a replica that gives up its disk on the word of a group that it was never a member of.
func TestMemberOfAnotherGroupKeepsItsDisk(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1", "d1", "d2", "d3")
	g.selfRepair = true
	s, err := disk.Open(g.path("data-d1"))
	assert.NilError(t, err)
	others := consensus.Membership{
		{ID: s.ID(), Addr: g.addrs["d1"].String(), Voter: true},
		{ID: s.ID() + 1, Addr: g.addrs["d2"].String(), Voter: true}, {ID: s.ID() + 2, Addr: g.addrs["d3"].String(), Voter: true},
	}
	id, lastTerm := s.ID(), uint64(1)
	assert.NilError(t, s.Close())
	c1 := g.start("c1", "c1")
	g.waitForVoters(c1, "c1")
	g.write(g.client("c1"), "a")
	stored := g.storedBySnapshot(c1)
	s, err = disk.Open(g.path("data-d1"))
	assert.NilError(t, err)
	founded := consensus.FounderState(id, others, stored)
	entries := []consensus.Entry{{Index: 2, Term: lastTerm, Kind: consensus.EntryNoop}}
	assert.NilError(t, s.Save(consensus.Batch{Hard: &founded.Hard, Snapshot: &founded.Snapshot, ResetEntries: true, Entries: entries}))
	assert.NilError(t, s.Close())
	d1 := g.start("d1")
	time.Sleep(leaderlessBeforeJoin + 10*joinInterval)
	assert.Equal(t, d1.replication.(*Group).replicaID(), id)
	assert.DeepEqual(t, d1.replication.(*Group).replica.Load().Status().Membership, others)
}

// storedBySnapshot returns a snapshot of the configuration of a member that runs.
func (g *testGroup) storedBySnapshot(d *Daemon) []byte {
	g.t.Helper()
	data, err := d.replication.(*Group).machine.Snapshot()
	assert.NilError(g.t, err)
	return data
}

// Guards against a replica that gives up what it may have promised something on.
func TestExclusionApplies(t *testing.T) {
	group := testVoters("a", "b", "c", "d")
	without := group[:3]
	leader := statusOf(without, 2, 3)
	leader.Role, leader.Term, leader.MembershipCommitted = consensus.Leader, 7, true
	excluded := consensus.Status{ID: 4, Membership: group, Last: 90, LastTerm: 7}
	assert.Assert(t, exclusionOf(4, leader).appliesTo(excluded))
	for name, change := range map[string]func(leader, excluded *consensus.Status){
		"is a member":                       func(l, _ *consensus.Status) { l.Membership = group },
		"membership is not committed":       func(l, _ *consensus.Status) { l.MembershipCommitted = false },
		"the sender does not lead":          func(l, _ *consensus.Status) { l.Role = consensus.Follower },
		"log of a later leader":             func(_, e *consensus.Status) { e.LastTerm = 8 },
		"a leader is heard":                 func(_, e *consensus.Status) { e.Leader = 2 },
		"another replica is excluded":       func(_, e *consensus.Status) { e.ID = 5 },
		"no voter in common":                func(_, e *consensus.Status) { e.Membership = group[3:] },
		"a quorum is unknown to the leader": func(l, _ *consensus.Status) { l.Membership = group[:1] },
		"no membership, so another group":   func(_, e *consensus.Status) { e.Membership = nil },
	} {
		l, e := leader, excluded
		change(&l, &e)
		assert.Assert(t, !exclusionOf(4, l).appliesTo(e), name)
	}
}
