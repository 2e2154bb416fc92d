package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// relayDialTimeout bounds the dial from a relay to the dispatcher.
const relayDialTimeout = 500 * time.Millisecond

// serveRelay forwards an attempt to a dispatcher that its ingress cannot reach directly. Relays do
// not chain: a dispatcher does not serve a relay frame within a relayed stream.
func (d *Dispatcher) serveRelay(ctx context.Context, s link.Stream, first link.Frame) {
	var head wire.RelayHead
	if err := wire.Decode(first.Payload, &head); err != nil {
		d.log.Warn("malformed relay head refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
		return
	}
	d.stats.relayed.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	out, err := d.cfg.Dialer.Open(dialCtx, head.Addr)
	if err != nil {
		s.Reset()
		return
	}
	var answered atomic.Bool
	requestCopied := make(chan struct{})
	go func() {
		defer close(requestCopied)
		if end, err := copyFrames(s, out, wire.FrameEnd); err == nil && out.WriteFrame(end.Type, end.Payload) == nil {
			// The ingress sends nothing more: the read returns when the ingress gives up or the
			// answer is complete.
			s.ReadFrame()
		}
		if !answered.Load() {
			out.Reset()
		}
	}()
	end, err := copyFrames(out, s, wire.FrameAnswerEnd)
	answered.Store(err == nil)
	// Stop reading before the end of the answer is sent: after that the ingress may reuse the
	// connection for its next exchange, whose first frame must not be read here.
	s.SetReadDeadline(time.Now())
	<-requestCopied
	if err != nil || s.WriteFrame(end.Type, end.Payload) != nil {
		s.Reset()
		out.Reset()
		return
	}
	out.Close()
	s.Close()
}

// copyFrames copies frames until the first of type last, which it returns without copying it.
func copyFrames(from, to link.Stream, last link.FrameType) (link.Frame, error) {
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
