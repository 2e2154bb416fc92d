package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ReplicaID identifies a replica. It is unique in its group for all time: a
// replica that lost its memory or disk takes a new one. 0 is no replica.
type ReplicaID uint64

// String returns the id in hexadecimal.
func (id ReplicaID) String() string { return fmt.Sprintf("%x", uint64(id)) }

// Member is one replica of a group.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint" json:"id"`
	// Addr is where the replica is reached, in a form that the transport knows.
	Addr string `cbor:"2,keyasint" json:"addr"`
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool `cbor:"3,keyasint" json:"voter"`
}

// Membership is the set of members of a group, in the order of their ids. It is
// never modified in place.
type Membership []Member

// Find returns the member with the given id.
func (ms Membership) Find(id ReplicaID) (Member, bool) {
	for _, m := range ms {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voter reports whether id is a voter.
func (ms Membership) Voter(id ReplicaID) bool {
	m, ok := ms.Find(id)
	return ok && m.Voter
}

// Voters returns the number of voters.
func (ms Membership) Voters() int {
	n := 0
	for _, m := range ms {
		if m.Voter {
			n++
		}
	}
	return n
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryNoop                        // first entry of a leader's term
	EntryMembership                  // the membership from this entry on
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Kind       EntryKind  `cbor:"3,keyasint,omitempty"`
	Command    []byte     `cbor:"4,keyasint,omitempty"`
	Membership Membership `cbor:"5,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its command,
// in bytes.
const entryOverhead = 16

// Size returns the approximate encoded size in bytes.
func (e Entry) Size() int {
	n := entryOverhead + len(e.Command)
	for _, m := range e.Membership {
		n += entryOverhead + len(m.Addr)
	}
	return n
}

// HardState is what a replica must not forget. It is stored before any message
// that depends on it is sent.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"` // 0: none in this term
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// MessageType tells what a message is.
type MessageType uint8

// Types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
)

// String returns the name of the type.
func (t MessageType) String() string {
	names := [...]string{"none", "pre-vote", "pre-vote-reply", "vote", "vote-reply", "append",
		"append-reply", "heartbeat", "heartbeat-reply", "snapshot"}
	if int(t) < len(names) {
		return names[t]
	}
	return fmt.Sprintf("message-type-%d", uint8(t))
}

// Message is sent from one replica to another. It may be lost, delayed,
// reordered or delivered more than once.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm name an entry: the sender's last one (votes), the one
	// before Entries (append), the last one stored (accepting append-reply) or
	// the one that did not match (rejecting append-reply).
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm tell where the follower's log may match: the first
	// entry of the term that conflicts, or the end of a log that is too short.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// ReadSeq confirms reads in heartbeats and their replies.
	ReadSeq  uint64    `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`

	// The fields below belong to the transport; the core ignores them.

	// Group names the group, so that many groups share one transport.
	Group string `cbor:"14,keyasint,omitempty"`
	// FromAddr is where the sender is reached.
	FromAddr string `cbor:"15,keyasint,omitempty"`
	// ToAddr is where the receiver is reached.
	ToAddr string `cbor:"-"`
}

// StateMachine is replicated by a group. Its methods are called by one
// goroutine and must be deterministic: equal commands in equal order lead to
// equal results and snapshots of equal meaning.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Stored is what a store holds at start.
type Stored struct {
	ID       ReplicaID
	Hard     HardState
	Snapshot Snapshot // Index 0: none
	Entries  []Entry  // may start before the snapshot's index
}

// Blank reports whether nothing has been stored under the id.
func (s *Stored) Blank() bool {
	return s.Hard == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Batch is a set of changes that are stored together.
type Batch struct {
	Hard     *HardState // nil: unchanged
	Snapshot *Snapshot  // nil: unchanged
	// Reset drops all entries, before Entries are stored.
	Reset bool
	// Entries replace all entries from the first one's index on.
	Entries []Entry
	// DropBelow drops the entries with a lower index. 0: none.
	DropBelow uint64
}

// Store keeps the state of one replica.
type Store interface {
	// Load returns what was stored. It is called once, before Save.
	Load() (Stored, error)
	// Save stores a batch and returns once it is as durable as the store can
	// make it. After an error the replica must stop.
	Save(Batch) error
	Close() error
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1 // add a replica that receives the log without a vote
	Promote                          // give a learner that has caught up a vote
	Remove                           // remove a voter or learner
	SetAddr                          // change the address of a member
)

// String returns the kind as written in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "add-learner", "promote", "remove", "set-addr"}[min(k, SetAddr)]
}

// MemberChange is one change of one member.
type MemberChange struct {
	Kind ChangeKind
	ID   ReplicaID
	Addr string // for AddLearner and SetAddr
	// Early promotes a learner that has accepted an append, before it has
	// caught up. While it catches up, a further loss delays commitment; without
	// it, a further loss can end the group. See TestSecondLossDuringReplacement.
	Early bool
}

// Errors of proposals and membership changes.
var (
	ErrNotLeader     = errors.New("consensus: not the leader")
	ErrBusy          = errors.New("consensus: too many bytes await commitment")
	ErrChangePending = errors.New("consensus: an earlier membership change is not committed yet")
	ErrNoTermEntry   = errors.New("consensus: no entry of the leader's own term is committed yet")
	ErrNotCaughtUp   = errors.New("consensus: the learner has not caught up")
	ErrNoMajority    = errors.New("consensus: too few voters of the new membership are heard from")
	ErrNoChange      = errors.New("consensus: the membership is already as asked")
	ErrBadChange     = errors.New("consensus: the membership change is not possible")
)

// Apply returns the membership after c. It returns ErrNoChange or ErrBadChange
// if c does not apply.
func (ms Membership) Apply(c MemberChange) (Membership, error) {
	i := slices.IndexFunc(ms, func(m Member) bool { return m.ID == c.ID })
	switch {
	case c.ID == 0:
		return nil, fmt.Errorf("%w: replica id 0", ErrBadChange)
	case c.Kind == AddLearner && i >= 0, c.Kind == Remove && i < 0:
		return nil, ErrNoChange
	case c.Kind == AddLearner:
		out := append(slices.Clone(ms), Member{ID: c.ID, Addr: c.Addr})
		slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		return out, nil
	case i < 0:
		return nil, fmt.Errorf("%w: %s is not a member", ErrBadChange, c.ID)
	case c.Kind == Remove && ms[i].Voter && ms.Voters() == 1:
		return nil, fmt.Errorf("%w: %s is the last voter", ErrBadChange, c.ID)
	case c.Kind == Remove:
		return slices.Delete(slices.Clone(ms), i, i+1), nil
	case c.Kind == Promote && ms[i].Voter, c.Kind == SetAddr && ms[i].Addr == c.Addr:
		return nil, ErrNoChange
	}
	out := slices.Clone(ms)
	switch c.Kind {
	case Promote:
		out[i].Voter = true
	case SetAddr:
		out[i].Addr = c.Addr
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrBadChange, c.Kind)
	}
	return out, nil
}
