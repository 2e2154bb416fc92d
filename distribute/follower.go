package distribute

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Membership is the part of fleet membership that a follower uses. gossip.Gossip implements it.
type Membership interface {
	Members() []fleet.Node
	// Subscribe calls f for each node that changes.
	Subscribe(f func(fleet.Node))
	// SetConfig announces the version of the configuration at this node.
	SetConfig(v resource.Version)
}

// Follower keeps the Holder of a node up to date.
type Follower struct {
	cfg     Config
	holder  *Holder
	members Membership
	peers   *peers
	log     *slog.Logger

	nodeDialer             link.Dialer
	controlDialer          link.Dialer
	configuredControlAddrs []string

	server *Server
	wake   chan struct{} // signals that a peer may have a newer version
	ready  chan struct{}

	// watchUntil is the time until which the node watches control because other nodes called it to, in
	// Unix nanoseconds.
	watchUntil atomic.Int64
	// connected says that a control replica that is not behind answers a watch of this node.
	connected atomic.Bool
	stats     followerCounters
	lag       lag

	confirmations confirmations
	proofs        *proofs
}

type followerCounters struct {
	pulls, pullsFailed, remotePulls, watches, watchesFailed, calls, polls atomic.Uint64
	applied, appliedFromControl                                           atomic.Uint64
}

// Dialers opens streams for a follower.
type Dialers struct {
	Nodes   link.Dialer // expects nodes at the other end
	Control link.Dialer // expects control at the other end
	// ControlAddrs holds link addresses of control, in addition to those that membership knows.
	ControlAddrs []string
}

// NewFollower returns a follower that keeps h up to date at the node self, of which only ID, Region and
// FailureDomain are used. The handlers of its Server have to be registered.
func NewFollower(cfg Config, self fleet.Node, h *Holder, m Membership, d Dialers, log *slog.Logger) *Follower {
	cfg.setDefaults()
	f := &Follower{
		cfg: cfg, holder: h, members: m, peers: newPeers(self),
		log:        logging.Part(log, "distribute"),
		nodeDialer: d.Nodes, controlDialer: d.Control, configuredControlAddrs: d.ControlAddrs,
		server: NewServer(cfg, h, log),
		wake:   make(chan struct{}, 1),
		ready:  make(chan struct{}),
	}
	f.proofs = newProofs(cfg)
	f.server.onCall, f.server.prove = f.watchOnCall, f.proofs.newestProof
	m.Subscribe(f.memberChanged)
	for _, n := range m.Members() {
		f.peers.update(n)
	}
	h.Subscribe(func(s *resource.Set) { m.SetConfig(s.Version()) })
	m.SetConfig(h.Version())
	return f
}

// Server returns the server of the node's Holder. Its handlers must be registered so that other nodes
// can pull from this one.
func (f *Follower) Server() *Server { return f.server }

// Ready returns a channel that is closed when the initial catch-up has ended: the node has asked peers
// and control for their versions, or found none to ask, and holds the newest if it could be pulled.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run keeps the Holder up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.runFeeding(ctx) })
	tasks.Go(func() {
		f.catchUp(ctx)
		close(f.ready)
		f.runPulls(ctx)
	})
	tasks.Go(func() { f.runPolls(ctx) })
	tasks.Go(func() { f.reportLease(ctx) })
	tasks.Wait()
}

func (f *Follower) memberChanged(n fleet.Node) {
	f.peers.update(n)
	if f.holder.Version().Less(n.ConfigVersion) {
		f.lag.learned(time.Now())
		f.wakeUp()
	}
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// apply applies a delta from source, a node or a control address. A stale one is not an error: the
// same change can arrive on two paths.
func (f *Follower) apply(d *resource.Delta, source string) error {
	if d == nil {
		return nil
	}
	err := f.holder.Offer(*d)
	if errors.Is(err, resource.ErrStale) {
		return nil
	}
	if err == nil {
		f.stats.applied.Add(1)
		v := f.holder.Version()
		f.lag.applied(f.log, time.Now(), v, source, !v.Less(f.peers.newestVersion()))
	}
	return err
}

// catchUp asks several peers and control for their versions, and pulls the newest.
func (f *Follower) catchUp(ctx context.Context) {
	f.askPeersAndControl(ctx)
	for f.holder.Version().Less(f.peers.newestVersion()) {
		// If a pull fails here, runPulls retries it.
		if !f.pullOnce(ctx) {
			return
		}
	}
}

// askPeersAndControl records the versions of random peers, and pulls from control.
func (f *Follower) askPeersAndControl(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.StartTimeout)
	defer cancel()
	for len(f.peers.pickRandom(1)) == 0 && sleep(ctx, f.cfg.StartTimeout/100) {
	}
	var queries sync.WaitGroup
	for _, p := range f.peers.pickRandom(f.cfg.StartPeers) {
		queries.Go(func() {
			reply, err := pull(ctx, f.nodeDialer, p.addr, request{VersionOnly: true}, f.cfg.StartTimeout)
			if err == nil {
				f.peers.recordVersion(p, reply.version)
			}
		})
	}
	queries.Go(func() { f.pullFromControl(ctx) })
	queries.Wait()
}

