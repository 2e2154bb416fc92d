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

// Membership is what a follower needs of membership. gossip.Gossip implements
// it.
type Membership interface {
	Members() []fleet.Node
	// Subscribe calls f for each node that changes.
	Subscribe(f func(fleet.Node))
	// SetConfig announces the version in force at this node.
	SetConfig(v resource.Version)
}

// Follower keeps a node's holder up to date.
type Follower struct {
	cfg     Config
	holder  *Holder
	members Membership
	peers   *peers
	log     *slog.Logger

	nodes        link.Dialer
	control      link.Dialer
	controlAddrs []string

	server *Server
	wake   chan struct{} // a peer may have a newer version
	ready  chan struct{}

	// calledUntil is until when the node watches control because others called
	// it to, in Unix nanoseconds.
	calledUntil atomic.Int64
	// connected says that control answers a watch of this node.
	connected atomic.Bool
	stats     followerCounters
}

type followerCounters struct {
	pulls, pullsFailed, remotePulls, watches, watchesFailed, calls, polls atomic.Uint64
	applied, appliedFromControl                                           atomic.Uint64
}

// Dialers opens streams for a follower.
type Dialers struct {
	Nodes   link.Dialer // expects nodes
	Control link.Dialer // expects control
	// ControlAddrs are link addresses of control, beside those that membership
	// knows.
	ControlAddrs []string
}

// NewFollower returns a follower that keeps h up to date at the node self, of
// which ID, Region and FailureDomain are read. Its Server method returns the
// handlers to register.
func NewFollower(cfg Config, self fleet.Node, h *Holder, m Membership, d Dialers, log *slog.Logger) *Follower {
	cfg.setDefaults()
	f := &Follower{
		cfg: cfg, holder: h, members: m, peers: newPeers(self),
		log:   logging.Part(log, "distribute"),
		nodes: d.Nodes, control: d.Control, controlAddrs: d.ControlAddrs,
		server: NewServer(cfg, h, log),
		wake:   make(chan struct{}, 1),
		ready:  make(chan struct{}),
	}
	f.server.called = f.called
	m.Subscribe(f.memberChanged)
	for _, n := range m.Members() {
		f.peers.update(n)
	}
	h.Subscribe(func(s *resource.Set) { m.SetConfig(s.Version()) })
	m.SetConfig(h.Version())
	return f
}

// Server returns the server of the node's holder. Its handlers must be
// registered for others to follow this node.
func (f *Follower) Server() *Server { return f.server }

// Ready is closed once the node has asked its peers and control for their
// versions and holds the newest of them, or found nobody to ask.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { f.runFeeding(ctx) })
	tasks.Go(func() {
		f.start(ctx)
		close(f.ready)
		f.runPulls(ctx)
	})
	tasks.Go(func() { f.runPolls(ctx) })
	tasks.Wait()
}

func (f *Follower) memberChanged(n fleet.Node) {
	f.peers.update(n)
	if f.holder.Version().Less(n.Config) {
		f.wakeUp()
	}
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// offer takes a delta. A stale one is no error: it came by two ways.
func (f *Follower) offer(d *resource.Delta) error {
	if d == nil {
		return nil
	}
	err := f.holder.Offer(*d)
	if errors.Is(err, resource.ErrStale) {
		return nil
	}
	if err == nil {
		f.stats.applied.Add(1)
	}
	return err
}

// start asks several peers and control for their versions, and takes the
// newest.
func (f *Follower) start(ctx context.Context) {
	f.askAround(ctx)
	for f.holder.Version().Less(f.peers.newest()) {
		// The loop of pulls repeats what fails here.
		if !f.pullOnce(ctx) {
			return
		}
	}
}

func (f *Follower) askAround(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.StartWait)
	defer cancel()
	for len(f.peers.random(1)) == 0 && sleep(ctx, f.cfg.StartWait/100) {
	}
	var asked sync.WaitGroup
	for _, p := range f.peers.random(f.cfg.StartPeers) {
		asked.Go(func() {
			a, err := pull(ctx, f.nodes, p.addr, request{VersionOnly: true}, f.cfg.StartWait)
			if err == nil {
				f.peers.answered(p, a.version)
			}
		})
	}
	asked.Go(func() { f.askControl(ctx) })
	asked.Wait()
}

// controls returns the link addresses of control: those of the settings, and
// those of control VMs that membership knows.
func (f *Follower) controls() []string { return f.peers.controlAddrs(f.controlAddrs) }

// askControl pulls from one control.
func (f *Follower) askControl(ctx context.Context) {
	controls := f.controls()
	if len(controls) == 0 {
		return
	}
	addr := controls[rand.IntN(len(controls))]
	a, err := pull(ctx, f.control, addr, request{Since: f.holder.Version()}, f.cfg.FrameTimeout)
	if err == nil {
		err = f.offer(a.delta)
	}
	if err != nil {
		f.log.Debug("control was not asked", "addr", addr, "err", err)
	}
}

