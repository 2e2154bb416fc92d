package controld

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

func testVoters(ids ...string) consensus.Membership {
	var ms consensus.Membership
	for i, id := range ids {
		a := address{id, id + ":1", id + ":2"}
		ms = append(ms, consensus.Member{ID: consensus.ReplicaID(i + 1), Addr: a.String(), Voter: true})
	}
	return ms
}

// statusOf returns the status of member 1 as the leader of members, of which it hears those in heard.
func statusOf(members consensus.Membership, heard ...consensus.ReplicaID) consensus.Status {
	s := consensus.Status{ID: 1, Membership: members, Heard: map[consensus.ReplicaID]bool{}}
	for _, id := range heard {
		s.Heard[id] = true
	}
	return s
}

// Guards against a joining member that replaces a voter while the group has fewer than targetVoters,
// or replaces a voter that is still heard or was heard last, and against one that becomes a sixth
// voter although a voter is dead.
func TestMemberToReplace(t *testing.T) {
	now := time.Unix(1000, 0)
	var silent silentMembers
	three, five := testVoters("a", "b", "c"), testVoters("a", "b", "c", "d", "e")
	assert.Equal(t, memberToReplace("new", three, silent.update(statusOf(three, 2), now)), "new")
	silent.clear()
	since := silent.update(statusOf(five, 2, 3, 4), now)
	assert.Equal(t, memberToReplace("new", five, since), "e")
	assert.Equal(t, memberToReplace("b", five, since), "b")
	since = silent.update(statusOf(five, 2, 3), now.Add(time.Second))
	assert.Equal(t, memberToReplace("new", five, since), "e", "the voter that has been silent longest")
	since = silent.update(statusOf(five, 2, 3, 4, 5), now.Add(time.Second))
	assert.Equal(t, memberToReplace("new", five, since), "new")
}

// Guards against a learner that returns and gets a sixth vote while a voter is dead: if it is lost again, three
// of six voters are left, although only two of five machines are lost.
func TestReturningLearnerTakesVoteOfSilentVoter(t *testing.T) {
	now := time.Unix(1000, 0)
	var silent silentMembers
	members := testVoters("a", "b", "c", "d", "e", "back")
	members[5].Voter = false
	since := silent.update(statusOf(members, 2, 3, 4, 6), now)
	assert.Equal(t, memberToReplace("back", members, since), "e")
	since = silent.update(statusOf(members, 2, 3, 4, 5, 6), now)
	assert.Equal(t, memberToReplace("back", members, since), "back", "no voter is silent")
	members[0].Voter = false
	since = silent.update(statusOf(members, 2, 3, 4, 6), now)
	assert.Equal(t, memberToReplace("back", members, since), "back", "the group has only four voters")
}

// Guards against a sixth vote beside a voter that was lost just before, so that the leader does not know yet that it is
// silent: by its last reply before the request, or as the leader is new.
func TestSixthVoteWaitsForRepliesOfVoters(t *testing.T) {
	members := testVoters("a", "b", "c", "d", "e", "back")
	members[5].Voter = false
	s := statusOf(members, 2, 3, 4, 5, 6)
	s.HeardAt = map[consensus.ReplicaID]uint64{2: 8, 3: 8, 4: 8, 5: 7, 6: 8}
	voter, undecided := undecidedVoter(s, "back", 7)
	assert.Assert(t, undecided)
	assert.Equal(t, voter, "e")
	_, undecided = undecidedVoter(s, "b", 7)
	assert.Assert(t, !undecided, "it has a vote already")
	_, undecided = undecidedVoter(s, "back", 6)
	assert.Assert(t, !undecided)
	s.Heard[5] = false
	_, undecided = undecidedVoter(s, "back", 7)
	assert.Assert(t, !undecided, "the voter is silent, and is replaced")
	s.Heard[5], s.Membership[0].Voter = true, false
	_, undecided = undecidedVoter(s, "back", 7)
	assert.Assert(t, !undecided, "the group has only four voters")
}

// Guards against dead surplus voters that keep their vote, and against a group that takes votes when it
// has no more than targetVoters voters.
func TestSilentSurplusVoterIsDemoted(t *testing.T) {
	now := time.Unix(1000, 0)
	five, six := testVoters("a", "b", "c", "d", "e"), testVoters("a", "b", "c", "d", "e", "f")
	var silent silentMembers
	changeAt := func(at time.Duration, members consensus.Membership, heard ...consensus.ReplicaID) (consensus.MemberChange, bool) {
		return changeForSilence(members, silent.update(statusOf(members, heard...), now.Add(at)), now.Add(at))
	}
	_, ok := changeAt(0, six, 2, 3, 4, 5)
	assert.Assert(t, !ok)
	change, ok := changeAt(demoteAfter, six, 2, 3, 4, 5)
	assert.Assert(t, ok)
	assert.Equal(t, change, consensus.MemberChange{Kind: consensus.Demote, ID: 6})
	_, ok = changeAt(2*demoteAfter, six, 2, 3, 4, 5, 6)
	assert.Assert(t, !ok, "the voter was heard again")
	for _, at := range []time.Duration{0, demoteAfter, removeAfter, 2 * removeAfter} {
		_, ok = changeAt(3*demoteAfter+at, five, 2, 3, 4)
		assert.Assert(t, !ok, "no voter may be taken from a group of five")
	}
}

// Guards against dead learners that stay members forever, and against a learner that is removed while
// its VM restarts.
func TestSilentLearnerIsRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	members := testVoters("a", "b", "c", "d", "e", "f")
	members[5].Voter = false
	var silent silentMembers
	for at, want := range map[time.Duration]bool{0: false, removeAfter - time.Second: false, removeAfter: true} {
		silent.update(statusOf(members, 2, 3, 4, 5), now)
		since := silent.update(statusOf(members, 2, 3, 4, 5), now.Add(at))
		change, ok := changeForSilence(members, since, now.Add(at))
		assert.Equal(t, ok, want, "after %v", at)
		if want {
			assert.Equal(t, change, consensus.MemberChange{Kind: consensus.Remove, ID: 6})
		}
		silent.clear()
	}
}
