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

// rankInterval is how often a node looks at whether it has to feed its region.
const rankInterval = 250 * time.Millisecond

// errBehind ends a watch of a control that holds an older version than the node.
var errBehind = errors.New("distribute: control holds an older version")

// called makes the node watch control for a while.
func (f *Follower) called() {
	f.calledUntil.Store(time.Now().Add(f.cfg.CalledFor).UnixNano())
}

// runFeeding watches control while the node's rank in its region, or a call
// from another node, asks for it.
func (f *Follower) runFeeding(ctx context.Context) {
	var r *ranking
	var current *feeding
	for {
		r = f.peers.rank(r)
		feeder := r.own < f.cfg.FeedersPerRegion
		should := feeder || time.Now().UnixNano() < f.calledUntil.Load()
		// A feeder whose rank changes moves to the control of that rank.
		if current != nil && (!should || feeder && current.rank != r.own || current.over()) {
			current.end()
			current = nil
		}
		if current == nil && should && len(f.controls()) > 0 {
			current = f.startFeeding(ctx, r.own)
		}
		if !sleep(ctx, rankInterval) {
			break
		}
	}
	if current != nil {
		current.end()
	}
}

// feeding is a running goroutine that watches control.
type feeding struct {
	rank  int // of the node when it began
	stop  context.CancelFunc
	ended chan struct{}
}

func (f *Follower) startFeeding(ctx context.Context, rank int) *feeding {
	ctx, stop := context.WithCancel(ctx)
	c := &feeding{rank, stop, make(chan struct{})}
	go func() {
		defer close(c.ended)
		f.feed(ctx, rank)
	}()
	return c
}

// over reports whether it ended by itself, for want of a control to watch.
func (c *feeding) over() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

func (c *feeding) end() {
	c.stop()
	<-c.ended
}

// feed watches one control after the other until ctx ends.
func (f *Follower) feed(ctx context.Context, rank int) {
	defer f.connected.Store(false)
	wait := newBackoff(f.cfg)
	lost, tries := time.Now(), 0
	// The feeders of a region begin with different controls, so that one that
	// is isolated does not mislead them all. Regions differ as well, to spread
	// the load.
	first := uint64(rank) + xxhash.Sum64String(f.peers.self.Region)>>1
	for next := first; ctx.Err() == nil; next++ {
		controls := f.controls()
		if len(controls) == 0 {
			return
		}
		addr := controls[next%uint64(len(controls))]
		f.stats.watches.Add(1)
		answered, err := f.watch(ctx, addr)
		f.connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		f.stats.watchesFailed.Add(1)
		f.log.Debug("watch of control ended", "addr", addr, "err", err)
		tries++
		if answered {
			lost, tries = time.Now(), 0
			wait.reset()
		}
		if time.Since(lost) >= f.cfg.TakeOverAfter {
			f.callOthers(ctx)
		}
		// Every control is tried once before the wait grows.
		if tries%len(controls) != 0 {
			continue
		}
		if !sleep(ctx, min(wait.next(), f.longestWait(time.Since(lost)))) {
			return
		}
	}
}

// retryPart is the part of the time without control that a feeder waits at most
// before it tries again. Control that returns after a short absence is found soon,
// and one that is away for long is not asked all the time.
const retryPart = 0.25

// longestWait returns the longest wait after control has been lost for a time.
func (f *Follower) longestWait(lost time.Duration) time.Duration {
	return max(f.cfg.BackoffMin, time.Duration(retryPart*float64(lost)))
}

// watch takes what one control sends until the stream breaks. answered says
// whether control sent anything and was not behind.
func (f *Follower) watch(ctx context.Context, addr string) (answered bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, f.cfg.FrameTimeout)
	defer cancel()
	s, err := f.control.Open(dialCtx, addr)
	if err != nil {
		return false, fmt.Errorf("distribute: watch: %w", err)
	}
	defer s.Reset()
	defer context.AfterFunc(ctx, s.Reset)()
	if err := writeBounded(s, wire.FrameConfigWatch, request{Since: f.holder.Version()}, f.cfg.FrameTimeout); err != nil {
		return false, fmt.Errorf("distribute: watch %s: %w", addr, err)
	}
	err = f.follow(s, func() { answered = true; f.connected.Store(true) })
	if !errors.Is(err, errBehind) {
		f.control.Replace(addr)
	}
	return answered, fmt.Errorf("distribute: watch %s: %w", addr, err)
}

// follow applies what comes on a watch. alive is called for each sign of life
// of a control that is not behind.
func (f *Follower) follow(s link.Stream, alive func()) error {
	var behindSince time.Time
	for {
		d, version, err := readDelta(s, f.cfg.FrameTimeout)
		if err != nil {
			return err
		}
		if err := f.take(d); err != nil {
			return err
		}
		if !version.Less(f.holder.Version()) {
			behindSince = time.Time{}
			alive()
			continue
		}
		if behindSince.IsZero() {
			behindSince = time.Now()
		}
		if time.Since(behindSince) >= f.cfg.StaleAfter {
			return errBehind
		}
	}
}

func (f *Follower) take(d *resource.Delta) error {
	if d == nil {
		return nil
	}
	before := f.holder.Version()
	err := f.offer(d)
	if err == nil && before.Less(f.holder.Version()) {
		f.stats.appliedFromControl.Add(1)
	}
	return err
}

// callOthers makes two other nodes of the region watch control. The nodes of a
// region form a binary tree in the order of their rank, so that calls reach all
// of them in a logarithmic number of steps if none can reach control.
func (f *Follower) callOthers(ctx context.Context) {
	r := f.peers.rank(nil)
	first := 2*r.own + f.cfg.FeedersPerRegion
	var calls sync.WaitGroup
	for i := first; i < first+2 && i < len(r.nodes); i++ {
		q := r.nodes[i]
		f.stats.calls.Add(1)
		calls.Go(func() {
			_, err := pull(ctx, f.nodes, q.addr, request{VersionOnly: true, Call: true}, f.cfg.FrameTimeout)
			if err != nil {
				f.log.Debug("node was not called to watch control", "node", q.id, "err", err)
			}
		})
	}
	calls.Wait()
}