// controlAddrs returns the link addresses of control: the configured ones, and those of the control
// VMs that membership knows.
func (f *Follower) controlAddrs() []string { return f.peers.controlAddrs(f.configuredControlAddrs) }

// pullFromControl pulls from one random control replica.
func (f *Follower) pullFromControl(ctx context.Context) {
	addrs := f.controlAddrs()
	if len(addrs) == 0 {
		return
	}
	addr := addrs[rand.IntN(len(addrs))]
	reply, err := pull(ctx, f.controlDialer, addr, request{Since: f.holder.Version()}, f.cfg.FrameTimeout)
	if err == nil {
		err = f.apply(reply.delta, addr)
	}
	if err != nil {
		f.log.Debug("failed to pull from control", "addr", addr, "err", err)
	}
}

// runPulls pulls whenever a peer has a newer version, one pull at a time.
func (f *Follower) runPulls(ctx context.Context) {
	backoff := newBackoff(f.cfg)
	for {
		if !f.holder.Version().Less(f.peers.newestVersion()) {
			backoff.reset()
			select {
			case <-ctx.Done():
				return
			case <-f.wake:
				continue
			}
		}
		if !sleep(ctx, rand.N(f.cfg.PullJitter)) {
			return
		}
		if f.pullOnce(ctx) {
			backoff.reset()
			continue
		}
		if !f.waitForUpdate(ctx, backoff.next()) {
			return
		}
	}
}

// waitForUpdate waits for a newer version in membership, for d at most. It returns false if ctx has
// ended.
func (f *Follower) waitForUpdate(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.wake:
	case <-timer.C:
	}
	return true
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backoff returns delays that double each time, with jitter.
type backoff struct {
	low, high, current time.Duration
}

func newBackoff(c Config) *backoff { return &backoff{c.BackoffMin, c.BackoffMax, c.BackoffMin} }

func (b *backoff) reset() { b.current = b.low }

func (b *backoff) next() time.Duration {
	d := b.current
	b.current = min(2*b.current, b.high)
	return d/2 + rand.N(d)
}

// Stats holds the counters of a follower since its start, and its state.
type Stats struct {
	Version     string `json:"version"`
	Pulls       uint64 `json:"pulls"`
	PullsFailed uint64 `json:"pullsFailed"`
	RemotePulls uint64 `json:"remotePulls"` // from other regions
	Polls       uint64 `json:"polls"`       // polls of the version of control
	// Watches counts the watches of control that were started, WatchesFailed those that got no answer
	// or broke.
	Watches       uint64 `json:"watches"`
	WatchesFailed uint64 `json:"watchesFailed"`
	Connected     bool   `json:"connected"` // control answers a watch of this node
	Calls         uint64 `json:"calls"`     // calls to other nodes to watch control
	Applied       uint64 `json:"applied"`
	// AppliedFromControl counts the applied deltas that arrived on a watch.
	AppliedFromControl uint64 `json:"appliedFromControl"`
	Served             int64  `json:"served"` // pulls that this node served
	Watchers           int64  `json:"watchers"`
	DeltaBytesSent     uint64 `json:"deltaBytesSent"`
	// ProofsFromControl and ProofsFromNodes count the proofs that extended the lease, and LeasesExpired how often
	// it ran out.
	ProofsFromControl uint64 `json:"proofsFromControl"`
	ProofsFromNodes   uint64 `json:"proofsFromNodes"`
	LeasesExpired     uint64 `json:"leasesExpired"`
	// LeaseLeftMs is the time for which the lease still holds; 0 if it has run out or none is needed.
	LeaseLeftMs int64 `json:"leaseLeftMs"`
}

// Stats returns the current values.
func (f *Follower) Stats() Stats {
	n := &f.stats
	return Stats{
		Version: f.holder.Version().String(), Pulls: n.pulls.Load(), PullsFailed: n.pullsFailed.Load(),
		RemotePulls: n.remotePulls.Load(), Polls: n.polls.Load(), Watches: n.watches.Load(),
		WatchesFailed: n.watchesFailed.Load(), Connected: f.connected.Load(), Calls: n.calls.Load(),
		Applied: n.applied.Load(), AppliedFromControl: n.appliedFromControl.Load(),
		Served: f.server.served.Load(), Watchers: f.server.watchers.Load(),
		DeltaBytesSent: f.server.bytesSent.Load(), ProofsFromControl: f.proofs.fromControl.Load(),
		ProofsFromNodes: f.proofs.fromNodes.Load(), LeasesExpired: f.proofs.expired.Load(),
		LeaseLeftMs: f.proofs.remaining(f.holder.Version()).Milliseconds(),
	}
}
