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

// Guards against a joining member that replaces a voter while the group has fewer than targetVoters,
// or replaces a voter that is still heard, and against one that becomes a sixth voter although a
// voter is dead.
func TestMemberToReplace(t *testing.T) {
	heard := map[consensus.ReplicaID]bool{2: true, 3: true, 4: true}
	assert.Equal(t, memberToReplace("new", testVoters("a", "b", "c"), map[consensus.ReplicaID]bool{2: true}, 1), "new")
	assert.Equal(t, memberToReplace("new", testVoters("a", "b", "c", "d", "e"), heard, 1), "e")
	assert.Equal(t, memberToReplace("b", testVoters("a", "b", "c", "d", "e"), heard, 1), "b")
	heard[5] = true
	assert.Equal(t, memberToReplace("new", testVoters("a", "b", "c", "d", "e"), heard, 1), "new")
}

// Guards against dead surplus voters that are never removed, and against the removal of voters when
// the group has no more than targetVoters.
func TestSilentVoterIsPruned(t *testing.T) {
	silentSince, now := map[consensus.ReplicaID]time.Time{}, time.Unix(1000, 0)
	heard := map[consensus.ReplicaID]bool{2: true, 3: true, 4: true, 5: true}
	six := testVoters("a", "b", "c", "d", "e", "f")
	_, remove := voterToPrune(silentSince, six, heard, 1, now)
	assert.Assert(t, !remove)
	id, remove := voterToPrune(silentSince, six, heard, 1, now.Add(pruneAfter))
	assert.Assert(t, remove)
	assert.Equal(t, id, consensus.ReplicaID(6))
	heard[6] = true
	_, remove = voterToPrune(silentSince, six, heard, 1, now.Add(2*pruneAfter))
	assert.Assert(t, !remove, "the voter was heard again")
	delete(heard, 5)
	for _, at := range []time.Duration{0, pruneAfter, 2 * pruneAfter} {
		_, remove = voterToPrune(silentSince, testVoters("a", "b", "c", "d", "e"), heard, 1, now.Add(3*pruneAfter+at))
		assert.Assert(t, !remove, "no voter may be removed from a group of five")
	}
}
