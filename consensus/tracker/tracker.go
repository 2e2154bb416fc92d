// Package tracker tracks what a leader knows about a peer's log, and limits how much the leader sends
// to the peer before it receives a reply.
package tracker

import "slices"

// State determines how the leader sends to a peer.
type State uint8

// States of a peer.
const (
	// Probe allows one message at a time, because it is unknown up to where the peer's log matches.
	Probe State = iota
	// Replicate allows several in-flight messages, up to a maximum.
	Replicate
	// Snapshot waits until the peer has installed a snapshot.
	Snapshot
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"probe", "replicate", "snapshot", "unknown"}[s&3] }

// maxStalledReplies is the number of heartbeat replies without progress, while messages are in
// flight, after which a message is considered lost.
const maxStalledReplies = 2

// Progress is the replication state of one peer.
type Progress struct {
	State State
	Match uint64 // last index known to be stored at the peer
	Next  uint64 // next index to send
	// Heard is the leader's tick at which the peer last replied.
	Heard uint64
	// ReadAck is the highest read sequence number that the peer has acknowledged.
	ReadAck uint64

	maxInFlight     int
	inFlight        []uint64 // last index of each in-flight message
	probeInFlight   bool
	stalledReplies  int
	snapshotIndex   uint64 // index of the snapshot being installed
	snapshotRetryAt uint64 // tick at which the snapshot is sent again
	snapshotBackoff uint64 // ticks between snapshot messages
}

// New returns the progress of a peer whose log is not known yet. next is the index to try first, now
// the current tick, and maxInFlight the maximum number of in-flight messages.
func New(next, now uint64, maxInFlight int) *Progress {
	return &Progress{Next: next, Heard: now, maxInFlight: maxInFlight}
}

// Paused reports whether no entries or snapshots may be sent to the peer at tick now.
func (p *Progress) Paused(now uint64) bool {
	switch p.State {
	case Probe:
		return p.probeInFlight
	case Replicate:
		return len(p.inFlight) >= p.maxInFlight
	default:
		return now < p.snapshotRetryAt
	}
}

// SentEntries records that a message with entries up to index last was sent.
func (p *Progress) SentEntries(last uint64) {
	if p.State == Probe {
		p.probeInFlight = true
		return
	}
	p.Next = last + 1
	p.inFlight = append(p.inFlight, last)
}

// SentSnapshot records that a snapshot was sent. It is sent again if the peer has not installed it
// after retryTicks. This delay doubles with each attempt, so that a large snapshot is not sent again
// while a slow link is still transferring it.
func (p *Progress) SentSnapshot(index, now, retryTicks uint64) {
	if p.State != Snapshot || p.snapshotIndex != index {
		p.snapshotBackoff = retryTicks
	} else {
		p.snapshotBackoff *= 2
	}
	p.setState(Snapshot)
	p.snapshotIndex, p.snapshotRetryAt = index, now+p.snapshotBackoff
}

// Accepted records that the peer has stored the leader's log up to index. It reports whether this
// raised Match.
func (p *Progress) Accepted(index uint64) bool {
	advanced := index > p.Match
	if advanced {
		p.Match = index
		p.stalledReplies = 0
	}
	p.Next = max(p.Next, p.Match+1)
	n := 0
	for n < len(p.inFlight) && p.inFlight[n] <= index {
		n++
	}
	p.inFlight = p.inFlight[n:]
	if p.State == Probe || p.State == Snapshot && p.Match >= p.snapshotIndex {
		p.setState(Replicate)
		p.Next = p.Match + 1
	}
	return advanced
}

// Rejected records that the peer's log does not match at index prev and that the leader should
// continue at index next. It reports whether the rejection belongs to the current state; one that
// replies to an older message is ignored.
func (p *Progress) Rejected(prev, next uint64) bool {
	if p.State == Snapshot || prev <= p.Match {
		return false
	}
	if p.State == Probe && prev != p.Next-1 {
		return false
	}
	p.setState(Probe)
	p.Next = max(p.Match+1, min(next, prev))
	return true
}

// HeartbeatReply records a reply to a heartbeat. If several replies arrive without progress while
// messages are in flight, a message is considered lost and the peer is probed again. A reply also
// permits the next probe.
func (p *Progress) HeartbeatReply() {
	switch {
	case p.State == Probe:
		p.probeInFlight = false
	case p.State == Replicate && len(p.inFlight) > 0:
		p.stalledReplies++
		if p.stalledReplies >= maxStalledReplies {
			p.setState(Probe)
			p.Next = p.Match + 1
		}
	default:
		p.stalledReplies = 0
	}
}

// InFlight returns the number of in-flight messages.
func (p *Progress) InFlight() int { return len(p.inFlight) }

// setState switches to state s and clears what the previous state had in flight.
func (p *Progress) setState(s State) {
	p.State = s
	p.inFlight = nil
	p.probeInFlight = false
	p.stalledReplies = 0
}

// Clone returns an independent copy.
func (p *Progress) Clone() *Progress {
	out := *p
	out.inFlight = slices.Clone(p.inFlight)
	return &out
}
