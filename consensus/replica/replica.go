// Package replica runs one replica of a consensus group: one goroutine drives
// the core, stores, sends and applies. Proposals that arrive while a batch is
// being stored form the next batch.
package replica

import (
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/consensus"
)

// Transport sends messages to other replicas. It may drop them; it never
// blocks.
type Transport interface {
	Send(m consensus.Message)
}

// Defaults of Config.
const (
	DefaultTickInterval  = 100 * time.Millisecond
	DefaultSnapshotBytes = 1 << 20
)

const (
	// inboxSize is how many received messages may wait. Further ones are dropped.
	inboxSize = 4096
	// queueSize is how many proposals, reads or changes may wait each. Further
	// callers wait.
	queueSize = 1024
	// maxRound bounds the events taken in before a round of storing and
	// sending.
	maxRound = 1024
)

// metrics counts events of all replicas of the process.
var metrics = expvar.NewMap("consensus")

// Config describes a replica. Zero fields take their defaults where there is one.
type Config struct {
	// Group is the name that messages carry.
	Group string
	// Core sets the timing and limits. ID is taken from the store.
	Core consensus.Config
	// Addr is where other replicas reach this one.
	Addr string
	// Founders is the first membership of a new group. It is used only if the
	// store is blank, and must then be the same at all founders. Without it, a
	// blank replica waits until a leader adds it.
	Founders     consensus.Membership
	Store        consensus.Store // closed by Stop
	Machine      consensus.StateMachine
	Transport    Transport
	TickInterval time.Duration
	// SnapshotBytes is the size of applied entries after which a snapshot is
	// taken.
	SnapshotBytes int
	Log           *slog.Logger
}

// Status is a view of a running replica.
type Status struct {
	consensus.Status
	Applied    uint64
	LeaderAddr string // empty: not known
}

// Replica is a running replica.
type Replica struct {
	cfg  Config
	core *consensus.Core
	log  *slog.Logger

	inbox     chan consensus.Message
	proposals chan *proposal
	reads     chan *read
	changes   chan *change
	stop      chan struct{}
	stopOnce  sync.Once
	done      chan struct{}
	err       error // set before done is closed
	status    atomic.Pointer[Status]

	// The fields below belong to the runner goroutine.

	// addrs holds where replicas said they are reached. A replica that
	// returned under a new address is known there before the membership is.
	addrs        map[consensus.ReplicaID]string
	taken        []*proposal // to be proposed in this round
	waiting      map[uint64]waiter
	waitingReads map[uint64][]*read
	newReads     []*read
	openChanges  []*change
	applied      uint64
	appliedBytes int
	role         consensus.Role
	term         uint64
}

// waiter is what waits for the entry at an index.
type waiter struct {
	term     uint64
	proposal *proposal
	change   *change
}

// Start restores the state machine from the store and runs the replica.
func Start(cfg Config) (*Replica, error) {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = DefaultSnapshotBytes
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	stored, err := load(cfg)
	if err != nil {
		return nil, err
	}
	cfg.Core.ID = stored.ID
	core, err := consensus.New(cfg.Core, stored)
	if err != nil {
		return nil, fmt.Errorf("replica: group %s: %w", cfg.Group, err)
	}
	r := &Replica{
		cfg:          cfg,
		core:         core,
		log:          cfg.Log.With("group", cfg.Group, "replica", stored.ID.String()),
		inbox:        make(chan consensus.Message, inboxSize),
		proposals:    make(chan *proposal, queueSize),
		reads:        make(chan *read, queueSize),
		changes:      make(chan *change, queueSize),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		addrs:        map[consensus.ReplicaID]string{stored.ID: cfg.Addr},
		waiting:      map[uint64]waiter{},
		waitingReads: map[uint64][]*read{},
		applied:      stored.Snapshot.Index,
		term:         stored.Hard.Term,
	}
	r.publish()
	go r.run()
	return r, nil
}

// load reads the store, founds the group in a blank one if asked to, and
// restores the state machine.
func load(cfg Config) (consensus.Stored, error) {
	stored, err := cfg.Store.Load()
	if err != nil {
		return stored, fmt.Errorf("replica: group %s: %w", cfg.Group, err)
	}
	if stored.Blank() && len(cfg.Founders) > 0 {
		return found(cfg, stored.ID)
	}
	if stored.Snapshot.Index == 0 {
		return stored, nil
	}
	if err := cfg.Machine.Restore(stored.Snapshot.Data); err != nil {
		return stored, fmt.Errorf("replica: group %s: restore snapshot at %d: %w", cfg.Group, stored.Snapshot.Index, err)
	}
	return stored, nil
}

func found(cfg Config, id consensus.ReplicaID) (consensus.Stored, error) {
	data, err := cfg.Machine.Snapshot()
	if err != nil {
		return consensus.Stored{}, fmt.Errorf("replica: group %s: initial snapshot: %w", cfg.Group, err)
	}
	stored := consensus.Founding(id, cfg.Founders, data)
	err = cfg.Store.Save(consensus.Batch{Hard: &stored.Hard, Snapshot: &stored.Snapshot, Reset: true})
	if err != nil {
		return consensus.Stored{}, fmt.Errorf("replica: group %s: %w", cfg.Group, err)
	}
	return stored, nil
}

// Receive takes a message from the transport. It never blocks.
func (r *Replica) Receive(m consensus.Message) {
	select {
	case r.inbox <- m:
	default:
		metrics.Add("inbox_dropped", 1)
	}
}

// Status returns the state after the last round.
func (r *Replica) Status() Status { return *r.status.Load() }