// runPolls asks control now and then, whoever watches it.
func (f *Follower) runPolls(ctx context.Context) {
	for sleep(ctx, f.cfg.PollInterval/2+rand.N(f.cfg.PollInterval)) {
		if f.connected.Load() {
			continue
		}
		f.stats.polls.Add(1)
		f.askControl(ctx)
	}
}

// runPulls pulls, one at a time, whenever a peer has a newer version.
func (f *Follower) runPulls(ctx context.Context) {
	backoff := newBackoff(f.cfg)
	for {
		if !f.holder.Version().Less(f.peers.newest()) {
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
		if !f.waitForSource(ctx, backoff.next()) {
			return
		}
	}
}

// waitForSource waits for news from membership, for d at most.
func (f *Follower) waitForSource(ctx context.Context, d time.Duration) bool {
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

// pullOnce pulls from a peer that has a newer version and reports whether the
// node's own version rose.
func (f *Follower) pullOnce(ctx context.Context) bool {
	since := f.holder.Version()
	p, ok := f.peers.source(time.Now(), since, false)
	if !ok {
		if p, ok = f.remoteSource(ctx, since); !ok {
			return since.Less(f.holder.Version())
		}
	}
	f.stats.pulls.Add(1)
	a, err := pull(ctx, f.nodes, p.addr, request{Since: since}, f.cfg.FrameTimeout)
	if err == nil {
		err = f.offer(a.delta)
	}
	if err != nil {
		f.stats.pullsFailed.Add(1)
		f.log.Debug("pull failed", "node", p.id, "err", err)
		f.peers.failed(p.id, time.Now().Add(f.cfg.BackoffMax))
		return since.Less(f.holder.Version())
	}
	f.peers.answered(p, a.version)
	return since.Less(f.holder.Version())
}

// remoteSource returns a peer of another region once the own region has had
// time to get the new version by itself.
func (f *Follower) remoteSource(ctx context.Context, since resource.Version) (peer, bool) {
	if _, ok := f.peers.source(time.Now(), since, true); !ok {
		return peer{}, false
	}
	// Half to one and a half of the delay: the first to pull serves the rest.
	end := time.Now().Add(f.cfg.RemoteDelay/2 + rand.N(f.cfg.RemoteDelay))
	for left := time.Until(end); left > 0; left = time.Until(end) {
		if !f.waitForSource(ctx, left) || since.Less(f.holder.Version()) {
			return peer{}, false
		}
		if p, ok := f.peers.source(time.Now(), since, false); ok {
			return p, true
		}
	}
	f.stats.remotePulls.Add(1)
	return f.peers.source(time.Now(), since, true)
}

// sleep waits for d and reports whether ctx is still on.
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

// backoff gives waits that double, with jitter.
type backoff struct {
	low, high, now time.Duration
}

func newBackoff(c Config) *backoff { return &backoff{c.BackoffMin, c.BackoffMax, c.BackoffMin} }

func (b *backoff) reset() { b.now = b.low }

func (b *backoff) next() time.Duration {
	d := b.now
	b.now = min(2*b.now, b.high)
	return d/2 + rand.N(d)
}

// Stats is a snapshot of what a follower did since it started.
type Stats struct {
	Version     string `json:"version"`
	Pulls       uint64 `json:"pulls"`
	PullsFailed uint64 `json:"pullsFailed"`
	RemotePulls uint64 `json:"remotePulls"` // from other regions
	Polls       uint64 `json:"polls"`       // of control without a watch
	// Watches of control that were begun, and that did not answer or broke.
	Watches       uint64 `json:"watches"`
	WatchesFailed uint64 `json:"watchesFailed"`
	Connected     bool   `json:"connected"` // control answers a watch now
	Calls         uint64 `json:"calls"`     // made to others to watch control
	Applied       uint64 `json:"applied"`
	// AppliedFromControl counts the changes of Applied that came by a watch.
	AppliedFromControl uint64 `json:"appliedFromControl"`
	Served             int64  `json:"served"` // pulls answered
	Watchers           int64  `json:"watchers"`
	DeltaBytesSent     uint64 `json:"deltaBytesSent"`
}

// Stats returns the present counts.
func (f *Follower) Stats() Stats {
	n := &f.stats
	return Stats{
		Version: f.holder.Version().String(), Pulls: n.pulls.Load(), PullsFailed: n.pullsFailed.Load(),
		RemotePulls: n.remotePulls.Load(), Polls: n.polls.Load(), Watches: n.watches.Load(),
		WatchesFailed: n.watchesFailed.Load(), Connected: f.connected.Load(), Calls: n.calls.Load(),
		Applied: n.applied.Load(), AppliedFromControl: n.appliedFromControl.Load(),
		Served: f.server.served.Load(), Watchers: f.server.watchers.Load(),
		DeltaBytesSent: f.server.bytesSent.Load(),
	}
}
