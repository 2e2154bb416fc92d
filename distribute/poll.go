package distribute

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// AsksVersionOnly reports whether the first frame of a pull asks for the receiver's version alone.
func AsksVersionOnly(first link.Frame) bool {
	var r request
	return wire.Decode(first.Payload, &r) == nil && r.VersionOnly
}

// AsksProof reports whether the first frame of a pull asks for a proof of which version is the newest.
func AsksProof(first link.Frame) bool {
	var r request
	return wire.Decode(first.Payload, &r) == nil && r.VersionOnly && r.Proof
}

// runPolls asks control for its version at intervals, unless this node watches control. The news of a
// version that comes through membership can be lost on the way to a node.
func (f *Follower) runPolls(ctx context.Context) {
	if f.proofs.needed() {
		f.runProofPolls(ctx)
		return
	}
	for sleep(ctx, jitter(f.cfg.PollInterval)) {
		if !f.connected.Load() {
			f.pollControl(ctx, f.cfg.HedgeDelay)
		}
	}
}

// jitter returns a random duration from 0.75 to 1.25 times the mean, so that nodes do not ask together.
func jitter(mean time.Duration) time.Duration { return mean*3/4 + rand.N(mean/2) }

// pollControl asks control for its version. It starts to catch up if that is newer than this node's. It
// returns false if no control replica that is up to date has answered. Another one is asked as well
// after hedgeDelay without an answer.
func (f *Follower) pollControl(ctx context.Context, hedgeDelay time.Duration) bool {
	f.stats.polls.Add(1)
	addrs := f.peers.shuffledControlAddrs(f.configuredControlAddrs)
	return hedged(ctx, hedgeDelay, func() (attemptFunc, bool) {
		if len(addrs) == 0 {
			return nil, false
		}
		addr := addrs[0]
		addrs = addrs[1:]
		return func(ctx context.Context) error { return f.askControlVersion(ctx, addr) }, true
	})
}

func (f *Follower) askControlVersion(ctx context.Context, addr string) error {
	start, asked := time.Now(), f.cfg.Clock()
	reply, err := pull(ctx, f.controlDialer, addr, request{VersionOnly: true, Proof: f.proofs.needed()}, f.cfg.FrameTimeout)
	if err != nil {
		f.log.Debug("poll of control failed", "addr", addr, "err", err)
		if time.Since(start) >= f.cfg.HedgeDelay {
			// The connection may be dead without an error.
			f.controlDialer.Replace(addr)
		}
		return err
	}
	f.learnControlVersion(reply.version)
	f.proofs.record(asked, reply.proof, &f.proofs.fromControl)
	return nil
}

// learnControlVersion records that control has version v, and starts to catch up if that is newer than this node's.
func (f *Follower) learnControlVersion(v resource.Version) {
	if f.holder.Version().Less(v) {
		f.peers.recordControlVersion(v)
		f.lag.learned(time.Now())
		f.wakeUp()
	}
}
