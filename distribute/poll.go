package distribute

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// AsksVersionOnly reports whether the first frame of a pull asks for the receiver's version alone.
func AsksVersionOnly(first link.Frame) bool {
	var r request
	return wire.Decode(first.Payload, &r) == nil && r.VersionOnly
}

// runPolls asks control for its version at intervals, unless this node watches control. The news of a
// version that comes through membership can be lost on the way to a node.
func (f *Follower) runPolls(ctx context.Context) {
	for sleep(ctx, f.cfg.PollInterval*3/4+rand.N(f.cfg.PollInterval/2)) {
		if !f.connected.Load() {
			f.pollControl(ctx)
		}
	}
}

// pollControl asks control for its version. It starts to catch up if that is newer than this node's. It
// returns false if no control replica that is up to date has answered.
func (f *Follower) pollControl(ctx context.Context) bool {
	f.stats.polls.Add(1)
	addrs := f.peers.shuffledControlAddrs(f.configuredControlAddrs)
	return hedged(ctx, f.cfg.HedgeDelay, func() (attemptFunc, bool) {
		if len(addrs) == 0 {
			return nil, false
		}
		addr := addrs[0]
		addrs = addrs[1:]
		return func(ctx context.Context) error { return f.askControlVersion(ctx, addr) }, true
	})
}

func (f *Follower) askControlVersion(ctx context.Context, addr string) error {
	start := time.Now()
	reply, err := pull(ctx, f.controlDialer, addr, request{VersionOnly: true}, f.cfg.FrameTimeout)
	if err != nil {
		f.log.Debug("poll of control failed", "addr", addr, "err", err)
		if time.Since(start) >= f.cfg.HedgeDelay {
			// The connection may be dead without an error.
			f.controlDialer.Replace(addr)
		}
		return err
	}
	if f.holder.Version().Less(reply.version) {
		f.peers.recordControlVersion(reply.version)
		f.lag.learned(time.Now())
		f.wakeUp()
	}
	return nil
}
