package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// relayDialTimeout bounds the connection of a relay to the dispatcher.
const relayDialTimeout = 500 * time.Millisecond

// serveRelay passes an attempt on to a dispatcher that its ingress cannot
// reach directly. Relays do not chain: the dispatcher answers no relay frame
// that comes within a relayed stream.
func (d *Dispatcher) serveRelay(ctx context.Context, s link.Stream, first link.Frame) {
	var head wire.RelayHead
	if err := wire.Decode(first.Payload, &head); err != nil {
		d.log.Warn("relay refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
		return
	}
	d.stats.relayed.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	t, err := d.cfg.Dialer.Open(dialCtx, head.Addr)
	if err != nil {
		s.Reset()
		return
	}
	var answered atomic.Bool
	toDispatcher := make(chan struct{})
	go func() {
		defer close(toDispatcher)
		if end, err := forward(s, t, wire.FrameEnd); err == nil && t.WriteFrame(end.Type, end.Payload) == nil {
			// The ingress sends nothing more; the read ends when it gives up, or
			// when the answer is complete.
			s.ReadFrame()
		}
		if !answered.Load() {
			t.Reset()
		}
	}()
	end, err := forward(t, s, wire.FrameAnswerEnd)
	answered.Store(err == nil)
	// Reading ends before the answer does: once the ingress has the end, it may
	// use the connection for its next exchange, whose first frame must not be
	// read here.
	s.SetReadDeadline(time.Now())
	<-toDispatcher
	if err != nil || s.WriteFrame(end.Type, end.Payload) != nil {
		s.Reset()
		t.Reset()
		return
	}
	t.Close()
	s.Close()
}

// forward copies frames up to the first of type last, which it returns.
func forward(from, to link.Stream, last link.FrameType) (link.Frame, error) {
	for {
		f, err := from.ReadFrame()
		if err != nil || f.Type == last {
			return f, err
		}
		if err := to.WriteFrame(f.Type, f.Payload); err != nil {
			return f, err
		}
	}
}
