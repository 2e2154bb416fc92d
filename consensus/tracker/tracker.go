// Package tracker follows what a leader knows of one peer's log and limits how
// much it sends to the peer before hearing back.
package tracker

// State tells how the leader sends to a peer.
type State uint8

// States of a peer.
const (
	// Probe sends one message and waits, because the end of the peer's log is
	// not known.
	Probe State = iota
	// Replicate sends ahead of the replies, within a window.
	Replicate
	// Snapshot waits until the peer has installed a snapshot.
	Snapshot
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"probe", "replicate", "snapshot", "unknown"}[s&3] }

// stalledReplies is how many heartbeat replies without progress, while messages
// are outstanding, mean that a message was lost.
const stalledReplies = 2

// Progress is the state of one peer.
type Progress struct {
	State State
	Match uint64 // last index known to be stored at the peer
	Next  uint64 // next index to send
	// Heard is the leader's tick at which the peer last replied.
	Heard uint64
	// ReadAck is the newest read sequence that the peer has acknowledged.
	ReadAck uint64

	window   int
	sent     []uint64 // last index of each outstanding message
	probing  bool     // a probe is outstanding
	stalled  int
	snapshot uint64 // index of the snapshot being installed
	retryAt  uint64 // tick at which the snapshot is sent again
	backoff  uint64 // ticks between snapshot messages
}

// New returns the progress of a peer whose log is not known. window is how many
// messages may be outstanding.
func New(next, now uint64, window int) *Progress {
	return &Progress{Next: next, Heard: now, window: window}
}

// Paused reports whether nothing may be sent at tick now.
func (p *Progress) Paused(now uint64) bool {
	switch p.State {
	case Probe:
		return p.probing
	case Replicate:
		return len(p.sent) >= p.window
	default:
		return now < p.retryAt
	}
}

// SentEntries records a message with entries up to last.
func (p *Progress) SentEntries(last uint64) {
	if p.State == Probe {
		p.probing = true
		return
	}
	p.Next = last + 1
	p.sent = append(p.sent, last)
}

// SentSnapshot records a snapshot message. A lost one is sent again after a
// number of ticks that doubles each time, since a large snapshot over a slow
// link must not be sent over itself.
func (p *Progress) SentSnapshot(index, now, retryTicks uint64) {
	if p.State != Snapshot || p.snapshot != index {
		p.backoff = retryTicks
	} else {
		p.backoff *= 2
	}
	p.become(Snapshot)
	p.snapshot, p.retryAt = index, now+p.backoff
}

// Accepted records that the peer has stored its log up to index. It reports
// whether that is news.
func (p *Progress) Accepted(index uint64) bool {
	news := index > p.Match
	if news {
		p.Match = index
		p.stalled = 0
	}
	p.Next = max(p.Next, p.Match+1)
	n := 0
	for n < len(p.sent) && p.sent[n] <= index {
		n++
	}
	p.sent = p.sent[n:]
	if p.State == Probe || p.State == Snapshot && p.Match >= p.snapshot {
		p.become(Replicate)
		p.Next = p.Match + 1
	}
	return news
}

// Rejected records that the peer's log does not match at index prev and that
// the leader will try from next on. It reports whether the rejection is of the
// present state and not of an older message.
func (p *Progress) Rejected(prev, next uint64) bool {
	if p.State == Snapshot || prev <= p.Match {
		return false
	}
	if p.State == Probe && prev != p.Next-1 {
		return false
	}
	p.become(Probe)
	p.Next = max(p.Match+1, min(next, prev))
	return true
}

// HeartbeatReply records a reply to a heartbeat. Replies that arrive while
// messages are outstanding without progress mean a loss, after which the peer
// is probed.
func (p *Progress) HeartbeatReply() {
	switch {
	case p.State == Probe:
		p.probing = false
	case p.State == Replicate && len(p.sent) > 0:
		p.stalled++
		if p.stalled >= stalledReplies {
			p.become(Probe)
			p.Next = p.Match + 1
		}
	default:
		p.stalled = 0
	}
}

// Outstanding returns how many messages await a reply.
func (p *Progress) Outstanding() int { return len(p.sent) }

func (p *Progress) become(s State) {
	p.State = s
	p.sent = nil
	p.probing = false
	p.stalled = 0
}
