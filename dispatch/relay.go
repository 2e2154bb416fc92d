package dispatch

import (
	"context"
	"errors"
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
	endExchange, ok := d.beginExchange()
	defer endExchange()
	if !ok {
		refuseRelay(s)
		return
	}
	d.stats.relayed.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	out, err := d.cfg.Dialer.Open(dialCtx, head.Addr)
	if err != nil {
		refuseRelay(s)
		return
	}
	r := &relay{outlivesStop: d.outlivesStop, ingress: s, dispatcher: out}
	defer r.stopLimit()
	requestCopied := make(chan struct{})
	go func() {
		defer close(requestCopied)
		r.copyRequest()
	}()
	end, err := r.copyAnswer()
	r.answered.Store(err == nil)
	if err != nil {
		// Ends a write of the request that is blocked.
		out.Reset()
	}
	if r.refused.Load() {
		<-requestCopied
		refuseRelay(s)
		return
	}
	if err == nil && r.bodyUnread() {
		// The ingress resets the stream when it has read the outcome; see answerWriter.finish.
		if err = s.WriteFrame(end.Type, end.Payload); err == nil {
			s.SetReadDeadline(time.Now().Add(resetTimeout))
			<-requestCopied
		}
		s.Reset()
		out.Reset()
		return
	}
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

// refuseRelay tells the ingress that nothing was passed on, and waits for it to reset the stream, on which it may still be
// sending.
func refuseRelay(s link.Stream) {
	if s.WriteFrame(wire.FrameNotRelayed, nil) == nil {
		awaitReset(s)
	}
	s.Reset()
}

// relay copies the frames of one attempt between its ingress and its dispatcher.
type relay struct {
	// outlivesStop reports whether an attempt might still run when the relay's node ends.
	outlivesStop        func(head *wire.AttemptHead, deadline time.Time) bool
	ingress, dispatcher link.Stream
	// refused is set if nothing was passed on, since the attempt could outlast this node.
	refused atomic.Bool
	// answered is set once the whole answer has been read.
	answered atomic.Bool
	// limit resets both streams after the deadline of the attempt, once that is known.
	limit atomic.Pointer[time.Timer]
	// bodyAsked and bodyEnded are set once the dispatcher has asked for a streamed body, and once the
	// end of a body has passed.
	bodyAsked, bodyEnded atomic.Bool
}

// bodyUnread reports whether the ingress may still be sending a streamed body.
func (r *relay) bodyUnread() bool { return r.bodyAsked.Load() && !r.bodyEnded.Load() }

// errRelayEnds means that the relay's node ends before the attempt might.
var errRelayEnds = errors.New("dispatch: the attempt could outlast the relay")

// checkHead refuses an attempt that the end of this node might cut off. It bounds the exchange by the deadline in the
// head of the attempt: an ingress that does not read its answer would otherwise block the relay without end.
func (r *relay) checkHead(payload []byte) error {
	var head wire.AttemptHead
	if err := decodeHead(payload, &head); err != nil {
		return err
	}
	if r.outlivesStop(&head, time.Now().Add(head.Remaining())) {
		r.refused.Store(true)
		return errRelayEnds
	}
	r.limit.Store(time.AfterFunc(head.Remaining()+writeGrace, func() {
		r.ingress.Reset()
		r.dispatcher.Reset()
	}))
	return nil
}

func (r *relay) stopLimit() {
	if t := r.limit.Load(); t != nil {
		t.Stop()
	}
}

// copyHead copies the head of the attempt.
func (r *relay) copyHead() error {
	f, err := r.ingress.ReadFrame()
	if err != nil {
		return err
	}
	if f.Type != wire.FrameAttempt {
		return &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameAttempt}
	}
	if err := r.checkHead(f.Payload); err != nil {
		return err
	}
	return r.dispatcher.WriteFrame(f.Type, f.Payload)
}

// copyRequest copies the request, and then waits until the ingress gives up or is not read any more.
func (r *relay) copyRequest() {
	var end link.Frame
	err := r.copyHead()
	if err == nil {
		end, err = copyFrames(r.ingress, r.dispatcher, wire.FrameEnd)
	}
	if err == nil {
		r.bodyEnded.Store(true)
		err = r.dispatcher.WriteFrame(end.Type, end.Payload)
	}
	if err == nil {
		r.ingress.ReadFrame()
	}
	if !r.answered.Load() {
		r.dispatcher.Reset()
	}
}

// copyAnswer copies the answer up to its end, which it returns without copying it.
func (r *relay) copyAnswer() (link.Frame, error) {
	for {
		r.dispatcher.SetReadDeadline(time.Now().Add(wire.SilenceTimeout))
		f, err := r.dispatcher.ReadFrame()
		if err != nil || f.Type == wire.FrameAnswerEnd {
			return f, err
		}
		if f.Type == wire.FrameContinue {
			r.bodyAsked.Store(true)
		}
		if err := r.ingress.WriteFrame(f.Type, f.Payload); err != nil {
			return f, err
		}
	}
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
