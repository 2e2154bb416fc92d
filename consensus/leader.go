package consensus

import (
	"github.com/godwithub/godwithub/consensus/quorum"
	"github.com/godwithub/godwithub/consensus/tracker"
)

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.cfg.ID
	c.votes = nil
	c.peers = map[ReplicaID]*tracker.Progress{}
	c.pendingBytes = 0
	c.nextBeat = c.cfg.HeartbeatTicks
	c.reads = reads{}
	c.trackPeers()
	// Entries of earlier terms are committed only through one of this term.
	c.appendEntry(Entry{Kind: EntryNoop})
}

// trackPeers starts and ends the tracking of peers after a membership change.
func (c *Core) trackPeers() {
	ms, _ := c.log.membership()
	for _, m := range ms {
		if m.ID != c.cfg.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = tracker.New(c.log.last()+1, c.now, c.cfg.Window)
		}
	}
	for id := range c.peers {
		if _, ok := ms.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *Core) tickLeader() {
	if !c.hearsMajority(c.Membership()) {
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	c.nextBeat--
	if c.nextBeat <= 0 {
		c.sendHeartbeats()
	}
}

// hearsMajority reports whether a majority of the voters of ms has replied
// within an election timeout.
func (c *Core) hearsMajority(ms Membership) bool {
	heard := 0
	for _, m := range ms {
		p := c.peers[m.ID]
		switch {
		case !m.Voter:
		case m.ID == c.cfg.ID, p != nil && c.hears(p):
			heard++
		}
	}
	return quorum.Reached(heard, ms.Voters())
}

func (c *Core) sendHeartbeats() {
	c.nextBeat = c.cfg.HeartbeatTicks
	c.reads.announced = c.reads.issued
	ms, _ := c.log.membership()
	for _, m := range ms {
		p := c.peers[m.ID]
		if p == nil {
			continue
		}
		// The follower may lack entries after Match, or hold others.
		commit := min(c.log.commit, p.Match)
		c.send(Message{Type: MsgHeartbeat, To: m.ID, Commit: commit, ReadSeq: c.reads.announced})
	}
}

// replicate sends what the peers lack, as far as their windows allow, and a
// heartbeat if reads wait for one.
func (c *Core) replicate() {
	if c.reads.issued > c.reads.announced && c.ownTermCommitted() {
		c.sendHeartbeats()
	}
	ms, _ := c.log.membership()
	for _, m := range ms {
		p := c.peers[m.ID]
		for p != nil && c.sendNext(m.ID, p) {
		}
	}
}

// sendNext sends one message to a peer and reports whether more may follow.
func (c *Core) sendNext(to ReplicaID, p *tracker.Progress) bool {
	if p.Next > c.log.last() && (p.State != tracker.Probe || p.Match > 0) || p.Paused(c.now) {
		return false
	}
	prev := p.Next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok || prev < c.log.baseIndex {
		snapshot := c.log.snapshot
		c.send(Message{Type: MsgSnapshot, To: to, Snapshot: &snapshot})
		p.SentSnapshot(snapshot.Index, c.now, uint64(c.cfg.ElectionTicks))
		return false
	}
	entries := c.log.from(p.Next, c.cfg.MaxAppendBytes)
	c.send(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.log.commit})
	p.SentEntries(prev + uint64(len(entries)))
	return p.State == tracker.Replicate
}

// stepFromPeer handles replies to the leader in its term.
func (c *Core) stepFromPeer(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.Heard = c.now
	switch {
	case m.Type == MsgHeartbeatReply:
		p.ReadAck = max(p.ReadAck, m.ReadSeq)
		p.HeartbeatReply()
		c.confirmReads()
	case m.Reject:
		p.Rejected(m.Index, c.nextAfterReject(m))
	case m.Index > c.log.last():
		// A peer cannot hold more than its leader; the message is malformed.
	case p.Accepted(m.Index):
		c.advanceCommit()
	}
}

