package distribute

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// rankCheckInterval is how often a node checks whether it has to watch control.
const rankCheckInterval = 250 * time.Millisecond

// errControlBehind ends the watch of a control replica that holds an older version than this node.
var errControlBehind = errors.New("distribute: control replica holds an older version than this node")

// watchOnCall makes the node watch control for Config.CalledFor, because another node called it to.
func (f *Follower) watchOnCall() {
	f.watchUntil.Store(time.Now().Add(f.cfg.CalledFor).UnixNano())
}

// runFeeding watches control while the node is a feeder by its rank in the region, or has been called
// by another node.
func (f *Follower) runFeeding(ctx context.Context) {
	var ranks *ranking
	var task *feedTask
	for {
		ranks = f.peers.rank(ranks)
		feeder := ranks.ownRank < f.cfg.FeedersPerRegion
		shouldWatch := feeder || time.Now().UnixNano() < f.watchUntil.Load()
		// The rank decides which control a feeder watches first, so the watch is restarted when the rank
		// changes.
		if task != nil && (!shouldWatch || feeder && task.rank != ranks.ownRank || task.finished()) {
			task.stop()
			task = nil
		}
		if task == nil && shouldWatch && len(f.controlAddrs()) > 0 {
			task = f.startFeedTask(ctx, ranks.ownRank)
		}
		if !sleep(ctx, rankCheckInterval) {
			break
		}
	}
	if task != nil {
		task.stop()
	}
}

// feedTask is a goroutine that watches control.
type feedTask struct {
	rank   int // of this node when the task was started
	cancel context.CancelFunc
	done   chan struct{}
}

func (f *Follower) startFeedTask(ctx context.Context, rank int) *feedTask {
	ctx, cancel := context.WithCancel(ctx)
	t := &feedTask{rank, cancel, make(chan struct{})}
	go func() {
		defer close(t.done)
		f.feed(ctx, rank)
	}()
	return t
}

// finished reports whether the goroutine has ended by itself because no control address is known.
func (t *feedTask) finished() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// stop cancels the goroutine and waits until it has ended.
func (t *feedTask) stop() {
	t.cancel()
	<-t.done
}

// feed watches one control replica after the other until ctx ends or no control address is known.
func (f *Follower) feed(ctx context.Context, rank int) {
	defer f.connected.Store(false)
	retryDelay := newBackoff(f.cfg)
	lostAt, failures := time.Now(), 0
	// The feeders of a region start with different control replicas, so that an isolated replica does
	// not leave all of them with an old version. Regions start with different replicas to spread the
	// load.
	first := uint64(rank) + xxhash.Sum64String(f.peers.self.Region)>>1
	for i := first; ctx.Err() == nil; i++ {
		addrs := f.controlAddrs()
		if len(addrs) == 0 {
			return
		}
		addr := addrs[i%uint64(len(addrs))]
		f.stats.watches.Add(1)
		answered, err := f.watch(ctx, addr)
		f.connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		f.stats.watchesFailed.Add(1)
		f.log.Debug("watch of control ended", "addr", addr, "err", err)
		failures++
		if answered {
			lostAt, failures = time.Now(), 0
			retryDelay.reset()
		}
		if time.Since(lostAt) >= f.cfg.TakeOverAfter {
			f.callOthers(ctx)
		}
		// Every control replica is tried once before the next delay.
		if failures%len(addrs) != 0 {
			continue
		}
		if !sleep(ctx, min(retryDelay.next(), f.maxRetryDelay(time.Since(lostAt)))) {
			return
		}
	}
}

// retryFraction limits the delay before a feeder tries again, as a fraction of the time for which it
// has had no answer from control. Control that returns after a short outage is found soon, and during a long
// outage it is not dialed all the time.
const retryFraction = 0.25

// maxRetryDelay returns the longest delay before the next attempt after an outage of this length.
func (f *Follower) maxRetryDelay(outage time.Duration) time.Duration {
	return max(f.cfg.BackoffMin, time.Duration(retryFraction*float64(outage)))
}

// watch applies what one control replica sends until the stream breaks or the replica is behind for
// too long. answered says whether the replica has sent anything while it was not behind.
func (f *Follower) watch(ctx context.Context, addr string) (answered bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, f.cfg.FrameTimeout)
	defer cancel()
	s, err := f.controlDialer.Open(dialCtx, addr)
	if err != nil {
		return false, fmt.Errorf("distribute: open a watch of control: %w", err)
	}
	defer s.Reset()
	defer context.AfterFunc(ctx, s.Reset)()
	if err := writeWithTimeout(s, wire.FrameConfigWatch, request{Since: f.holder.Version()}, f.cfg.FrameTimeout); err != nil {
		return false, fmt.Errorf("distribute: watch %s: %w", addr, err)
	}
	err = f.receiveDeltas(s, addr, func() { answered = true; f.connected.Store(true) })
	if !errors.Is(err, errControlBehind) {
		f.controlDialer.Replace(addr)
	}
	return answered, fmt.Errorf("distribute: watch %s: %w", addr, err)
}

// receiveDeltas applies the deltas that arrive on a watch of the control replica at addr. onMessage is
// called for each delta or heartbeat of a replica that is not behind.
func (f *Follower) receiveDeltas(s link.Stream, addr string, onMessage func()) error {
	var behindSince time.Time
	for {
		reply, err := readReply(s, f.cfg.FrameTimeout)
		if err != nil {
			return err
		}
		if err := f.applyFromControl(reply.delta, addr); err != nil {
			return err
		}
		if !reply.version.Less(f.holder.Version()) {
			behindSince = time.Time{}
			onMessage()
			continue
		}
		if behindSince.IsZero() {
			behindSince = time.Now()
		}
		if time.Since(behindSince) >= f.cfg.StaleAfter {
			return errControlBehind
		}
	}
}

// applyFromControl applies a delta that arrived on a watch. d may be nil.
func (f *Follower) applyFromControl(d *resource.Delta, addr string) error {
	if d == nil {
		return nil
	}
	before := f.holder.Version()
	err := f.apply(d, addr)
	if err == nil && before.Less(f.holder.Version()) {
		f.stats.appliedFromControl.Add(1)
	}
	return err
}

// callOthers calls two other nodes of the region to watch control. The nodes of a region form a binary
// tree in the order of their rank, so that calls reach all of them in a logarithmic number of steps if
// none can reach control.
func (f *Follower) callOthers(ctx context.Context) {
	ranks := f.peers.rank(nil)
	first := 2*ranks.ownRank + f.cfg.FeedersPerRegion
	var calls sync.WaitGroup
	for i := first; i < first+2 && i < len(ranks.nodes); i++ {
		q := ranks.nodes[i]
		f.stats.calls.Add(1)
		calls.Go(func() {
			_, err := pull(ctx, f.nodeDialer, q.addr, request{VersionOnly: true, CallToWatch: true}, f.cfg.FrameTimeout)
			if err != nil {
				f.log.Debug("failed to call a node to watch control", "node", q.id, "err", err)
			}
		})
	}
	calls.Wait()
}
