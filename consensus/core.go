package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/godwithub/godwithub/consensus/tracker"
)

// Role is what a replica is at present.
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
	DefaultWindow          = 64
	DefaultMaxPendingBytes = 16 << 20
	DefaultKeepEntries     = 1024
	DefaultPromoteLag      = 64
)

// Config is fixed for the life of a Core. Zero fields but ID and Seed take
// their defaults.
type Config struct {
	ID ReplicaID
	// Seed of the random election timeouts.
	Seed uint64
	// ElectionTicks is the election timeout. Replicas of a group use the same.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries in one message; one larger entry is
	// sent alone.
	MaxAppendBytes int
	// Window bounds the messages to one peer that await a reply.
	Window int
	// MaxPendingBytes bounds the proposals that await commitment.
	MaxPendingBytes int
	// KeepEntries is how many entries before a snapshot are kept for followers.
	KeepEntries uint64
	// PromoteLag is how many entries a learner may be behind when it is
	// promoted.
	PromoteLag uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.PromoteLag, DefaultPromoteLag)
	return c
}

func setDefault[T int | uint64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Core is one replica's part of the consensus. It is not safe for concurrent
// use.
type Core struct {
	cfg  Config
	rand *rand.Rand
	log  *log

	hard       HardState
	storedHard HardState
	role       Role
	leader     ReplicaID // 0: not known
	now        uint64    // ticks since start
	elapsed    int       // ticks since a leader was heard or a vote granted
	timeout    int       // random election timeout in ticks

	votes map[ReplicaID]bool // replies of this election: granted or not

	// Fields of a leader.
	peers        map[ReplicaID]*tracker.Progress
	nextBeat     int
	pendingBytes int
	reads        reads

	messages  []Message
	installed bool // log.snapshot was received and is not stored yet
	compacted bool // log.snapshot was made here and is not stored yet
	inReady   bool
}

// New returns the core of a replica with the stored state.
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
	c := &Core{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		log:        l,
		hard:       s.Hard,
		storedHard: s.Hard,
	}
	c.becomeFollower(s.Hard.Term, 0)
	if ms := c.Membership(); ms.Voters() == 1 && ms.Voter(cfg.ID) {
		// There is no leader to wait for.
		c.timeout = 1
	} else {
		c.timeout = c.firstTimeout()
	}
	return c, nil
}

// firstTimeout returns the election timeout of a replica that has just started.
// It is shorter than later ones: after the restart of a whole group there is no
// leader to be heard, and a replica that starts alone is refused its pre-votes by
// those that hear one.
func (c *Core) firstTimeout() int {
	quarter := max(c.cfg.ElectionTicks/4, c.cfg.HeartbeatTicks+1)
	return quarter + c.rand.IntN(2*quarter)
}

// Founding returns the state with which the founders of a group start: a
// snapshot that holds the membership and the initial state of the state
// machine. All founders must start from the same one.
func Founding(id ReplicaID, founders Membership, data []byte) Stored {
	return Stored{
		ID:       id,
		Hard:     HardState{Term: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Membership: founders, Data: data},
	}
}

// Tick advances the time by one tick.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.elapsed++
	if c.elapsed >= c.timeout {
		c.startPreVote()
	}
}

// Step takes a message from another replica.
func (c *Core) Step(m Message) {
	// A blank disk gets a new id, so a message to another id is for a replica
	// that no longer exists here.
	if m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term < c.hard.Term {
		c.answerOldTerm(m)
		return
	}
	if m.Term > c.hard.Term && !c.enterTerm(m) {
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

// enterTerm takes over a higher term. It reports false if the message needs no
// further handling.
func (c *Core) enterTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !c.inLease()
	case MsgPreVoteReply:
		// A granted pre-vote carries the term that the election would have.
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

// answerOldTerm tells a leader or candidate of an older term about the present
// one. Without it, a leader whose follower has a higher term would never learn
// why that follower takes no entries.
func (c *Core) answerOldTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		if !c.inLease() {
			c.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
		}
	}
}

// inLease reports whether a leader was heard within an election timeout. A
// leader is always in its lease, because it steps down by itself.
func (c *Core) inLease() bool {
	return c.role == Leader || c.leader != 0 && c.elapsed < c.cfg.ElectionTicks
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	c.role, c.leader = Follower, leader
	c.peers, c.votes = nil, nil
	c.pendingBytes = 0
	c.reads = reads{}
	c.resetTimeout()
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.rand.IntN(c.cfg.ElectionTicks)
}

// send queues a message, in the present term unless one is set.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.messages = append(c.messages, m)
}

// Status is a view of a replica for its runner and for operators.
type Status struct {
	ID         ReplicaID
	Role       Role
	Term       uint64
	Leader     ReplicaID // 0: not known
	Commit     uint64
	Last       uint64 // last index in the log
	Snapshot   uint64 // index of the snapshot
	Membership Membership
	// MembershipCommitted says that the last membership change is committed.
	MembershipCommitted bool
	// Match holds the last index known to be stored by each peer. Leader only.
	Match map[ReplicaID]uint64
	// Heard holds the peers that have replied within an election timeout.
	// Leader only.
	Heard map[ReplicaID]bool
}

// Status returns the present state.
func (c *Core) Status() Status {
	ms, index := c.log.membership()
	s := Status{
		ID: c.cfg.ID, Role: c.role, Term: c.hard.Term, Leader: c.leader,
		Commit: c.log.commit, Last: c.log.last(), Snapshot: c.log.snapshot.Index,
		Membership: ms, MembershipCommitted: index <= c.log.commit,
	}
	if c.role == Leader {
		s.Match = make(map[ReplicaID]uint64, len(c.peers))
		s.Heard = make(map[ReplicaID]bool, len(c.peers))
		for id, p := range c.peers {
			s.Match[id] = p.Match
			s.Heard[id] = c.hears(p)
		}
	}
	return s
}

// Role returns the role and the term.
func (c *Core) Role() (Role, uint64) { return c.role, c.hard.Term }

// LeaderID returns the leader of the present term, or 0 if it is not known.
func (c *Core) LeaderID() ReplicaID { return c.leader }

// Membership returns the membership in force.
func (c *Core) Membership() Membership {
	ms, _ := c.log.membership()
	return ms
}
