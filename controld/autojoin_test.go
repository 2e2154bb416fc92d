package controld

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

func voters(ids ...string) consensus.Membership {
	var ms consensus.Membership
	for i, id := range ids {
		a := address{id, id + ":1", id + ":2"}
		ms = append(ms, consensus.Member{ID: consensus.ReplicaID(i + 1), Addr: a.String(), Voter: true})
	}
	return ms
}

// Guards against a newcomer that takes the place of a voter while the group is
// still growing, or of one that is heard; and against one that adds a sixth
// voter beside a dead one.
func TestReplacedBy(t *testing.T) {
	heard := map[consensus.ReplicaID]bool{2: true, 3: true, 4: true}
	assert.Equal(t, replacedBy("new", voters("a", "b", "c"), map[consensus.ReplicaID]bool{2: true}, 1), "new")
	assert.Equal(t, replacedBy("new", voters("a", "b", "c", "d", "e"), heard, 1), "e")
	assert.Equal(t, replacedBy("b", voters("a", "b", "c", "d", "e"), heard, 1), "b")
	heard[5] = true
	assert.Equal(t, replacedBy("new", voters("a", "b", "c", "d", "e"), heard, 1), "new")
}

// Guards against a group that stays larger than it needs to be with dead
// voters, and against the removal of voters that it needs.
func TestSilentVoterIsPruned(t *testing.T) {
	since, now := map[consensus.ReplicaID]time.Time{}, time.Unix(1000, 0)
	heard := map[consensus.ReplicaID]bool{2: true, 3: true, 4: true, 5: true}
	six := voters("a", "b", "c", "d", "e", "f")
	_, remove := silentSince(since, six, heard, 1, now)
	assert.Assert(t, !remove)
	id, remove := silentSince(since, six, heard, 1, now.Add(pruneAfter))
	assert.Assert(t, remove)
	assert.Equal(t, id, consensus.ReplicaID(6))
	heard[6] = true
	_, remove = silentSince(since, six, heard, 1, now.Add(2*pruneAfter))
	assert.Assert(t, !remove, "it was heard again")
	delete(heard, 5)
	for _, at := range []time.Duration{0, pruneAfter, 2 * pruneAfter} {
		_, remove = silentSince(since, voters("a", "b", "c", "d", "e"), heard, 1, now.Add(3*pruneAfter+at))
		assert.Assert(t, !remove, "five voters are needed")
	}
}
