package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/godwithub/godwithub/consensus/tracker"
)

// Role is the current role of a replica in its group.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r&3]
}

// Defaults of Config.
const (
	DefaultElectionTicks   = 10
	DefaultHeartbeatTicks  = 1
	DefaultMaxAppendBytes  = 256 << 10
	DefaultMaxInFlight     = 64
	DefaultMaxPendingBytes = 16 << 20
	DefaultKeepEntries     = 1024
	DefaultPromoteLag      = 64
	// DefaultReleaseTicks is longer than it takes until the vote of a member that has ended is found by its silence and taken.
	DefaultReleaseTicks = 25
)

// Config configures a Core and does not change afterwards. Zero fields other than ID and Seed take
// their defaults.
type Config struct {
	ID ReplicaID
	// Seed seeds the random election timeouts.
	Seed uint64
	// ElectionTicks is the election timeout in ticks. All replicas of a group must use the same value.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats. It must be less than ElectionTicks.
	HeartbeatTicks int
	// MaxAppendBytes bounds the total size of the entries in one message. A single larger entry is
	// sent alone.
	MaxAppendBytes int
	// MaxInFlight bounds the number of in-flight append messages to one peer.
	MaxInFlight int
	// MaxPendingBytes bounds the size of the uncommitted proposals: once it is reached, Propose
	// returns ErrBusy.
	MaxPendingBytes int
	// KeepEntries is how many log entries before a snapshot are kept for lagging followers.
	KeepEntries uint64
	// PromoteLag is how many entries a learner may lag behind the leader's log when it is promoted.
	PromoteLag uint64
	// TargetVoters is the number of voters that the group is meant to have. It is to tolerate the loss of the disks of
	// (TargetVoters-1)/2 of them at the same time. While it has more or fewer voters, committed entries are applied and acknowledged
	// only once so many voters have stored them that they remain after such a loss, or after ReleaseTicks. 0: they are
	// applied as soon as they are committed.
	TargetVoters int
	// ReleaseTicks bounds how long committed entries wait because of TargetVoters.
	ReleaseTicks int
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.PromoteLag, DefaultPromoteLag)
	setDefault(&c.ReleaseTicks, DefaultReleaseTicks)
	return c
}

func setDefault[T int | uint64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Core is the consensus state machine of one replica. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	source *rand.PCG // of rand
	rand   *rand.Rand
	log    *log

	hardState       HardState
	storedHardState HardState
	role            Role
	leader          ReplicaID // 0: unknown
	now             uint64    // ticks since start
	electionElapsed int       // ticks since the last message from the leader or the last granted vote
	electionTimeout int       // randomized election timeout in ticks

	votes map[ReplicaID]bool // replies in the current (pre-)election: true if granted
	// askedForVote is set while no leader is known and another replica counts this one as a voter.
	askedForVote bool

	// Fields used only while leader.
	peers            map[ReplicaID]*tracker.Progress
	ticksToHeartbeat int
	pendingBytes     int
	reads            reads
	settledAt        uint64 // tick of the election or of the last change of the voters
	heldSince        uint64 // tick since which committed entries wait to be released; 0: none does

	messages          []Message
	installPending    bool // log.snapshot was received from the leader and is not stored yet
	compactionPending bool // log.snapshot was taken locally and is not stored yet
	inReady           bool // Ready was called and Advance was not yet
}

// New returns the core of a replica that starts from the stored state.
func New(cfg Config, s Stored) (*Core, error) {
	if cfg.ID == 0 || cfg.ID != s.ID {
		return nil, fmt.Errorf("consensus: replica id %s, stored id %s", cfg.ID, s.ID)
	}
	cfg = cfg.withDefaults()
	if cfg.HeartbeatTicks >= cfg.ElectionTicks {
		return nil, errors.New("consensus: the election timeout must be longer than the time between heartbeats")
	}
	l, err := newLog(s)
	if err != nil {
		return nil, err
	}
	source := rand.NewPCG(cfg.Seed, uint64(cfg.ID))
	c := &Core{
		cfg:             cfg,
		source:          source,
		rand:            rand.New(source),
		log:             l,
		hardState:       s.Hard,
		storedHardState: s.Hard,
	}
	c.becomeFollower(s.Hard.Term, 0)
	if ms := c.Membership(); ms.VoterCount() == 1 && ms.IsVoter(cfg.ID) {
		// The only voter need not wait for a leader.
		c.electionTimeout = 1
	} else {
		c.electionTimeout = c.firstElectionTimeout()
	}
	return c, nil
}

// firstElectionTimeout returns the election timeout of a replica that has just started. It is
// shorter than later ones, so that a group elects a leader quickly after all of its replicas have
// restarted. This does not disturb a group that has a leader: replicas that hear from the leader
// ignore the pre-votes of a replica that restarts alone.
func (c *Core) firstElectionTimeout() int {
	quarter := max(c.cfg.ElectionTicks/4, c.cfg.HeartbeatTicks+1)
	return quarter + c.rand.IntN(2*quarter)
}

