package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ReplicaID identifies a replica. It is never reused in its group: a replica that loses its stored
// state takes a new id. 0 means no replica.
type ReplicaID uint64

// String returns the id in hexadecimal.
func (id ReplicaID) String() string { return fmt.Sprintf("%x", uint64(id)) }

// Member is one replica of a group.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint" json:"id"`
	// Addr is the replica's address, in the format of the transport.
	Addr string `cbor:"2,keyasint" json:"addr"`
	// Voter is false for a learner, which receives the log but has no vote.
	Voter bool `cbor:"3,keyasint" json:"voter"`
}

// Membership is the set of members of a group, sorted by id. It is never modified in place.
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

// IsVoter reports whether id is a voter.
func (ms Membership) IsVoter(id ReplicaID) bool {
	m, ok := ms.Find(id)
	return ok && m.Voter
}

// VoterCount returns the number of voters.
func (ms Membership) VoterCount() int {
	n := 0
	for _, m := range ms {
		if m.Voter {
			n++
		}
	}
	return n
}

// EntryKind tells what an entry contains.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota // a command for the state machine
	EntryNoop                        // empty entry that a new leader appends first
	EntryMembership                  // the membership that takes effect with this entry
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Kind       EntryKind  `cbor:"3,keyasint,omitempty"`
	Command    []byte     `cbor:"4,keyasint,omitempty"`
	Membership Membership `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is the approximate encoded size in bytes of an entry without its command.
const entryOverhead = 16

// Size returns the approximate encoded size in bytes.
func (e Entry) Size() int {
	n := entryOverhead + len(e.Command)
	for _, m := range e.Membership {
		n += entryOverhead + len(m.Addr)
	}
	return n
}

// HardState is the term and vote that a replica must store before it sends any message that depends
// on them.
type HardState struct {
	Term uint64    `cbor:"1,keyasint"`
	Vote ReplicaID `cbor:"2,keyasint"` // 0: no vote in this term
}

// Snapshot is the state of the state machine at Index. It replaces the log up to and including that
// index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// MessageType is the type of a message between replicas.
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

// Message is a message from one replica to another. It may be lost, delayed, reordered or delivered
// more than once.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm identify an entry: the sender's last one (votes), the one before Entries
	// (append), the last matching one (accepting append-reply) or the one that did not match
	// (rejecting append-reply). Append-replies set only Index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm tell the leader where to continue after a rejection: at the first entry
	// of the conflicting term in the follower's log, or after the end of a log that is too short
	// (HintTerm is 0).
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// ReadSeq is the highest read sequence number that a heartbeat or its reply confirms.
	ReadSeq  uint64    `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`

	// The fields below are used by the transport; the core ignores them.

	// Group is the name of the group, so that several groups can share one transport.
	Group string `cbor:"14,keyasint,omitempty"`
	// FromAddr is the sender's address.
	FromAddr string `cbor:"15,keyasint,omitempty"`
	// ToAddr is the receiver's address.
	ToAddr string `cbor:"-"`
}

// StateMachine is the application state that a group replicates. Its methods are called from one
// goroutine and must be deterministic: the same commands in the same order must lead to the same
// results and to equivalent snapshots.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Stored is the state that a store holds when the replica starts.
type Stored struct {
	ID       ReplicaID
	Hard     HardState
	Snapshot Snapshot // no snapshot if Index is 0
	Entries  []Entry  // may start before the snapshot index
}

// Blank reports whether nothing but the id has been stored.
func (s *Stored) Blank() bool {
	return s.Hard == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Batch is a set of changes that are stored atomically.
type Batch struct {
	Hard     *HardState // nil: unchanged
	Snapshot *Snapshot  // nil: unchanged
	// ResetEntries drops all stored entries before Entries are stored.
	ResetEntries bool
	// Entries replace all stored entries from the index of the first one on.
	Entries []Entry
	// DropBelow drops the entries with an index below it. 0 drops none.
	DropBelow uint64
}

// Store keeps the state of one replica.
type Store interface {
	// Load returns the stored state. It is called once, before Save.
	Load() (Stored, error)
	// Save stores a batch and returns once it is as durable as the store can make it. After an error
	// the batch may or may not be stored. The replica then does nothing but call Save again with the
	// same batch until it succeeds.
	Save(Batch) error
	Close() error
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1 // add a replica that receives the log without a vote
	Promote                          // turn a learner that has caught up into a voter
	Remove                           // remove a voter or a learner
	SetAddr                          // change the address of a member
	Demote                           // turn a voter into a learner
)

// String returns the kind as it appears in logs.
func (k ChangeKind) String() string {
	return [...]string{"none", "add-learner", "promote", "remove", "set-addr", "demote"}[min(k, Demote)]
}

// MemberChange is a change to a single member.
type MemberChange struct {
	Kind ChangeKind
	ID   ReplicaID
	Addr string // for AddLearner and SetAddr
	// BeforeCatchUp promotes a learner that has accepted an append but has not caught up. If
	// another voter fails while the learner catches up, commits are delayed. Without the early
	// promotion, such a failure can leave the group without a quorum. See
	// TestSecondLossDuringReplacement.
	BeforeCatchUp bool
}

// Errors that proposals and membership changes return.
var (
	ErrNotLeader        = errors.New("consensus: not the leader")
	ErrBusy             = errors.New("consensus: too many bytes await commitment")
	ErrChangePending    = errors.New("consensus: an earlier membership change is not committed yet")
	ErrTermNotCommitted = errors.New("consensus: no entry of the leader's own term is committed yet")
	ErrNotCaughtUp      = errors.New("consensus: the learner has not caught up")
	ErrNoQuorum         = errors.New("consensus: too few voters of the new membership are heard from")
	ErrNoChange         = errors.New("consensus: the membership change is already in effect")
	ErrBadChange        = errors.New("consensus: the membership change is not possible")
)

// Apply returns the membership that results from c. It returns ErrNoChange if c is already in
// effect, and ErrBadChange if it is not possible.
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
	case (c.Kind == Remove || c.Kind == Demote) && ms[i].Voter && ms.VoterCount() == 1:
		return nil, fmt.Errorf("%w: %s is the last voter", ErrBadChange, c.ID)
	case c.Kind == Remove:
		return slices.Delete(slices.Clone(ms), i, i+1), nil
	case c.Kind == Promote && ms[i].Voter, c.Kind == Demote && !ms[i].Voter, c.Kind == SetAddr && ms[i].Addr == c.Addr:
		return nil, ErrNoChange
	}
	out := slices.Clone(ms)
	switch c.Kind {
	case Promote:
		out[i].Voter = true
	case Demote:
		out[i].Voter = false
	case SetAddr:
		out[i].Addr = c.Addr
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrBadChange, c.Kind)
	}
	return out, nil
}
