// Package replica runs a replica of a consensus group. One goroutine drives the core, stores its
// batches, sends its messages and applies its committed entries. Proposals that arrive while a batch
// is being stored form the next batch.
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

// Transport sends messages to other replicas. Send must not block and may drop messages.
type Transport interface {
	Send(m consensus.Message)
}

// Defaults of Config.
const (
	DefaultTickInterval  = 100 * time.Millisecond
	DefaultSnapshotBytes = 1 << 20
)

const (
	// inboxSize is the maximum number of queued received messages. Further ones are dropped.
	inboxSize = 4096
	// queueSize is the capacity of each of the queues of proposals, reads and membership changes.
	// Callers block while a queue is full.
	queueSize = 1024
	// maxEventsPerRound bounds the events that are collected after the first one before the core's
	// work is done.
	maxEventsPerRound = 1024
)

// metrics counts events of all replicas in the process.
var metrics = expvar.NewMap("consensus")

// Config configures a replica. Zero fields take their defaults where there is one.
type Config struct {
	// Group is the name of the group, which every message carries.
	Group string
	// Core configures timing and limits. Its ID is taken from the store.
	Core consensus.Config
	// Addr is the address at which other replicas reach this one.
	Addr string
	// Founders is the initial membership of a new group. It is used only if the store is blank, and
	// must then be the same at all founders. Without founders, a blank replica waits until a leader
	// adds it.
	Founders     consensus.Membership
	Store        consensus.Store // closed when the replica stops
	Machine      consensus.StateMachine
	Transport    Transport
	TickInterval time.Duration
	// SnapshotBytes is the total size of applied entries after which a snapshot is taken.
	SnapshotBytes int
	Log           *slog.Logger
}

// Status is a snapshot of a running replica's state.
type Status struct {
	consensus.Status
	Applied    uint64
	LeaderAddr string // empty: unknown
}

// Replica is a running replica of a group.
type Replica struct {
	cfg  Config
	core *consensus.Core
	log  *slog.Logger

	inbox     chan consensus.Message
	proposals chan *proposal
	reads     chan *readRequest
	changes   chan *changeRequest
	stop      chan struct{}
	stopOnce  sync.Once
	done      chan struct{}
	err       error // set before done is closed
	status    atomic.Pointer[Status]

	// The fields below belong to the runner goroutine.

	// addrs holds the addresses that replicas gave in their messages. The new address of a replica
	// that has moved is known here before it is in the membership.
	addrs          map[consensus.ReplicaID]string
	newProposals   []*proposal // to be proposed in this round
	waitersByIndex map[uint64]waiter
	readsBySeq     map[uint64][]*readRequest
	newReads       []*readRequest
	pendingChanges []*changeRequest
	applied        uint64
	appliedBytes   int
	role           consensus.Role
	term           uint64
}

// waiter is the proposal or membership change that waits for the entry at an index. term is the term
// in which it was proposed.
type waiter struct {
	term     uint64
	proposal *proposal
	change   *changeRequest
}

// Start restores the state machine from the store and starts the replica.
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
		cfg:            cfg,
		core:           core,
		log:            cfg.Log.With("group", cfg.Group, "replica", stored.ID.String()),
		inbox:          make(chan consensus.Message, inboxSize),
		proposals:      make(chan *proposal, queueSize),
		reads:          make(chan *readRequest, queueSize),
		changes:        make(chan *changeRequest, queueSize),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
		addrs:          map[consensus.ReplicaID]string{stored.ID: cfg.Addr},
		waitersByIndex: map[uint64]waiter{},
		readsBySeq:     map[uint64][]*readRequest{},
		applied:        stored.Snapshot.Index,
		term:           stored.Hard.Term,
	}
	r.publishStatus()
	go r.run()
	return r, nil
}

// load reads the stored state and restores the state machine from it. If the store is blank and the
// configuration has founders, it stores and returns the initial state of a founder instead.
func load(cfg Config) (consensus.Stored, error) {
	stored, err := cfg.Store.Load()
	if err != nil {
		return stored, fmt.Errorf("replica: group %s: %w", cfg.Group, err)
	}
	if stored.Blank() && len(cfg.Founders) > 0 {
		return bootstrapGroup(cfg, stored.ID)
	}
	if stored.Snapshot.Index == 0 {
		return stored, nil
	}
	if err := cfg.Machine.Restore(stored.Snapshot.Data); err != nil {
		return stored, fmt.Errorf("replica: group %s: restore snapshot at %d: %w", cfg.Group, stored.Snapshot.Index, err)
	}
	return stored, nil
}

// bootstrapGroup stores and returns the initial state of a founder.
func bootstrapGroup(cfg Config, id consensus.ReplicaID) (consensus.Stored, error) {
	data, err := cfg.Machine.Snapshot()
	if err != nil {
		return consensus.Stored{}, fmt.Errorf("replica: group %s: initial snapshot: %w", cfg.Group, err)
	}
	stored := consensus.FounderState(id, cfg.Founders, data)
	err = cfg.Store.Save(consensus.Batch{Hard: &stored.Hard, Snapshot: &stored.Snapshot, ResetEntries: true})
	if err != nil {
		return consensus.Stored{}, fmt.Errorf("replica: group %s: %w", cfg.Group, err)
	}
	return stored, nil
}

