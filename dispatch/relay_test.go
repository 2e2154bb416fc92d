package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

// newRelay returns a dispatcher that relays to a peer whose attempts are served by serve.
func newRelay(serve link.Handler) (*Dispatcher, *link.Mux) {
	peer := link.NewMux(logging.Discard())
	peer.Handle(wire.FrameAttempt, serve)
	c := testConfig()
	c.Dialer = &link.LocalDialer{Addr: "peer", Name: "peer", Mux: peer}
	d := New(c)
	mux := link.NewMux(logging.Discard())
	d.Register(mux)
	return d, mux
}

// assertLeaves checks that no exchange keeps the dispatcher from a planned stop for longer than limit.
func assertLeaves(t *testing.T, d *Dispatcher, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	assert.NilError(t, d.Leave(ctx))
}

// Guards against a relay that waits without end for a dispatcher whose connection has gone silent, and
// holds up the planned stop of its node.
func TestRelayEndsWithASilentDispatcher(t *testing.T) {
	d, mux := newRelay(func(ctx context.Context, s link.Stream, _ link.Frame) {
		wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: 1})
		<-ctx.Done()
	})
	s, far := link.Pipe("ingress", "relay")
	mux.Start(far)
	assert.NilError(t, wire.Write(s, wire.FrameRelay, wire.RelayHead{Addr: "peer"}))
	assert.NilError(t, wire.Write(s, wire.FrameAttempt, orderHead("a")))
	assert.NilError(t, wire.Read(s, wire.FrameAck, nil))
	assert.NilError(t, s.WriteFrame(wire.FrameEnd, nil))
	assertLeaves(t, d, 2*wire.SilenceTimeout)
}

// Guards against the same for an ingress that does not read the answer.
func TestRelayEndsWithABlockedIngress(t *testing.T) {
	d, mux := newRelay(func(ctx context.Context, s link.Stream, _ link.Frame) {
		defer s.Reset()
		wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: 1})
		for s.WriteFrame(wire.FrameData, make([]byte, copyBufferSize)) == nil {
		}
	})
	s, far := link.Pipe("ingress", "relay")
	mux.Start(&blockedStream{Stream: far, reset: make(chan struct{})})
	head := orderHead("a")
	head.RemainingMs = 200
	assert.NilError(t, wire.Write(s, wire.FrameRelay, wire.RelayHead{Addr: "peer"}))
	assert.NilError(t, wire.Write(s, wire.FrameAttempt, head))
	assert.NilError(t, wire.Read(s, wire.FrameAck, nil))
	assertLeaves(t, d, 200*time.Millisecond+2*writeGrace)
}

// Guards against a leaving node that relays an attempt which could outlast it: its end would cut the attempt off while
// the upstream is at work.
func TestLeavingRelayTakesNothingThatCouldBeLost(t *testing.T) {
	begun := make(chan struct{}, 1)
	d, mux := newRelay(func(_ context.Context, s link.Stream, _ link.Frame) {
		begun <- struct{}{}
		wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: 1})
		s.Reset()
	})
	d.BeginLeave(time.Now().Add(time.Second))
	for _, c := range []struct {
		remainingMs int64
		taken       bool
	}{{5000, false}, {500, true}} {
		s, far := link.Pipe("ingress", "relay")
		mux.Start(far)
		head := orderHead("a")
		head.RemainingMs = c.remainingMs
		assert.NilError(t, wire.Write(s, wire.FrameRelay, wire.RelayHead{Addr: "peer"}))
		assert.NilError(t, wire.Write(s, wire.FrameAttempt, head))
		acknowledged := wire.Read(s, wire.FrameAck, nil) == nil
		assert.Equal(t, acknowledged, c.taken, "%d ms", c.remainingMs)
		assert.Equal(t, len(begun) > 0, c.taken, "%d ms", c.remainingMs)
	}
}
