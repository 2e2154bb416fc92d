package consensus

// stepFromLeader handles messages from the leader of the current term.
func (c *Core) stepFromLeader(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.hardState.Term, m.From)
	}
	c.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		c.stepAppend(m)
	case MsgHeartbeat:
		c.commitTo(m.Commit)
		c.send(Message{Type: MsgHeartbeatReply, To: m.From, ReadSeq: m.ReadSeq})
	case MsgSnapshot:
		c.stepSnapshot(m)
	}
}

// commitTo adopts the commit index that a leader sends, which is the last one that it has released.
func (c *Core) commitTo(index uint64) {
	index = min(index, c.log.lastIndex())
	c.log.commit = max(c.log.commit, index)
	c.log.released = max(c.log.released, index)
}

func (c *Core) stepAppend(m Message) {
	if m.Index < c.log.commit {
		// Committed entries are equal to the leader's. The leader sends the rest again, after this
		// commit index.
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return
	}
	c.log.appendAfterMatch(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}

// rejectAppend replies with a hint about where the logs may match: the first index of the
// conflicting term, or the end of a log that is too short.
func (c *Core) rejectAppend(m Message) {
	reply := Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index}
	term, ok := c.log.term(m.Index)
	if !ok {
		reply.HintIndex = c.log.lastIndex() + 1
		c.send(reply)
		return
	}
	first := m.Index
	for first > c.log.commit+1 && c.log.matches(first-1, term) {
		first--
	}
	reply.HintIndex, reply.HintTerm = first, term
	c.send(reply)
}

func (c *Core) stepSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case s == nil:
		return
	case s.Index <= c.log.commit:
		// A former leader may not have released all that it has committed.
		c.commitTo(s.Index)
	case c.log.matches(s.Index, s.Term):
		// The log already holds everything that the snapshot covers.
		c.commitTo(s.Index)
	default:
		c.log.installSnapshot(*s)
		c.installPending = true
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
}
