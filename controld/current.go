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
	// confirmInterval is the time between confirmations that the configuration
	// here is current, beside those that are asked for.
	confirmInterval = time.Second
	// confirmTimeout bounds one confirmation, with the wait for what is missing.
	confirmTimeout = 2 * time.Second
	// leaderPoll is the time between looks whether the leader is still known.
	leaderPoll = 100 * time.Millisecond
)

// currency tells whether the configuration of this member is current. A member
// that has just started, was cut off or was frozen holds an old one; a node
// that starts with that would go back behind what it had in force.
type currency struct {
	// confirming is held during a confirmation, so that all that wait share
	// the next one.
	confirming sync.Mutex
	confirmed  time.Time // start of the last successful confirmation

	mu  sync.Mutex
	ctx context.Context // ends when the member is no longer current
	end context.CancelFunc
}

// hold returns the context of the present currency.
func (c *currency) hold() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.end = context.WithCancel(context.Background())
	}
	return c.ctx
}

func (c *currency) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx != nil {
		c.end()
		c.ctx, c.end = nil, nil
	}
}

// Current implements Replication. What a majority confirmed before the call is
// not enough: a member may lack the last change for as long as the death of the
// leader goes unnoticed, while nodes have it already.
func (g *Group) Current(ctx context.Context) (context.Context, error) {
	asked := time.Now()
	g.current.confirming.Lock()
	defer g.current.confirming.Unlock()
	if g.current.confirmed.After(asked) {
		return g.current.hold(), nil
	}
	start := time.Now()
	if err := g.confirmCurrent(ctx); err != nil {
		return nil, err
	}
	g.current.confirmed = start
	return g.current.hold(), nil
}

// keepCurrent confirms again and again that the configuration here is current,
// and ends the context of Current once that fails.
func (g *Group) keepCurrent(ctx context.Context) {
	defer g.current.lose()
	for ctx.Err() == nil {
		start := time.Now()
		if _, err := g.Current(ctx); err != nil {
			g.current.lose()
			g.log.Debug("not current", "cause", err)
			sleep(ctx, leaderPoll)
			continue
		}
		for g.hasLeader() && ctx.Err() == nil && time.Since(start) < confirmInterval {
			sleep(ctx, leaderPoll)
		}
		if !g.hasLeader() {
			g.current.lose()
		}
	}
}

func (g *Group) hasLeader() bool {
	_, _, ok := g.Leader()
	return ok
}

// confirmCurrent returns once this member has all that was acknowledged before
// the call.
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
	if leader == g.store.ID() {
		return r.ReadBarrier(ctx)
	}
	v, err := g.askVersion(ctx, parseAddress(addr).linkAddr)
	if err != nil {
		return err
	}
	for g.machine.Version().Less(v) {
		if !sleep(ctx, leaderPoll/10) {
			return fmt.Errorf("controld: version %s is behind the leader's %s", g.machine.Version(), v)
		}
	}
	return nil
}

// askVersion returns the leader's version, confirmed by a majority.
func (g *Group) askVersion(ctx context.Context, linkAddr string) (v resource.Version, err error) {
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
		// The connection may have gone silent.
		g.dialer.Replace(linkAddr)
		return v, fmt.Errorf("controld: ask the leader: %w", err)
	}
	return v, s.Close()
}

// handleVersion answers a question for the confirmed version.
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

// sleep waits for d and reports whether ctx is still on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
