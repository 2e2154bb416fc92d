package controld

import (
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
)

// The decisions about members are pure functions of what a process knows. foundingview.go, silence.go and lonefounder.go
// hold further ones.

// memberView is what a control process knows of its own replica.
type memberView struct {
	id                consensus.ReplicaID
	blank             bool                 // the disk has never belonged to a group
	initialMembership consensus.Membership // empty if it is not known
	coordinator       string               // see memberInfo
	founders          []address
	leaving           bool              // the process has begun a planned stop
	status            *consensus.Status // nil: the replica is not started yet
}

// view returns what this process knows of its replica.
func (g *Group) view() memberView {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := memberView{
		id: g.replicaID(), blank: g.blank, initialMembership: g.initialMembership, coordinator: g.coordinator,
		founders: g.founders, leaving: g.leaving.Load(),
	}
	if r := g.replica.Load(); r != nil {
		status := r.Status().Status
		v.status = &status
	}
	return v
}

// info returns what the process tells others of its replica.
func (v *memberView) info() memberInfo {
	info := memberInfo{ID: v.id, Blank: v.blank, InitialMembership: v.initialMembership, Coordinator: v.coordinator}
	if s := v.status; s != nil {
		info.Blank = info.Blank && s.Last == 0
		if s.Leader != 0 && s.MembershipCommitted {
			info.Membership = s.Membership
		}
	}
	for _, f := range v.founders {
		info.ConfiguredFounders = append(info.ConfiguredFounders, f.id)
	}
	return info
}

// memberAction is what a process does next about its own membership.
type memberAction uint8

const (
	actNothing memberAction = iota
	// actCompareFounding asks the others whether they have founded a group without this replica.
	actCompareFounding
	actRequestJoin
)

// action returns what the process does next about its own membership.
func (v *memberView) action() memberAction {
	switch s := v.status; {
	case s == nil || v.leaving:
		return actNothing
	case !s.Membership.IsVoter(s.ID):
		return actRequestJoin
	case holdsOnlyFounding(*s):
		return actCompareFounding
	}
	return actNothing
}

// joinAddrs returns the link addresses to which a replica sends its request to join. leader is that of the leader that it
// knows, or empty. It is asked first: the seeds of a member that was away for long may all be gone.
func joinAddrs(leader string, candidates []string) []string {
	if leader == "" {
		return candidates
	}
	return append([]string{leader}, candidates...)
}

// leadsJoin reports whether the replica leads the group, so that it decides on a request to join, and else how it
// answers the request. leaderAddr is the address of the leader that it knows.
func leadsJoin(s consensus.Status, leaderAddr string) (leads bool, reply joinReply) {
	switch s.Leader {
	case 0:
		return false, joinReply{Fault: "no leader is known"}
	case s.ID:
		return true, joinReply{}
	}
	return false, joinReply{Leader: linkAddrOf(leaderAddr)}
}

// peerClass is what a process knows of the sender of consensus messages.
type peerClass uint8

const (
	peerRefused peerClass = iota // its messages are not taken
	peerUnknown                  // its messages are taken, although it is no member in the membership that this replica knows
	peerMember
)

// classifyPeer decides whether consensus messages are taken from a process. The membership that this replica knows does
// not decide: it may be older than that of the sender, which is the only one that can bring it up to date. The core needs
// no such check, since it drops messages to other replicas and does not trust the sender's membership.
func classifyPeer(members []control.Member, name string, isControl bool) peerClass {
	switch {
	case !isControl:
		return peerRefused
	case slices.ContainsFunc(members, func(m control.Member) bool { return m.ID == name }):
		return peerMember
	}
	return peerUnknown
}

// putRequest asks for the replica of a process to be added to the group.
type putRequest struct {
	replaced string               // node id whose replicas are retired
	retire   consensus.ChangeKind // Demote or Remove
	member   control.Member
	info     memberInfo // of the process of member
}

// planPut returns the changes with which a leader adds a replica. Those that are already in effect are included.
func planPut(s consensus.Status, r putRequest) ([]consensus.MemberChange, error) {
	id := r.info.ID
	existing, found := s.Membership.Find(id)
	switch {
	case found && existing.Voter && !r.member.Voter:
		return nil, fmt.Errorf("%w: a voter does not become a learner; remove it first", server.ErrMemberRefused)
	case !found && !r.info.Blank:
		// The disk may hold the log of another group, or of an earlier membership in this one.
		return nil, &notBlankError{r.member.ID, exclusionOf(id, s)}
	}
	addr := memberAddress(r.member).String()
	add := []consensus.MemberChange{{Kind: consensus.AddLearner, ID: id, Addr: addr}, {Kind: consensus.SetAddr, ID: id, Addr: addr}}
	// The group tolerates the loss of a second voter best if a dead replica is retired before its
	// replacement is added, and a running one only afterwards; see TestSecondLossDuringReplacement in
	// package consensus.
	beforeCatchUp := anySilent(s, r.replaced, id)
	if r.member.Voter {
		add = append(add, consensus.MemberChange{Kind: consensus.Promote, ID: id, BeforeCatchUp: beforeCatchUp})
	}
	removeOlder := changesOf(consensus.Remove, replicasOf(s.Membership, r.member.ID, id))
	if r.replaced == r.member.ID {
		r.retire = consensus.Remove
	}
	retire := changesOf(r.retire, replicasOf(s.Membership, r.replaced, id))
	if beforeCatchUp {
		return slices.Concat(retire, add, removeOlder), nil
	}
	return slices.Concat(add, removeOlder, retire), nil
}

// replicasOf returns the replicas under a node id, except other.
func replicasOf(members consensus.Membership, id string, other consensus.ReplicaID) []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, m := range members {
		if m.ID != other && parseAddress(m.Addr).id == id {
			out = append(out, m.ID)
		}
	}
	return out
}

// anySilent reports whether a replica under a node id, except other and the local one, has not been
// heard from within an election timeout.
func anySilent(s consensus.Status, id string, other consensus.ReplicaID) bool {
	return slices.ContainsFunc(replicasOf(s.Membership, id, other), func(r consensus.ReplicaID) bool {
		return r != s.ID && !s.Heard[r]
	})
}

func changesOf(kind consensus.ChangeKind, ids []consensus.ReplicaID) []consensus.MemberChange {
	var out []consensus.MemberChange
	for _, id := range ids {
		out = append(out, consensus.MemberChange{Kind: kind, ID: id})
	}
	return out
}

// hasGivenUpVote reports whether a member that stops has nothing left to give up.
func hasGivenUpVote(s consensus.Status) bool {
	return !s.Membership.IsVoter(s.ID) && s.MembershipCommitted
}

// hasSurplusVote reports whether a group has more voters than it needs.
func hasSurplusVote(members consensus.Membership) bool { return members.VoterCount() > targetVoters }

// mayGiveUpVote reports whether the leader takes the vote of a member that stops.
func mayGiveUpVote(members consensus.Membership, id consensus.ReplicaID) bool {
	return members.IsVoter(id) && hasSurplusVote(members)
}