// FounderState returns the initial state of a founder of a group: a snapshot that holds the
// membership and the initial state of the state machine. All founders must start with the same
// membership and data.
func FounderState(id ReplicaID, founders Membership, data []byte) Stored {
	return Stored{
		ID:       id,
		Hard:     HardState{Term: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Membership: founders, Data: data},
	}
}

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout {
		c.startPreVote()
	}
}

// Step handles a message from another replica.
func (c *Core) Step(m Message) {
	// A replica that loses its disk takes a new id, so a message to another id is for a replica that
	// no longer exists at this address.
	if m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term < c.hardState.Term {
		c.replyToStaleTerm(m)
		return
	}
	if m.Term > c.hardState.Term && !c.adoptHigherTerm(m) {
		return
	}
	switch m.Type {
	case MsgPreVote:
		c.stepPreVote(m)
	case MsgVote:
		c.stepVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		c.stepVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.stepFromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply:
		c.stepFromPeer(m)
	}
}

// adoptHigherTerm handles a message with a term higher than the current one, and adopts that term
// unless the message is a pre-vote, a granted pre-vote or a vote request during a leader's lease.
// It reports whether the message needs further handling.
func (c *Core) adoptHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !c.inLease()
	case MsgPreVoteReply:
		// A granted pre-vote carries the term of the election that would follow.
		if !m.Reject {
			return true
		}
		c.becomeFollower(m.Term, 0)
		return false
	case MsgVote:
		if c.inLease() {
			return false
		}
		c.becomeFollower(m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, 0)
	}
	return true
}

// replyToStaleTerm rejects a leader's message or a pre-vote of an older term, so that its sender
// learns the current term. Without the reply, a leader whose follower has a higher term would never
// learn why that follower accepts no entries.
func (c *Core) replyToStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		if !c.inLease() {
			c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
		}
	}
}

// inLease reports whether this replica heard from the leader within the last election timeout. A
// leader is always within its own lease, because it steps down once it loses contact with a quorum.
func (c *Core) inLease() bool {
	return c.role == Leader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	c.role, c.leader = Follower, leader
	if leader != 0 {
		c.askedForVote = false
	}
	c.peers, c.votes = nil, nil
	c.pendingBytes = 0
	c.reads = reads{}
	c.resetElectionTimeout()
}

func (c *Core) resetElectionTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

// send queues a message for the next Ready. The term defaults to the current one.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.messages = append(c.messages, m)
}

// Status is a snapshot of a replica's state for the code that runs it and for operators.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0: unknown
	Commit     uint64
	Released   uint64 // last committed index that may be applied, see Config.TargetVoters
	Last       uint64 // last index in the log
	LastTerm   uint64 // term of the last entry
	Snapshot   uint64 // index of the snapshot
	Membership Membership
	// MembershipCommitted reports whether the last membership change is committed.
	MembershipCommitted bool
	// Match holds the last index known to be stored by each peer. Set on the leader only.
	Match map[ReplicaID]uint64
	// Heard tells for each peer whether it replied within the last election timeout. Set on the
	// leader only.
	Heard map[ReplicaID]bool
	// Now is the number of ticks since the replica's start.
	Now uint64
	// HeardAt is the tick of each peer's last reply, or that of the election if there is none yet. Set on the leader only.
	HeardAt map[ReplicaID]uint64
}

// Status returns the current state.
func (c *Core) Status() Status {
	ms, index := c.log.membership()
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.hardState.Term, Leader: c.leader,
		Commit: c.log.commit, Released: c.log.released, Last: c.log.lastIndex(), LastTerm: c.log.lastTerm(), Snapshot: c.log.snapshot.Index,
		Membership: ms, MembershipCommitted: index <= c.log.commit, Now: c.now,
	}
	if c.role == Leader {
		s.Match = make(map[ReplicaID]uint64, len(c.peers))
		s.Heard = make(map[ReplicaID]bool, len(c.peers))
		s.HeardAt = make(map[ReplicaID]uint64, len(c.peers))
		for id, p := range c.peers {
			s.Match[id] = p.Match
			s.Heard[id] = c.heardRecently(p)
			s.HeardAt[id] = p.Heard
		}
	}
	return s
}

// Role returns the current role and term.
func (c *Core) Role() (Role, uint64) { return c.role, c.hardState.Term }

// CommitIndex returns the index of the last entry that this replica knows to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.commit }

// LeaderID returns the leader of the current term, or 0 if it is unknown.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// Membership returns the active membership, which may not be committed yet.
func (c *Core) Membership() Membership {
	ms, _ := c.log.membership()
	return ms
}
