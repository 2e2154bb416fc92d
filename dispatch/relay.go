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
		if forward(s, t, wire.FrameEnd) {
			// The ingress sends nothing more; the read ends when it gives up, or
			// when the answer is complete.
			s.ReadFrame()
		}
		if !answered.Load() {
			t.Reset()
		}
	}()
	complete := forward(t, s, wire.FrameAnswerEnd)
	answered.Store(complete)
	s.SetReadDeadline(time.Now())
	<-toDispatcher
	if !complete {
		s.Reset()
		t.Reset()
		return
	}
	t.Close()
	s.Close()
}

// forward copies frames up to and including the first of type last. It reports
// whether it got there.
func forward(from, to link.Stream, last link.FrameType) bool {
	for {
		f, err := from.ReadFrame()
		if err != nil {
			return false
		}
		if err := to.WriteFrame(f.Type, f.Payload); err != nil {
			return false
		}
		if f.Type == last {
			return true
		}
	}
}
