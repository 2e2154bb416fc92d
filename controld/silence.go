package controld

import (
	"maps"
	"sync"
	"time"

	"github.com/godwithub/godwithub/consensus"
)

const (
	// targetVoters is the number of voters of a self-repairing group. Five voters tolerate the loss
	// of two disks.
	targetVoters = 5
	// demoteAfter is how long a voter beyond targetVoters has to be silent, after an election timeout
	// without a reply, before it loses its vote. A planned replacement adds the new voter first, and
	// the old one then stops without asking to be removed. Until it is demoted, the group tolerates
	// one failure less.
	demoteAfter = 500 * time.Millisecond
	// removeAfter is how long a learner has to be silent before it is removed. A member that returns
	// earlier gets its vote back; a later one gives up its log and joins as a blank replica.
	removeAfter = 10 * time.Minute
)

// silentMembers records since when each silent member of the group has not been heard. It is used
// while the local replica leads.
type silentMembers struct {
	mu    sync.Mutex
	since map[consensus.ReplicaID]time.Time
}

// update records which members are silent now, and returns since when they are.
func (s *silentMembers) update(status consensus.Status, now time.Time) map[consensus.ReplicaID]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := map[consensus.ReplicaID]time.Time{}
	for _, m := range status.Membership {
		if m.ID == status.ID || status.Heard[m.ID] {
			continue
		}
		since[m.ID] = now
		if earlier, ok := s.since[m.ID]; ok {
			since[m.ID] = earlier
		}
	}
	s.since = since
	return maps.Clone(since)
}

// clear forgets all silent members.
func (s *silentMembers) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = nil
}

// longestSilent returns the voter, or the learner, that has been silent longest.
func longestSilent(members consensus.Membership, silentSince map[consensus.ReplicaID]time.Time, voter bool) (longest consensus.Member, since time.Time, ok bool) {
	for _, m := range members {
		at, silent := silentSince[m.ID]
		if !silent || m.Voter != voter || ok && !at.Before(since) {
			continue
		}
		longest, since, ok = m, at, true
	}
	return longest, since, ok
}

// memberToReplace returns the id of the member that a joining member replaces: the voter that has been
// silent longest if the group has targetVoters voters and the joining id is not that of a voter, and the
// joining id itself otherwise. A learner that returns gets no sixth vote beside a silent voter: if it were lost again
// together with one more, three of six voters would be left, which are no quorum.
func memberToReplace(id string, members consensus.Membership, silentSince map[consensus.ReplicaID]time.Time) string {
	for _, m := range members {
		if m.Voter && parseAddress(m.Addr).id == id {
			return id
		}
	}
	silent, _, ok := longestSilent(members, silentSince, true)
	if ok && members.VoterCount() >= targetVoters {
		return parseAddress(silent.Addr).id
	}
	return id
}

// undecidedVoter returns the id of a voter of which the leader does not know whether a process that asks for a vote has to
// replace it: it is not silent for an election timeout, and has not replied after the tick asked, at which the request came. ok is
// false if there is none, or if the vote would not be a surplus one.
func undecidedVoter(s consensus.Status, id string, asked uint64) (voter string, ok bool) {
	if s.Membership.VoterCount() < targetVoters {
		return "", false
	}
	for _, m := range s.Membership {
		switch name := parseAddress(m.Addr).id; {
		case !m.Voter:
		case name == id:
			return "", false
		case m.ID != s.ID && s.Heard[m.ID] && s.HeardAt[m.ID] <= asked:
			voter, ok = name, true
		}
	}
	return voter, ok
}

// changeForSilence returns the membership change that the silence of members calls for, if any: a
// silent voter beyond targetVoters loses its vote, and a learner that has been silent for long is
// removed.
func changeForSilence(members consensus.Membership, silentSince map[consensus.ReplicaID]time.Time, now time.Time) (consensus.MemberChange, bool) {
	m, since, ok := longestSilent(members, silentSince, true)
	if ok && members.VoterCount() > targetVoters && now.Sub(since) >= demoteAfter {
		return consensus.MemberChange{Kind: consensus.Demote, ID: m.ID}, true
	}
	m, since, ok = longestSilent(members, silentSince, false)
	if ok && now.Sub(since) >= removeAfter {
		return consensus.MemberChange{Kind: consensus.Remove, ID: m.ID}, true
	}
	return consensus.MemberChange{}, false
}
