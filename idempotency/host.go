package idempotency

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/consensus/volatile"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Timing of groups. A failed leader is replaced within about a second.
const (
	DefaultTickInterval   = 25 * time.Millisecond
	DefaultElectionTicks  = 20
	DefaultHeartbeatTicks = 4
)

const (
	// serveTimeout bounds the wait for a majority. It is shorter than the client's callTimeout, so
	// that only a silent link causes that timeout.
	serveTimeout = 250 * time.Millisecond
	// reconcileInterval is the interval at which replicas are compared with the configuration.
	reconcileInterval = 250 * time.Millisecond
	// changeTimeout bounds one try of a membership change.
	changeTimeout = 5 * time.Second
	// A replica that the configuration dropped counts for the majority until the group has replaced
	// it. It is stopped once it has known no leader for leaderlessTimeout, and in any case
	// droppedTimeout after it was dropped.
	leaderlessTimeout = 5 * time.Second
	droppedTimeout    = 2 * time.Minute
)

var metrics = expvar.NewMap("idempotency")

// GroupTransport carries the consensus messages of many groups. Members' addresses are node IDs.
// *replica.LinkTransport implements it.
type GroupTransport interface {
	replica.Transport
	Register(group string, r replica.Receiver)
	Unregister(group string)
}

// HostConfig configures a host. Zero fields that have a default take it.
type HostConfig struct {
	Node fleet.NodeID
	// Incarnation is the incarnation of the node when this process started. Replicas that were
	// assigned to an earlier incarnation have lost their state and are never run again.
	Incarnation uint64
	Transport   GroupTransport
	// Forward sends a call on to another node, for nodes that cannot reach that node. If it is nil,
	// such calls are served by this host.
	Forward func(ctx context.Context, node fleet.NodeID, c GroupCall) (GroupReply, error)
	// NewLedger returns an empty state machine that shares the group. If it is nil, groups have no
	// ledger.
	NewLedger func(group string) consensus.StateMachine
	// Table returns the limits of the table of a group at an epoch.
	Table func(epoch uint64) TableConfig
	// Core sets the timing of the groups.
	Core         consensus.Config
	TickInterval time.Duration
	Now          func() time.Time
	Log          *slog.Logger
}

func (c HostConfig) withDefaults() HostConfig {
	if c.Table == nil {
		c.Table = DefaultTableConfig
	}
	if c.Core.ElectionTicks == 0 {
		c.Core.ElectionTicks, c.Core.HeartbeatTicks = DefaultElectionTicks, DefaultHeartbeatTicks
	}
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	return c
}

// Host runs the replicas that the configuration assigns to this node.
type Host struct {
	cfg    HostConfig
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	tasks  sync.WaitGroup

	mu     sync.Mutex
	groups map[string]*resource.Group
	hosted map[string]*hostedReplica
	// retired holds replicas that ran in this process and must not run again, since their state was
	// only in memory and is lost.
	retired map[replicaName]bool
}

type replicaName struct {
	group string
	epoch uint64
	id    uint64
}

// hostedReplica is a running replica of a group.
type hostedReplica struct {
	name         replicaName
	replica      *replica.Replica
	machine      *machine
	droppedAt    time.Time // when the configuration dropped the replica; zero if it has not
	leaderSeenAt time.Time // when a leader was last known
	changing     bool      // a membership change is in progress
}

// NewHost starts a host without groups.
func NewHost(cfg HostConfig) *Host {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		cfg: cfg, log: cfg.Log, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		hosted: map[string]*hostedReplica{}, retired: map[replicaName]bool{},
	}
	h.tasks.Go(h.run)
	return h
}

// SetGroups sets the groups of the current configuration. The map must not be modified afterwards.
func (h *Host) SetGroups(groups map[string]*resource.Group) {
	h.mu.Lock()
	h.groups = groups
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Stop stops all replicas. Their state is lost.
func (h *Host) Stop() {
	h.cancel()
	h.tasks.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.hosted {
		h.stop(r)
	}
}

// ReplicaStatus is the status of one replica, for operators.
type ReplicaStatus struct {
	Group string
	Epoch uint64
	replica.Status
}

// Statuses returns the statuses of the replicas on this node.
func (h *Host) Statuses() []ReplicaStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ReplicaStatus
	for _, r := range h.hosted {
		out = append(out, ReplicaStatus{r.name.group, r.name.epoch, r.replica.Status()})
	}
	return out
}