// Receive queues a message from the transport, or drops it if the queue is full. It never blocks.
func (r *Replica) Receive(m consensus.Message) {
	select {
	case r.inbox <- m:
	default:
		metrics.Add("inbox_dropped", 1)
	}
}

// Status returns the replica's state as of the last completed round.
func (r *Replica) Status() Status { return *r.status.Load() }

// Leader returns the leader's id and address. ok is false if no leader is known.
func (r *Replica) Leader() (id consensus.ReplicaID, addr string, ok bool) {
	s := r.status.Load()
	return s.Leader, s.LeaderAddr, s.Leader != 0
}

// Stop stops the replica and closes its store. Pending calls return an OutcomeUnknownError or
// ErrStopped.
func (r *Replica) Stop() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.err
}

// Done returns a channel that is closed when the replica has stopped, because of Stop or because its
// state machine failed.
func (r *Replica) Done() <-chan struct{} { return r.done }

func (r *Replica) run() {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	var err error
	for err == nil && r.collectEvents(ticker.C) {
		r.submit()
		err = r.runRounds()
		r.publishStatus()
	}
	if errors.Is(err, errStopRequested) {
		err = nil
	}
	if err != nil {
		r.log.Error("replica stops after a failure", "error", err)
	}
	// A stopped replica must not be reported as leader.
	r.publishLeaderless()
	r.err = errors.Join(err, r.cfg.Store.Close())
	r.failWaiters(ErrStopped)
	r.failQueued()
	close(r.done)
}

// collectEvents waits for an event and collects the further events that are already queued. It
// reports false if the replica must stop.
func (r *Replica) collectEvents(ticks <-chan time.Time) bool {
	select {
	case <-r.stop:
		return false
	case <-ticks:
		r.tick()
	case m := <-r.inbox:
		r.step(m)
	case p := <-r.proposals:
		r.newProposals = append(r.newProposals, p)
	case rd := <-r.reads:
		r.newReads = append(r.newReads, rd)
	case c := <-r.changes:
		r.pendingChanges = append(r.pendingChanges, c)
	}
	for range maxEventsPerRound {
		select {
		case m := <-r.inbox:
			r.step(m)
		case p := <-r.proposals:
			r.newProposals = append(r.newProposals, p)
		case rd := <-r.reads:
			r.newReads = append(r.newReads, rd)
		case c := <-r.changes:
			r.pendingChanges = append(r.pendingChanges, c)
		default:
			return true
		}
	}
	return true
}

func (r *Replica) tick() {
	r.core.Tick()
	r.handleRoleChange()
}

func (r *Replica) step(m consensus.Message) {
	if m.FromAddr != "" {
		r.addrs[m.From] = m.FromAddr
	}
	r.core.Step(m)
	r.handleRoleChange()
}

// handleRoleChange logs and counts the start and the end of this replica's leadership, and fails the
// requests that are pending when a leadership ends.
func (r *Replica) handleRoleChange() {
	role, term := r.core.Role()
	if role == r.role && term == r.term {
		return
	}
	if r.role == consensus.Leader {
		metrics.Add("leaderships_lost", 1)
		r.log.Info("lost leadership", "term", r.term)
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

// addrOf returns the last known address of a replica, or "" if none is known.
func (r *Replica) addrOf(id consensus.ReplicaID) string {
	if addr := r.addrs[id]; addr != "" {
		return addr
	}
	m, _ := r.core.Membership().Find(id)
	return m.Addr
}

// runRounds runs rounds until the core has no more work.
func (r *Replica) runRounds() error {
	for {
		r.completeChanges()
		rd := r.core.Ready()
		if rd.Empty() {
			r.core.Advance()
			return nil
		}
		if err := r.runRound(rd); err != nil {
			return err
		}
		r.core.Advance()
		r.handleRoleChange()
		if err := r.compact(); err != nil {
			return err
		}
	}
}

func (r *Replica) runRound(rd consensus.Ready) error {
	r.send(rd.EarlyMessages)
	if rd.Sync {
		if err := r.save(rd.Batch); err != nil {
			return err
		}
	}
	r.send(rd.Messages)
	if rd.InstallSnapshot {
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
		for _, request := range r.readsBySeq[c.Seq] {
			request.result <- nil
		}
		delete(r.readsBySeq, c.Seq)
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
	w, ok := r.waitersByIndex[e.Index]
	if !ok {
		return
	}
	delete(r.waitersByIndex, e.Index)
	w.complete(e.Term, result)
}

// compact takes a snapshot if at least Config.SnapshotBytes have been applied since the last one.
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

func (r *Replica) publishStatus() {
	s := &Status{Status: r.core.Status(), Applied: r.applied}
	s.LeaderAddr = r.addrOf(s.Leader)
	r.status.Store(s)
}