// Leader returns the leader and its address. ok is false if none is known.
func (r *Replica) Leader() (id consensus.ReplicaID, addr string, ok bool) {
	s := r.status.Load()
	return s.Leader, s.LeaderAddr, s.Leader != 0
}

// Stop ends the replica and closes its store. Callers that still wait get an
// UnknownError or ErrStopped.
func (r *Replica) Stop() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

// Done is closed when the replica has ended, by Stop or because its store or
// state machine failed.
func (r *Replica) Done() <-chan struct{} { return r.done }

func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	var err error
	for err == nil && r.takeEvents(ticker.C) {
		r.submit()
		err = r.rounds()
		r.publish()
	}
	if err != nil {
		r.log.Error("replica stops", "error", err)
	}
	// Callers must not see the replica as leader any more.
	s := *r.status.Load()
	s.Role, s.Leader, s.LeaderAddr = consensus.Follower, 0, ""
	r.status.Store(&s)
	r.err = errors.Join(err, r.cfg.Store.Close())
	r.failWaiters(ErrStopped)
	r.failQueued()
	close(r.done)
}

// takeEvents waits for an event and takes in those that are there. It reports
// false when the replica is to stop.
func (r *Replica) takeEvents(ticks <-chan time.Time) bool {
	select {
	case <-r.stop:
		return false
	case <-ticks:
		r.tick()
	case m := <-r.inbox:
		r.step(m)
	case p := <-r.proposals:
		r.taken = append(r.taken, p)
	case rd := <-r.reads:
		r.newReads = append(r.newReads, rd)
	case c := <-r.changes:
		r.openChanges = append(r.openChanges, c)
	}
	for range maxRound {
		select {
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			r.taken = append(r.taken, p)
		case rd := <-r.reads:
			r.newReads = append(r.newReads, rd)
		case c := <-r.changes:
			r.openChanges = append(r.openChanges, c)
		default:
			return true
		}
	}
	return true
}

func (r *Replica) tick() {
	r.core.Tick()
	r.noteLeadership()
}

func (r *Replica) step(m consensus.Message) {
	if m.FromAddr != "" {
		r.addrs[m.From] = m.FromAddr
	}
	r.core.Step(m)
	r.noteLeadership()
}

// noteLeadership fails what waits for an earlier leadership of this replica.
func (r *Replica) noteLeadership() {
	role, term := r.core.Role()
	if role == r.role && term == r.term {
		return
	}
	if r.role == consensus.Leader {
		metrics.Add("leaderships_lost", 1)
		r.log.Info("lost the leadership", "term", r.term)
		r.failWaiters(r.notLeader())
	}
	if role == consensus.Leader {
		metrics.Add("elections_won", 1)
		r.log.Info("became leader", "term", term)
	}
	r.role, r.term = role, term
}

func (r *Replica) notLeader() *NotLeaderError {
	id := r.core.LeaderID()
	return &NotLeaderError{Leader: id, Addr: r.addrOf(id)}
}

func (r *Replica) addrOf(id consensus.ReplicaID) string {
	if addr := r.addrs[id]; addr != "" {
		return addr
	}
	m, _ := r.core.Membership().Find(id)
	return m.Addr
}

// rounds does the core's work until there is none left.
func (r *Replica) rounds() error {
	for {
		rd := r.core.Ready()
		if rd.Empty() {
			r.core.Advance()
			return nil
		}
		if err := r.round(rd); err != nil {
			return err
		}
		r.core.Advance()
		r.noteLeadership()
		if err := r.compact(); err != nil {
			return err
		}
	}
}

func (r *Replica) round(rd consensus.Ready) error {
	r.send(rd.Early)
	if rd.Sync {
		if err := r.cfg.Store.Save(rd.Batch); err != nil {
			return err
		}
	}
	r.send(rd.Messages)
	if rd.Install {
		s := rd.Batch.Snapshot
		if err := r.cfg.Machine.Restore(s.Data); err != nil {
			return fmt.Errorf("replica: restore snapshot at %d: %w", s.Index, err)
		}
		r.applied, r.appliedBytes = s.Index, 0
		metrics.Add("snapshots_installed", 1)
	}
	for _, e := range rd.Committed {
		r.apply(e)
	}
	for _, c := range rd.Reads {
		for _, rd := range r.waitingReads[c.Seq] {
			rd.result <- nil
		}
		delete(r.waitingReads, c.Seq)
	}
	return nil
}

func (r *Replica) send(messages []consensus.Message) {
	for _, m := range messages {
		m.Group = r.cfg.Group
		m.FromAddr = r.cfg.Addr
		m.ToAddr = r.addrOf(m.To)
		r.cfg.Transport.Send(m)
	}
}

func (r *Replica) apply(e consensus.Entry) {
	var result []byte
	if e.Kind == consensus.EntryCommand {
		result = r.cfg.Machine.Apply(e.Index, e.Command)
	}
	r.applied = e.Index
	r.appliedBytes += e.Size()
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	w.finish(e.Term, result)
}

// compact takes a snapshot when enough has been applied since the last one.
func (r *Replica) compact() error {
	if r.appliedBytes < r.cfg.SnapshotBytes {
		return nil
	}
	data, err := r.cfg.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("replica: snapshot at %d: %w", r.applied, err)
	}
	r.core.Compact(r.applied, data)
	r.appliedBytes = 0
	metrics.Add("snapshots_taken", 1)
	return nil
}

func (r *Replica) publish() {
	s := &Status{Status: r.core.Status(), Applied: r.applied}
	s.LeaderAddr = r.addrOf(s.Leader)
	r.status.Store(s)
}
