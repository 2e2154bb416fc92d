package consensus

import (
	"slices"

	"github.com/godwithub/godwithub/consensus/quorum"
	"github.com/godwithub/godwithub/consensus/tracker"
)

// ConfirmedRead is a read for which a quorum has confirmed the leadership.
type ConfirmedRead struct {
	Seq   uint64 // sequence number returned by Read
	Index uint64 // index that must be applied before the read is served
}

// reads tracks the reads during one leadership.
type reads struct {
	lastIssued uint64 // sequence number of the last read
	lastSent   uint64 // highest sequence number sent in heartbeats
	floor      uint64 // last index of the log at the election: earlier leaders may have acknowledged all up to it
	waiting    []ConfirmedRead
	confirmed  []ConfirmedRead
	round      uint64      // sequence number of the latest heartbeats to all peers
	responders []ReplicaID // voters that have replied to the heartbeats of round or to later ones
	// fastest holds the voters whose replies completed a quorum, in the latest round that had one.
	fastest []ReplicaID
}

// Read requests a confirmed read and returns its sequence number, which appears in Ready.Reads once
// the read is confirmed and all entries that may have been acknowledged before are released. Pending reads are
// dropped without notice when the leadership ends. Sequence numbers start over with each leadership.
func (c *Core) Read() (seq uint64, err error) {
	return c.addRead(max(c.log.released, c.reads.floor))
}

// ConfirmLeadership is like Read, but waits for no entries to be released. Changes of the membership need no more, and entries
// may be released only after such a change.
func (c *Core) ConfirmLeadership() (seq uint64, err error) { return c.addRead(0) }

func (c *Core) addRead(index uint64) (seq uint64, err error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	c.reads.lastIssued++
	c.reads.waiting = append(c.reads.waiting, ConfirmedRead{Seq: c.reads.lastIssued, Index: index})
	c.confirmReads()
	return c.reads.lastIssued, nil
}

// recordResponder records that a peer has replied to a heartbeat with the sequence number seq.
func (c *Core) recordResponder(id ReplicaID, seq uint64) {
	ms, _ := c.log.membership()
	m, ok := ms.Find(id)
	if !ok || !m.Voter || seq < c.reads.round || slices.Contains(c.reads.responders, id) {
		return
	}
	c.reads.responders = append(c.reads.responders, id)
	if missing := quorum.Size(ms.VoterCount()) - 1; len(c.reads.responders) == missing {
		c.reads.fastest = slices.Clone(c.reads.responders)
	}
}

// sendReadHeartbeats sends heartbeats that confirm the waiting reads, only to the voters in fastest, so that a
// read does not need messages to other regions. If one of them no longer replies, the next heartbeats to all
// peers, at most HeartbeatTicks later, confirm the reads.
func (c *Core) sendReadHeartbeats() {
	ms, _ := c.log.membership()
	removed := func(id ReplicaID) bool { return c.peers[id] == nil }
	if len(c.reads.fastest) != quorum.Size(ms.VoterCount())-1 || slices.ContainsFunc(c.reads.fastest, removed) {
		c.sendHeartbeats()
		return
	}
	c.reads.lastSent = c.reads.lastIssued
	for _, id := range c.reads.fastest {
		c.sendHeartbeat(id, c.peers[id])
	}
}

// confirmReads moves reads whose sequence number a quorum has acknowledged, and whose index is released, from waiting
// to confirmed.
func (c *Core) confirmReads() {
	if len(c.reads.waiting) == 0 || !c.committedInCurrentTerm() {
		return
	}
	seq := c.majorityValue(c.reads.lastIssued, func(p *tracker.Progress) uint64 { return p.ReadAck })
	var waiting []ConfirmedRead
	for _, r := range c.reads.waiting {
		if r.Seq <= seq && r.Index <= c.log.released {
			c.reads.confirmed = append(c.reads.confirmed, r)
		} else {
			waiting = append(waiting, r)
		}
	}
	c.reads.waiting = waiting
}

// takeConfirmed returns the confirmed reads and removes them.
func (r *reads) takeConfirmed() []ConfirmedRead {
	out := r.confirmed
	r.confirmed = nil
	return out
}
