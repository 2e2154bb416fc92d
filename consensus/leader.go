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
	c.ticksToHeartbeat = c.cfg.HeartbeatTicks
	c.reads = reads{floor: c.log.lastIndex()}
	c.settledAt = c.now
	c.trackPeers()
	// Entries of earlier terms can be committed only along with an entry of this term.
	c.appendEntry(Entry{Kind: EntryNoop})
}

// trackPeers adds and removes tracked peers to match the active membership.
func (c *Core) trackPeers() {
	ms, _ := c.log.membership()
	for _, m := range ms {
		if m.ID != c.cfg.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = tracker.New(c.log.lastIndex()+1, c.now, c.cfg.MaxInFlight)
		}
	}
	for id := range c.peers {
		if _, ok := ms.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *Core) tickLeader() {
	if !c.heardFromQuorum(c.Membership()) {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.advanceRelease()
	c.ticksToHeartbeat--
	if c.ticksToHeartbeat <= 0 {
		c.sendHeartbeats()
	}
}

// heardFromQuorum reports whether a quorum of the voters of ms, counting this replica, has replied
// within the last election timeout.
func (c *Core) heardFromQuorum(ms Membership) bool {
	heard := 0
	for _, m := range ms {
		p := c.peers[m.ID]
		switch {
		case !m.Voter:
		case m.ID == c.cfg.ID, p != nil && c.heardRecently(p):
			heard++
		}
	}
	return quorum.Reached(heard, ms.VoterCount())
}

func (c *Core) sendHeartbeats() {
	c.ticksToHeartbeat = c.cfg.HeartbeatTicks
	// A new sequence number distinguishes replies to these heartbeats from late replies to earlier ones.
	c.reads.lastIssued++
	c.reads.lastSent = c.reads.lastIssued
	c.reads.round, c.reads.responders = c.reads.lastIssued, nil
	ms, _ := c.log.membership()
	for _, m := range ms {
		if p := c.peers[m.ID]; p != nil {
			c.sendHeartbeat(m.ID, p)
		}
	}
}

func (c *Core) sendHeartbeat(to ReplicaID, p *tracker.Progress) {
	// After Match, the follower may lack entries or hold conflicting ones, so it must not commit
	// beyond Match.
	commit := min(c.log.released, p.Match)
	c.send(Message{Type: MsgHeartbeat, To: to, Commit: commit, ReadSeq: c.reads.lastSent})
}

// replicate sends missing entries to all peers, as far as their limits on in-flight messages allow,
// and heartbeats if reads wait for confirmation.
func (c *Core) replicate() {
	if c.reads.lastIssued > c.reads.lastSent && c.committedInCurrentTerm() {
		c.sendReadHeartbeats()
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
	if p.Next > c.log.lastIndex() && (p.State != tracker.Probe || p.Match > 0) || p.Paused(c.now) {
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
	entries := c.log.entriesFrom(p.Next, c.cfg.MaxAppendBytes)
	c.send(Message{Type: MsgAppend, To: to, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.log.released})
	p.SentEntries(prev + uint64(len(entries)))
	return p.State == tracker.Replicate
}

// stepFromPeer handles replies from peers to this replica as the leader of the current term.
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
		c.recordResponder(m.From, m.ReadSeq)
		c.confirmReads()
	case m.Reject:
		p.Rejected(m.Index, c.nextAfterReject(m))
	case m.Index > c.log.lastIndex():
		// A peer cannot have matching entries beyond the leader's log, so the message is malformed.
	case p.Accepted(m.Index):
		c.advance()
	}
}

// nextAfterReject returns the next index to send to a follower, based on the hint in its rejection.
func (c *Core) nextAfterReject(m Message) uint64 {
	if m.HintTerm == 0 {
		return m.HintIndex
	}
	// The logs may agree on part of the conflicting term: continue after the leader's last entry of
	// that term.
	for i := min(m.Index, c.log.lastIndex()); i > c.log.baseIndex && i >= m.HintIndex; i-- {
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

// majorityValue returns the largest value that a quorum of voters has reached or passed. own is the value of
// this replica, and valueOf returns that of a peer.
func (c *Core) majorityValue(own uint64, valueOf func(*tracker.Progress) uint64) uint64 {
	return quorum.MajorityValue(c.voterValues(own, valueOf))
}

// voterValues returns one value for each voter, see majorityValue.
func (c *Core) voterValues(own uint64, valueOf func(*tracker.Progress) uint64) []uint64 {
	ms, _ := c.log.membership()
	var values []uint64
	for _, m := range ms {
		switch {
		case !m.Voter:
		case m.ID == c.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, valueOf(c.peers[m.ID]))
		}
	}
	return values
}

func matchOf(p *tracker.Progress) uint64 { return p.Match }

// advance raises the commit index and releases what may be released.
func (c *Core) advance() {
	committed := c.advanceCommit()
	c.advanceRelease()
	if committed {
		c.stepDownIfRemoved()
	}
}

// advanceCommit raises the commit index to the last entry that a quorum has stored, provided that
// this entry is of the current term. It reports whether it did.
func (c *Core) advanceCommit() bool {
	index := c.majorityValue(c.log.stored, matchOf)
	if index <= c.log.commit || !c.log.matches(index, c.hardState.Term) {
		return false
	}
	for _, e := range c.log.entriesBetween(c.log.commit+1, index) {
		c.pendingBytes -= e.Size()
	}
	c.pendingBytes = max(0, c.pendingBytes)
	c.log.commit = index
	return true
}

// stepDownIfRemoved ends the leadership of a replica whose own removal is committed. Until then it
// leads the group without counting itself towards a quorum.
func (c *Core) stepDownIfRemoved() {
	ms, index := c.log.membership()
	if index <= c.log.commit && !ms.IsVoter(c.cfg.ID) {
		// Send the commit index to the others now: this leader sends no further heartbeats.
		c.sendHeartbeats()
		c.becomeFollower(c.hardState.Term, 0)
	}
}

// committedInCurrentTerm reports whether an entry of the current term is committed.
func (c *Core) committedInCurrentTerm() bool { return c.log.matches(c.log.commit, c.hardState.Term) }

// Propose appends commands to the log and returns the index of the first. If the leadership ends
// before all of them are committed, any number of the first ones may still be committed. It returns
// ErrNotLeader or ErrBusy.
func (c *Core) Propose(commands ...[]byte) (first uint64, err error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.pendingBytes >= c.cfg.MaxPendingBytes {
		return 0, ErrBusy
	}
	first = c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendEntry(Entry{Kind: EntryCommand, Command: command})
	}
	return first, nil
}

// ProposeChange appends a membership change and returns its index. It returns ErrNotLeader,
// ErrTermNotCommitted, ErrChangePending, ErrNotCaughtUp, ErrNoQuorum, ErrNoChange or ErrBadChange.
func (c *Core) ProposeChange(change MemberChange) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	ms, index := c.log.membership()
	switch {
	case !c.committedInCurrentTerm():
		return 0, ErrTermNotCommitted
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
	// The change takes effect at once and could not be committed without a reachable quorum of the
	// new membership.
	if !c.heardFromQuorum(next) {
		return 0, ErrNoQuorum
	}
	c.appendEntry(Entry{Kind: EntryMembership, Membership: next})
	if change.Kind == Promote || change.Kind == Demote || change.Kind == Remove {
		c.settledAt = c.now
	}
	c.trackPeers()
	return c.log.lastIndex(), nil
}

// mayPromote reports whether a learner accepts entries and, unless the change sets BeforeCatchUp,
// lags so little behind that giving it a vote does not delay commits.
func (c *Core) mayPromote(change MemberChange) bool {
	p := c.peers[change.ID]
	if p == nil || p.Match == 0 || !c.heardRecently(p) {
		return false
	}
	return change.BeforeCatchUp || p.State == tracker.Replicate && c.log.lastIndex()-p.Match <= c.cfg.PromoteLag
}

// heardRecently reports whether the peer has replied within the last election timeout.
func (c *Core) heardRecently(p *tracker.Progress) bool {
	return c.now-p.Heard < uint64(c.cfg.ElectionTicks)
}

// appendEntry appends an entry to the log at the next index in the current term.
func (c *Core) appendEntry(e Entry) {
	e.Index, e.Term = c.log.lastIndex()+1, c.hardState.Term
	c.log.append(e)
	c.pendingBytes += e.Size()
}
