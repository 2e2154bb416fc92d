package controld

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	// confirmInterval is the time between periodic confirmations that the local configuration is
	// current. Calls of Current confirm it as well.
	confirmInterval = time.Second
	// confirmTimeout bounds one confirmation, including the wait for missing changes.
	confirmTimeout = 2 * time.Second
	// leaderPollInterval is the time between checks whether a leader is known.
	leaderPollInterval = 100 * time.Millisecond
)

// freshness tracks whether the local configuration is current. A member that has just started, was
// partitioned or was frozen holds an old one; a node that loaded it at its start would go back to a
// configuration older than the one it had in force before.
type freshness struct {
	// confirming is held during a confirmation, so that all waiting calls share the next one.
	confirming  sync.Mutex
	confirmedAt time.Time // start of the last successful confirmation

	mu     sync.Mutex
	ctx    context.Context // ends when the member is no longer current; nil while it is not
	cancel context.CancelFunc
}

// currentContext returns a context that ends when the configuration is no longer known to be current.
func (f *freshness) currentContext() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		f.ctx, f.cancel = context.WithCancel(context.Background())
	}
	return f.ctx
}

func (f *freshness) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx != nil {
		f.cancel()
		f.ctx, f.cancel = nil, nil
	}
}

// Current implements Replication. A confirmation that started before the call is not enough: while
// the failure of the leader goes undetected, a member may lack the last change although nodes
// already have it.
func (g *Group) Current(ctx context.Context) (context.Context, error) {
	calledAt := time.Now()
	g.freshness.confirming.Lock()
	defer g.freshness.confirming.Unlock()
	if g.freshness.confirmedAt.After(calledAt) {
		return g.freshness.currentContext(), nil
	}
	start := time.Now()
	if err := g.confirmCurrent(ctx); err != nil {
		return nil, err
	}
	g.freshness.confirmedAt = start
	return g.freshness.currentContext(), nil
}

// Confirmed implements Replication.
func (g *Group) Confirmed() bool {
	g.freshness.mu.Lock()
	defer g.freshness.mu.Unlock()
	return g.freshness.ctx != nil
}

// confirmPeriodically confirms every confirmInterval that the local configuration is current, and
// ends the context of Current when that fails or no leader is known.
func (g *Group) confirmPeriodically(ctx context.Context) {
	defer g.freshness.invalidate()
	for ctx.Err() == nil {
		start := time.Now()
		if _, err := g.Current(ctx); err != nil {
			g.freshness.invalidate()
			g.log.Debug("configuration not confirmed as current", "cause", err)
			sleep(ctx, leaderPollInterval)
			continue
		}
		for g.hasLeader() && ctx.Err() == nil && time.Since(start) < confirmInterval {
			sleep(ctx, leaderPollInterval)
		}
		if !g.hasLeader() {
			g.freshness.invalidate()
		}
	}
}

func (g *Group) hasLeader() bool {
	_, _, ok := g.Leader()
	return ok
}

// confirmCurrent returns once this member has applied all changes that were acknowledged before the
// call.
func (g *Group) confirmCurrent(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := g.replica.Load()
	if r == nil {
		return control.ErrNotLeader
	}
	leader, addr, ok := r.Leader()
	if !ok {
		return errors.New("controld: no leader is known")
	}
	if leader == g.replicaID() {
		return r.ReadBarrier(ctx)
	}
	v, err := g.fetchLeaderVersion(ctx, parseAddress(addr).linkAddr)
	if err != nil {
		return err
	}
	for g.machine.Version().Less(v) {
		if !sleep(ctx, leaderPollInterval/10) {
			return fmt.Errorf("controld: version %s is behind the leader's %s", g.machine.Version(), v)
		}
	}
	return nil
}

// fetchLeaderVersion returns the leader's version of the configuration, confirmed by a quorum.
func (g *Group) fetchLeaderVersion(ctx context.Context, linkAddr string) (v resource.Version, err error) {
	s, err := g.dialer.Open(ctx, linkAddr)
	if err != nil {
		return v, fmt.Errorf("controld: ask the leader: %w", err)
	}
	defer s.Reset()
	deadline, _ := ctx.Deadline()
	s.SetReadDeadline(deadline)
	err = s.WriteFrame(wire.FrameControlVersion, nil)
	if err == nil {
		err = wire.Read(s, wire.FrameControlVersion, &v)
	}
	if err != nil {
		// The connection may be dead without an error, so it is not used again.
		g.dialer.Replace(linkAddr)
		return v, fmt.Errorf("controld: ask the leader: %w", err)
	}
	return v, s.Close()
}

// handleVersion answers with this member's version after a read barrier.
func (g *Group) handleVersion(ctx context.Context, s link.Stream, _ link.Frame) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := g.ReadBarrier(ctx); err != nil {
		s.Reset()
		return
	}
	if err := wire.Write(s, wire.FrameControlVersion, g.machine.Version()); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