func (h *Host) run() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wake:
		case <-ticker.C:
		}
		h.reconcile()
	}
}

func (h *Host) reconcile() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.hosted {
		if h.shouldStop(r) {
			h.stop(r)
		}
	}
	for _, g := range h.groups {
		h.startAssigned(g)
	}
	for _, r := range h.hosted {
		h.advanceMembership(r)
	}
}

// shouldStop reports whether a replica is to be stopped.
func (h *Host) shouldStop(r *hostedReplica) bool {
	g := h.groups[r.name.group]
	if g == nil || g.Epoch != r.name.epoch {
		return true
	}
	now := h.cfg.Now()
	st := r.replica.Status()
	if st.Leader != 0 {
		r.leaderSeenAt = now
	}
	assigned := slices.ContainsFunc(g.Members, func(m resource.GroupMember) bool { return m.Replica == r.name.id })
	switch {
	case assigned:
		r.droppedAt = time.Time{}
		return false
	case r.droppedAt.IsZero():
		r.droppedAt, r.leaderSeenAt = now, now
		return false
	}
	return now.Sub(r.leaderSeenAt) > leaderlessTimeout || now.Sub(r.droppedAt) > droppedTimeout
}

// stop stops a replica permanently.
func (h *Host) stop(r *hostedReplica) {
	h.cfg.Transport.Unregister(r.name.wireName())
	if err := r.replica.Stop(); err != nil {
		h.log.Error("replica stopped with an error", "group", r.name.group, "error", err)
	}
	h.retired[r.name] = true
	delete(h.hosted, r.name.group)
	metrics.Add("replicas", -1)
}

// wireName returns the group's name in consensus messages. It contains the epoch, so that replicas
// of different epochs do not receive each other's messages.
func (n replicaName) wireName() string { return fmt.Sprintf("%s/%d", n.group, n.epoch) }

// startAssigned starts the replica of g that is assigned to this incarnation of the node.
func (h *Host) startAssigned(g *resource.Group) {
	for _, m := range g.Members {
		name := replicaName{g.Name, g.Epoch, m.Replica}
		if m.Node != string(h.cfg.Node) || m.Incarnation < h.cfg.Incarnation || h.retired[name] {
			continue
		}
		if r := h.hosted[g.Name]; r != nil {
			if r.name.id >= m.Replica {
				continue
			}
			h.stop(r)
		}
		if err := h.start(name, founders(g)); err != nil {
			h.log.Error("cannot start replica", "group", g.Name, "error", err)
		}
	}
}

// founders returns the first membership of a group's epoch, or nil if it is no longer known. A
// voter that starts without it receives the log from a leader.
func founders(g *resource.Group) consensus.Membership {
	var out consensus.Membership
	for _, id := range g.Founders {
		out = append(out, consensus.Member{ID: consensus.ReplicaID(id), Voter: true})
	}
	if len(out) == 0 && g.Generation <= 1 && g.Epoch <= 1 {
		for _, m := range g.Members {
			if !m.Joining {
				out = append(out, consensus.Member{ID: consensus.ReplicaID(m.Replica), Voter: true})
			}
		}
	}
	for i, f := range out {
		for _, m := range g.Members {
			if consensus.ReplicaID(m.Replica) == f.ID {
				out[i].Addr = m.Node
			}
		}
	}
	slices.SortFunc(out, func(a, b consensus.Member) int { return int(a.ID) - int(b.ID) })
	return out
}