// nextAfterReject returns where to try next, given the follower's hint.
func (c *Core) nextAfterReject(m Message) uint64 {
	if m.HintTerm == 0 {
		return m.HintIndex
	}
	// The logs may agree on a part of the conflicting term: try after this
	// leader's last entry of that term.
	for i := min(m.Index, c.log.last()); i > c.log.baseIndex && i >= m.HintIndex; i-- {
		term, _ := c.log.term(i)
		if term == m.HintTerm {
			return i + 1
		}
		if term < m.HintTerm {
			break
		}
	}
	return m.HintIndex
}

// advanceCommit commits what a majority of voters has stored.
func (c *Core) advanceCommit() {
	ms, _ := c.log.membership()
	var stored []uint64
	for _, m := range ms {
		switch {
		case !m.Voter:
		case m.ID == c.cfg.ID:
			stored = append(stored, c.log.stored)
		default:
			stored = append(stored, c.peers[m.ID].Match)
		}
	}
	index := quorum.Value(stored)
	if index <= c.log.commit || !c.log.matches(index, c.hard.Term) {
		return
	}
	for _, e := range c.log.span(c.log.commit+1, index) {
		c.pendingBytes -= e.Size()
	}
	c.pendingBytes = max(0, c.pendingBytes)
	c.log.commit = index
	c.reads.setIndex(index)
	c.confirmReads()
	c.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of a replica whose removal is committed.
// Until then it leads a group that it does not count itself in.
func (c *Core) leaveIfRemoved() {
	ms, index := c.log.membership()
	if index <= c.log.commit && !ms.Voter(c.cfg.ID) {
		// The others learn the commitment now, since no heartbeat follows.
		c.sendHeartbeats()
		c.becomeFollower(c.hard.Term, 0)
	}
}

func (c *Core) ownTermCommitted() bool { return c.log.matches(c.log.commit, c.hard.Term) }

// Propose appends commands to the log and returns the index of the first. The
// commands are committed, or lost, together with the leadership or one by one.
func (c *Core) Propose(commands ...[]byte) (first uint64, err error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.pendingBytes >= c.cfg.MaxPendingBytes {
		return 0, ErrBusy
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendEntry(Entry{Kind: EntryCommand, Command: command})
	}
	return first, nil
}

// ProposeChange appends a membership change and returns its index. It returns
// ErrNotLeader, ErrNoTermEntry, ErrChangePending, ErrNotCaughtUp,
// ErrNoMajority, ErrNoChange or ErrBadChange.
func (c *Core) ProposeChange(change MemberChange) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	ms, index := c.log.membership()
	switch {
	case !c.ownTermCommitted():
		return 0, ErrNoTermEntry
	case index > c.log.commit:
		return 0, ErrChangePending
	}
	next, err := ms.Apply(change)
	if err != nil {
		return 0, err
	}
	if change.Kind == Promote && !c.mayPromote(change) {
		return 0, ErrNotCaughtUp
	}
	// Such a change would be in force at once and could never be committed.
	if !c.hearsMajority(next) {
		return 0, ErrNoMajority
	}
	c.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	c.trackPeers()
	return c.log.last(), nil
}

// mayPromote reports whether a learner accepts entries and, unless the change
// is early, lags so little that a vote for it does not delay commitment.
func (c *Core) mayPromote(change MemberChange) bool {
	p := c.peers[change.ID]
	if p == nil || p.Match == 0 || !c.hears(p) {
		return false
	}
	return change.Early || p.State == tracker.Replicate && c.log.last()-p.Match <= c.cfg.PromoteLag
}

// hears reports whether the peer has replied within an election timeout.
func (c *Core) hears(p *tracker.Progress) bool {
	return c.now-p.Heard < uint64(c.cfg.ElectionTicks)
}

func (c *Core) appendEntry(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.hard.Term
	c.log.append(e)
	c.pendingBytes += e.Size()
}
