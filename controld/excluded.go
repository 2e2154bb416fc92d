package controld

import (
	"context"
	"fmt"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/quorum"
	"github.com/godwithub/godwithub/control/server"
)

// A replica that holds a log and is no member can't be added with it: the log may be that of another group. If the leader of
// its own group tells it so, it gives up its log and its id, and joins as a blank replica. That is safe since
// all that is committed is stored by a quorum of a committed membership without it, and since it can't vote under its old id
// again; see docs/design/members.md.

// leaderlessBeforeJoin is for how long a voter has to know no leader until it asks whether it is still a member. It is
// longer than an election takes.
const leaderlessBeforeJoin = 2 * time.Second

// exclusion tells a replica that it is not a member of the group of the leader that says so.
type exclusion struct {
	ID consensus.ReplicaID `cbor:"1,keyasint"`
	// Term is the leader's term.
	Term uint64 `cbor:"2,keyasint"`
	// Membership is the last one of the leader's log, which is committed.
	Membership consensus.Membership `cbor:"3,keyasint"`
}

// exclusionOf returns the exclusion of a replica by one with the given status, or nil unless that one leads and its
// last membership is committed and is without the replica.
func exclusionOf(id consensus.ReplicaID, s consensus.Status) *exclusion {
	if _, found := s.Membership.Find(id); found || s.Role != consensus.Leader || !s.MembershipCommitted {
		return nil
	}
	return &exclusion{ID: id, Term: s.Term, Membership: s.Membership}
}

// appliesTo reports whether a replica with the given status may give up its log because of the exclusion: it hears no
// leader, it holds nothing of a later leader, and the leader is one of its own group.
func (e *exclusion) appliesTo(s consensus.Status) bool {
	return e != nil && e.ID == s.ID && s.Leader == 0 && s.LastTerm <= e.Term && e.isOfGroup(s.Membership)
}

// isOfGroup reports whether a group with the given membership must be that of the leader: too few of its voters for a quorum
// are unknown to the leader. A replica id belongs to one group only.
func (e *exclusion) isOfGroup(members consensus.Membership) bool {
	unknown := 0
	for _, m := range members {
		if _, known := e.Membership.Find(m.ID); m.Voter && !known {
			unknown++
		}
	}
	voters := members.VoterCount()
	return voters > 0 && !quorum.Reached(unknown, voters)
}

// notBlankError refuses to add a replica that is not a member and whose disk is not blank.
type notBlankError struct {
	member    string
	exclusion *exclusion
}

// Error implements error.
func (e *notBlankError) Error() string {
	return fmt.Sprintf("%v: the data folder of %s is not blank", server.ErrMemberRefused, e.member)
}

// Unwrap returns server.ErrMemberRefused.
func (e *notBlankError) Unwrap() error { return server.ErrMemberRefused }

// excludedError reports that the leader has excluded this replica, which may therefore give up its log.
type excludedError struct{ leader string }

// Error implements error.
func (e *excludedError) Error() string {
	return fmt.Sprintf("controld: the leader at %s has committed a membership without this replica", e.leader)
}

// mayBeExcluded reports whether a voter that has known no leader for long should ask to join, since other processes belong to a
// group without it.
func (j *joiner) mayBeExcluded(ctx context.Context, s consensus.Status, leaderless time.Duration) bool {
	return s.Leader == 0 && leaderless >= leaderlessBeforeJoin && j.othersHaveGroup(ctx, s)
}
