package consensus

import "github.com/godwithub/godwithub/consensus/quorum"

func (c *Core) startPreVote() {
	c.resetElectionTimeout()
	c.leader = 0
	if !c.mayCampaign() {
		c.role = Follower
		return
	}
	c.role = PreCandidate
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.tallyVotes() {
		return
	}
	c.requestVotes(MsgPreVote, c.hardState.Term+1)
}

// mayCampaign reports whether this replica is a voter, or was one in a membership that may still be
// the last committed one. A replica whose removal is in its log but not known to be committed
// campaigns as well, without counting its own vote: its log may be the only one that is complete
// enough to win a quorum. The same holds for a learner that is a voter in the log of another replica.
func (c *Core) mayCampaign() bool {
	if c.askedForVote && c.log.lastIndex() > 0 {
		return true
	}
	for _, m := range c.log.membershipsSince(c.log.commit) {
		if m.membership.IsVoter(c.cfg.ID) {
			return true
		}
	}
	return false
}

func (c *Core) startElection() {
	c.resetElectionTimeout()
	c.role = Candidate
	c.hardState = HardState{Term: c.hardState.Term + 1, Vote: c.cfg.ID}
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.tallyVotes() {
		return
	}
	c.requestVotes(MsgVote, c.hardState.Term)
}

func (c *Core) requestVotes(t MessageType, term uint64) {
	ms, _ := c.log.membership()
	for _, m := range ms {
		if m.Voter && m.ID != c.cfg.ID {
			c.send(Message{Type: t, To: m.ID, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
		}
	}
}

// stepPreVote handles a pre-vote request whose term is not older than the current one. It changes no
// state.
func (c *Core) stepPreVote(m Message) {
	if c.inLease() {
		return
	}
	c.askedForVote = true
	if m.Term == c.hardState.Term || !c.mayVoteFor(m) || c.hasPriorityOver(m) {
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
		return
	}
	c.send(Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term})
}

// preVotePriorityTicks is for how long a pre-candidate refuses pre-votes to replicas with the same
// log and a lower id.
const preVotePriorityTicks = 3

// hasPriorityOver reports whether this replica has itself just requested pre-votes with the same
// log as the sender of m and has the higher id. Without this order, replicas that request pre-votes
// at the same time would all be granted them and then split the vote.
func (c *Core) hasPriorityOver(m Message) bool {
	return c.role == PreCandidate && c.electionElapsed < preVotePriorityTicks && m.From < c.cfg.ID &&
		m.Index == c.log.lastIndex() && m.LogTerm == c.log.lastTerm()
}

func (c *Core) stepVote(m Message) {
	c.askedForVote = true
	voteAvailable := c.hardState.Vote == m.From || c.hardState.Vote == 0 && c.leader == 0
	if !voteAvailable || !c.mayVoteFor(m) {
		c.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.hardState.Vote = m.From
	c.resetElectionTimeout()
	c.send(Message{Type: MsgVoteReply, To: m.From})
}

// mayVoteFor reports whether the sender's log is at least as up to date as this replica's. A replica
// with an empty log cannot judge that and grants no votes.
func (c *Core) mayVoteFor(m Message) bool {
	return c.log.lastIndex() > 0 && c.log.isUpToDate(m.Index, m.LogTerm)
}

func (c *Core) stepVoteReply(m Message) {
	pre := m.Type == MsgPreVoteReply && c.role == PreCandidate && (m.Reject || m.Term == c.hardState.Term+1)
	real := m.Type == MsgVoteReply && c.role == Candidate && m.Term == c.hardState.Term
	if !pre && !real {
		return
	}
	c.votes[m.From] = !m.Reject
	c.tallyVotes()
}

// tallyVotes counts the votes of the current (pre-)election and changes the role if the outcome is
// decided. It reports whether it is.
func (c *Core) tallyVotes() bool {
	ms, _ := c.log.membership()
	grants, rejections := 0, 0
	for id, granted := range c.votes {
		switch {
		case !ms.IsVoter(id):
		case granted:
			grants++
		default:
			rejections++
		}
	}
	switch {
	case quorum.Reached(grants, ms.VoterCount()) && c.role == PreCandidate:
		c.startElection()
	case quorum.Reached(grants, ms.VoterCount()):
		c.becomeLeader()
	case quorum.Impossible(rejections, ms.VoterCount()):
		c.becomeFollower(c.hardState.Term, 0)
	default:
		return false
	}
	return true
}