func (h *Host) start(name replicaName, founders consensus.Membership) error {
	m := &machine{table: NewTable(h.cfg.Table(name.epoch))}
	if h.cfg.NewLedger != nil {
		m.ledger = h.cfg.NewLedger(name.group)
	}
	id := consensus.ReplicaID(name.id)
	if !founders.IsVoter(id) {
		founders = nil
	}
	core := h.cfg.Core
	core.Seed = name.id ^ uint64(h.cfg.Now().UnixNano())
	r, err := replica.Start(replica.Config{
		Group: name.wireName(), Core: core, Addr: string(h.cfg.Node), Founders: founders,
		Store: volatile.New(id), Machine: m, Transport: h.cfg.Transport,
		TickInterval: h.cfg.TickInterval, Log: h.log,
	})
	if err != nil {
		return err
	}
	h.hosted[name.group] = &hostedReplica{name: name, replica: r, machine: m, leaderSeenAt: h.cfg.Now()}
	h.cfg.Transport.Register(name.wireName(), r)
	metrics.Add("replicas", 1)
	return nil
}

// Handle serves a stream that begins with wire.FrameGroupCall. It is registered with link.Mux.
func (h *Host) Handle(ctx context.Context, s link.Stream, first link.Frame) {
	defer context.AfterFunc(ctx, s.Reset)()
	var c GroupCall
	s.SetReadDeadline(time.Now().Add(readTimeout))
	if err := readSized(s, first, wire.FrameGroupCall, &c); err != nil {
		h.log.Warn("cannot read group call", "peer", s.PeerName(), "error", err)
		s.Reset()
		return
	}
	reply, err := h.serveOrForward(ctx, c)
	if err != nil {
		s.Reset()
		return
	}
	if err := writeSized(s, wire.FrameGroupResult, reply); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

// serveOrForward serves a call, or forwards it if it is for another node.
func (h *Host) serveOrForward(ctx context.Context, c GroupCall) (GroupReply, error) {
	if c.To == "" || c.To == h.cfg.Node || h.cfg.Forward == nil {
		return h.Serve(ctx, c), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	to := c.To
	c.To = ""
	return h.cfg.Forward(ctx, to, c)
}

// Serve has a call committed by the group, if this node leads it.
func (h *Host) Serve(ctx context.Context, c GroupCall) GroupReply {
	h.mu.Lock()
	r := h.hosted[c.Group]
	h.mu.Unlock()
	if r == nil || r.name.epoch != c.Epoch {
		return GroupReply{Refusal: RefusedNoReplica}
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if c.Ledger != nil {
		b, err := r.replica.Propose(ctx, append([]byte{partLedger}, c.Ledger...))
		return GroupReply{Refusal: refusalOf(err), Leader: r.leaderNode(err), Ledger: b}
	}
	b, err := r.proposeOps(ctx, Command{h.cfg.Now().UnixMilli(), c.Ops})
	if err != nil {
		return GroupReply{Refusal: refusalOf(err), Leader: r.leaderNode(err)}
	}
	var results []Result
	if err := wire.Decode(b, &results); err != nil {
		h.log.Error("cannot decode the results of a table command", "group", c.Group, "error", err)
		return GroupReply{Refusal: RefusedUnknown}
	}
	return GroupReply{Results: results}
}

func (r *hostedReplica) proposeOps(ctx context.Context, c Command) ([]byte, error) {
	b, err := wire.Encode(c)
	if err != nil {
		return nil, err
	}
	return r.replica.Propose(ctx, append([]byte{partTable}, b...))
}

// leaderNode returns the leader's node if err names a leader other than this replica, or "".
func (r *hostedReplica) leaderNode(err error) fleet.NodeID {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != consensus.ReplicaID(r.name.id) {
		return fleet.NodeID(notLeader.Addr)
	}
	return ""
}

func refusalOf(err error) Refusal {
	var unknown *replica.OutcomeUnknownError
	switch {
	case err == nil:
		return NotRefused
	case errors.As(err, &unknown):
		return RefusedUnknown
	case errors.Is(err, consensus.ErrNotLeader):
		return RefusedNotLeader
	case errors.Is(err, replica.ErrStopped):
		return RefusedNoReplica
	default:
		return RefusedBusy
	}
}
