package consensus

import "github.com/godwithub/godwithub/consensus/quorum"

func (c *Core) startPreVote() {
	c.resetTimeout()
	c.leader = 0
	if !c.mayCampaign() {
		c.role = Follower
		return
	}
	c.role = PreCandidate
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.countVotes() {
		return
	}
	c.askForVotes(MsgPreVote, c.hard.Term+1)
}

// mayCampaign reports whether this replica is a voter, or was one in a
// membership that may still be the last committed one. A replica whose removal
// is in its log but not known to be committed campaigns as well, without a vote
// of its own: its log may be the only one that a majority can still follow.
func (c *Core) mayCampaign() bool {
	for _, m := range c.log.membershipsSince(c.log.commit) {
		if m.membership.Voter(c.cfg.ID) {
			return true
		}
	}
	return false
}

func (c *Core) startElection() {
	c.resetTimeout()
	c.role = Candidate
	c.hard = HardState{Term: c.hard.Term + 1, Vote: c.cfg.ID}
	c.votes = map[ReplicaID]bool{c.cfg.ID: true}
	if c.countVotes() {
		return
	}
	c.askForVotes(MsgVote, c.hard.Term)
}

func (c *Core) askForVotes(t MessageType, term uint64) {
	ms, _ := c.log.membership()
	for _, m := range ms {
		if m.Voter && m.ID != c.cfg.ID {
			c.send(Message{Type: t, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
		}
	}
}

// stepPreVote handles a pre-vote of a term that is not older than the present
// one. It changes no state.
func (c *Core) stepPreVote(m Message) {
	if c.inLease() {
		return
	}
	if m.Term == c.hard.Term || !c.mayVoteFor(m) || c.goesFirst(m) {
		c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
		return
	}
	c.send(Message{Type: MsgPreVoteReply, To: m.From, Term: m.Term})
}

// yieldTicks is how long a pre-candidate asks others with the same log to wait.
const yieldTicks = 3

// goesFirst reports whether this replica has just asked for pre-votes itself,
// with the same log, and has the higher id. Without this order, replicas that
// ask at the same time all get their pre-votes and then split the votes.
func (c *Core) goesFirst(m Message) bool {
	return c.role == PreCandidate && c.elapsed < yieldTicks && m.From < c.cfg.ID &&
		m.Index == c.log.last() && m.LogTerm == c.log.lastTerm()
}

func (c *Core) stepVote(m Message) {
	free := c.hard.Vote == m.From || c.hard.Vote == 0 && c.leader == 0
	if !free || !c.mayVoteFor(m) {
		c.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.hard.Vote = m.From
	c.resetTimeout()
	c.send(Message{Type: MsgVoteReply, To: m.From})
}

// mayVoteFor reports whether the log of the sender is complete enough. A
// replica with an empty log has no basis for that and grants no votes.
func (c *Core) mayVoteFor(m Message) bool {
	return c.log.last() > 0 && c.log.upToDate(m.Index, m.LogTerm)
}

func (c *Core) stepVoteReply(m Message) {
	pre := m.Type == MsgPreVoteReply && c.role == PreCandidate && (m.Reject || m.Term == c.hard.Term+1)
	real := m.Type == MsgVoteReply && c.role == Candidate && m.Term == c.hard.Term
	if !pre && !real {
		return
	}
	c.votes[m.From] = !m.Reject
	c.countVotes()
}

// countVotes moves on if the election is decided and reports whether it is.
func (c *Core) countVotes() bool {
	ms, _ := c.log.membership()
	yes, no := 0, 0
	for id, granted := range c.votes {
		switch {
		case !ms.Voter(id):
		case granted:
			yes++
		default:
			no++
		}
	}
	switch {
	case quorum.Reached(yes, ms.Voters()) && c.role == PreCandidate:
		c.startElection()
	case quorum.Reached(yes, ms.Voters()):
		c.becomeLeader()
	case quorum.Impossible(no, ms.Voters()):
		c.becomeFollower(c.hard.Term, 0)
	default:
		return false
	}
	return true
}
