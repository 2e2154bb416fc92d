package distribute

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
)

// source is a process that a node can pull from: a peer, or a control replica.
type source struct {
	addr   string
	dialer link.Dialer
	// peer is the peer as it was known when it was chosen. Its id is empty for control.
	peer peer
}

func (s *source) isControl() bool { return s.peer.id == "" }

// name returns the name of the source for the log.
func (s *source) name() string {
	if s.isControl() {
		return s.addr
	}
	return string(s.peer.id)
}

// peersBeforeControl is how many peers are asked in a round of pulls before control. Control has each
// version, but its capacity is for the whole fleet.
const peersBeforeControl = 2

// pullRound chooses the sources of one round of pulls. Each source is chosen once.
type pullRound struct {
	*Follower
	since   resource.Version
	asked   map[string]bool // by address
	peers   int             // peers asked
	control []string        // addresses of control that are left to ask
}

func (f *Follower) newPullRound(since resource.Version) *pullRound {
	control := f.peers.shuffledControlAddrs(f.configuredControlAddrs)
	return &pullRound{Follower: f, since: since, asked: map[string]bool{}, control: control}
}

// next returns the source to ask next: a few peers of this region that have a newer version, then
// control, then any other peer. ok is false if all were asked.
func (r *pullRound) next() (s source, ok bool) {
	if r.peers < peersBeforeControl {
		if s, ok = r.nextPeer(false); ok {
			return s, true
		}
	}
	if len(r.control) > 0 {
		s = source{addr: r.control[0], dialer: r.controlDialer}
		r.control = r.control[1:]
		return s, true
	}
	return r.nextPeer(true)
}

func (r *pullRound) nextPeer(remote bool) (s source, ok bool) {
	p, ok := r.Follower.peers.pickSource(time.Now(), r.since, remote, r.asked)
	if !ok {
		return source{}, false
	}
	r.peers++
	r.asked[p.addr] = true
	return source{p.addr, r.nodeDialer, p}, true
}

// errNothingNewer is the result of a pull from a source that has no newer version.
var errNothingNewer = errors.New("distribute: source has nothing newer")

// pullOnce makes one round of pulls and reports whether this node's version has increased. A source
// that does not answer at once is not waited for: its path may be cut while those to others work.
func (f *Follower) pullOnce(ctx context.Context) bool {
	since := f.holder.Version()
	if !f.awaitSource(ctx, since) {
		return since.Less(f.holder.Version())
	}
	round := f.newPullRound(since)
	hedged(ctx, f.cfg.HedgeDelay, func() (attemptFunc, bool) {
		s, ok := round.next()
		if !ok || since.Less(f.holder.Version()) {
			return nil, false
		}
		return func(ctx context.Context) error { return f.pullFrom(ctx, s, since) }, true
	})
	return since.Less(f.holder.Version())
}

// pullFrom pulls from one source. A peer that fails, or is slower than HedgeDelay, is avoided for a
// while.
func (f *Follower) pullFrom(ctx context.Context, s source, since resource.Version) error {
	f.stats.pulls.Add(1)
	start := time.Now()
	reply, err := pull(ctx, s.dialer, s.addr, request{Since: since}, f.cfg.FrameTimeout)
	if err == nil {
		err = f.apply(reply.delta, s.name())
	}
	if err != nil {
		f.pullFailed(ctx, s, time.Since(start), err)
		return err
	}
	if !s.isControl() {
		f.peers.recordVersion(s.peer, reply.version)
	}
	if !since.Less(f.holder.Version()) {
		return errNothingNewer
	}
	return nil
}

// pullFailed records a pull that brought nothing after the time that it took, unless it was canceled
// before it could be called slow.
func (f *Follower) pullFailed(ctx context.Context, s source, took time.Duration, err error) {
	if ctx.Err() != nil && took < f.cfg.HedgeDelay {
		return
	}
	f.stats.pullsFailed.Add(1)
	f.lag.pullFailed()
	f.log.Info("pull failed", "source", s.name(), "version", s.peer.configVersion.String(), "ms", took.Milliseconds(), "fault", err)
	// The connection may be dead without an error.
	s.dialer.Replace(s.addr)
	if !s.isControl() {
		f.peers.recordFailure(s.peer.id, time.Now().Add(f.cfg.BackoffMax))
	}
}

// awaitSource waits until a peer of this region or control has a version above since. If only peers of
// other regions have one, it waits for RemoteDelay at most, so that one node pulls it from there and
// serves the others. It returns false if nothing has one, or if this node has got one meanwhile.
func (f *Follower) awaitSource(ctx context.Context, since resource.Version) bool {
	near := func() bool {
		_, ok := f.peers.pickSource(time.Now(), since, false, nil)
		return ok || f.peers.controlIsNewer(since)
	}
	if near() {
		return true
	}
	if _, ok := f.peers.pickSource(time.Now(), since, true, nil); !ok {
		return false
	}
	// Between 0.5 and 1.5 times the delay, so that not all nodes of the region pull at the same time.
	end := time.Now().Add(f.cfg.RemoteDelay/2 + rand.N(f.cfg.RemoteDelay))
	for remaining := time.Until(end); remaining > 0; remaining = time.Until(end) {
		if !f.waitForUpdate(ctx, remaining) || since.Less(f.holder.Version()) {
			return false
		}
		if near() {
			return true
		}
	}
	f.stats.remotePulls.Add(1)
	return true
}
