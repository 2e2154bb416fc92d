package consensus

// stepFromLeader handles messages of the leader of the present term.
func (c *Core) stepFromLeader(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.hard.Term, m.From)
	}
	c.elapsed = 0
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

func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last()))
}

func (c *Core) stepAppend(m Message) {
	if m.Index < c.log.commit {
		// Committed entries equal the leader's; the rest comes again.
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return
	}
	c.log.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: last})
}

func (c *Core) rejectAppend(m Message) {
	reply := Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index}
	term, ok := c.log.term(m.Index)
	if !ok {
		reply.HintIndex = c.log.last() + 1
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
	case c.log.matches(s.Index, s.Term):
		// The log holds all that the snapshot does.
		c.commitTo(s.Index)
	default:
		c.log.install(*s)
		c.installed = true
	}
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.commit})
}
