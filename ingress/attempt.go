package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

const (
	// dialTimeout bounds a new connection to a dispatcher. Two regions are
	// 30 ms apart, and TCP with TLS takes two round trips.
	dialTimeout = 500 * time.Millisecond
	// dialTimeoutAcks bounds it further for a path that is known, in waits for
	// an acknowledgement.
	dialTimeoutAcks = 2
	// silenceTimeout is how long a dispatcher may say nothing of an attempt. It
	// repeats its acknowledgement every wire.AckInterval.
	silenceTimeout = 5 * wire.AckInterval / 2
	// maxBuffered is the largest answer that is held until it is complete, in
	// bytes. Until then the caller has seen nothing of it, so a broken answer
	// can still be replaced.
	maxBuffered = 64 << 10
)

// route is a way to reach a dispatcher.
type route uint8

const (
	routeDirect route = iota
	routeFresh        // over a new connection
	routeRelay        // through a third node
)

var routeNames = [...]string{"direct", "fresh", "relay"}

// attempt is one attempt at a request, over one or more routes.
type attempt struct {
	in   *Ingress
	rq   *request
	u    *board.Upstream
	v    *board.View
	head *wire.AttemptHead
	// mayRun is set before a frame is sent that lets the dispatcher run the
	// request. Until then the request is known not to have run.
	mayRun bool
	// acked is set once the dispatcher has shown that it has the attempt.
	acked bool
	// exposed is the lifetime of the dispatcher that was last known when a
	// request was sent whole without an acknowledgement coming back.
	exposed *uint64
	out     *answer
	// stale holds the streams of failed routes. They stay open until the
	// attempt has ended: a dispatcher that saw one break might cancel an
	// attempt that comes again over another route.
	stale []link.Stream
}

// errSilent reports a dispatcher that did not acknowledge, or fell silent.
var errSilent = errors.New("ingress: no acknowledgement")

// run makes the attempt. The same attempt is sent again over another route as
// long as nothing of its answer has been passed on: the dispatcher runs it once.
// The end that the dispatcher reported is nil if none came.
func (a *attempt) run(ctx context.Context) (outcome.Ended, *wire.AnswerEnd) {
	defer a.resetStale()
	for _, r := range a.routes() {
		end, err := a.over(ctx, r)
		if err == nil {
			return a.ended(ctx, end), end
		}
		if ctx.Err() != nil {
			return a.interrupted(ctx), nil
		}
		a.in.log.Debug("route to dispatcher failed", "request", a.rq.id, "node", a.u.Node, "route", routeNames[r], "fault", err)
		if a.out.begun {
			return outcome.MayHaveRun(outcome.ReasonShortAnswer), nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) && r != routeRelay {
			// The process is gone, so no other route leads to it. Others are
			// preferred until it is back or membership has noticed.
			a.in.pathFailed(a.u.Node, a.u.LinkAddr)
			break
		}
		switch r {
		case routeDirect:
			a.in.cfg.Dialer.Replace(a.u.LinkAddr)
			a.in.stats.resends.Add(1)
		case routeFresh:
			a.in.pathFailed(a.u.Node, a.u.LinkAddr)
		}
	}
	if !a.mayRun {
		return outcome.HasNotRun(outcome.ReasonPathDown), nil
	}
	return outcome.MayHaveRun(outcome.ReasonLostDispatcher), nil
}

// routes returns the routes to try in turn. Once a path is known to be in
// trouble, requests no longer wait for it: a relay comes first, and the ingress
// tests the path beside the traffic.
func (a *attempt) routes() []route {
	if a.in.paths.troubled(a.u.Node) {
		return []route{routeRelay, routeFresh}
	}
	return []route{routeDirect, routeFresh, routeRelay}
}

// ended returns how a complete exchange says that the attempt ended. A
// dispatcher that saw an earlier stream of the attempt break takes it for
// canceled; while the caller is there, it may be tried again.
func (a *attempt) ended(ctx context.Context, end *wire.AnswerEnd) outcome.Ended {
	e := outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}
	if e == outcome.HasNotRun(outcome.ReasonCanceled) && ctx.Err() == nil {
		e = outcome.HasNotRun(outcome.ReasonPathDown)
	}
	if e.Outcome == outcome.NotRun && a.exposed != nil && *a.exposed != a.head.Lifetime {
		// An earlier process may have run what it did not acknowledge.
		return outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	}
	return e
}

// resetStale ends the streams of failed routes.
func (a *attempt) resetStale() {
	for _, s := range a.stale {
		s.Reset()
	}
}

// interrupted tells how an attempt ended whose context ended.
func (a *attempt) interrupted(ctx context.Context) outcome.Ended {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case !a.mayRun && late:
		return outcome.HasNotRun(outcome.ReasonDeadline)
	case !a.mayRun:
		return outcome.HasNotRun(outcome.ReasonCanceled)
	case late:
		return outcome.MayHaveRun(outcome.ReasonLateAnswer)
	default:
		return outcome.MayHaveRun(outcome.ReasonCanceled)
	}
}

// over makes the attempt over one route. An error means that the route failed.
func (a *attempt) over(ctx context.Context, r route) (*wire.AnswerEnd, error) {
	s, err := a.open(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	end, err := a.exchange(s, r)
	switch {
	case !stop():
		s.Reset()
	case err != nil:
		a.stale = append(a.stale, s)
	default:
		s.Close()
	}
	return end, err
}

func (a *attempt) open(ctx context.Context, r route) (link.Stream, error) {
	timeout := dialTimeout
	if r == routeFresh {
		timeout = min(timeout, dialTimeoutAcks*a.in.paths.ackTimeout(a.u.Node))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r != routeRelay {
		return a.in.cfg.Dialer.Open(ctx, a.u.LinkAddr)
	}
	relay := a.relay()
	if relay == "" {
		return nil, errSilent
	}
	a.in.stats.relays.Add(1)
	s, err := a.in.cfg.Dialer.Open(ctx, relay)
	if err != nil {
		return nil, err
	}
	if err := wire.Write(s, wire.FrameRelay, wire.RelayHead{Addr: a.u.LinkAddr}); err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// relay chooses a third node whose path is not in trouble, in this region if
// there is one.
func (a *attempt) relay() string {
	best := ""
	offset := int(a.rq.fingerprint % uint64(max(1, len(a.v.Nodes))))
	for i := range a.v.Nodes {
		n := &a.v.Nodes[(i+offset)%len(a.v.Nodes)]
		if n.ID == a.u.Node || a.in.paths.troubled(n.ID) {
			continue
		}
		if n.Region == a.v.Self.Region {
			return n.LinkAddr
		}
		best = n.LinkAddr
	}
	return best
}

// exchange sends the attempt on s and takes the answer.
func (a *attempt) exchange(s link.Stream, r route) (*wire.AnswerEnd, error) {
	sent := time.Now()
	if err := a.send(s); err != nil {
		return nil, err
	}
	timeout := a.in.paths.ackTimeout(a.u.Node)
	if r == routeRelay {
		timeout = maxAckTimeout + dialTimeout
	}
	s.SetReadDeadline(sent.Add(timeout))
	var ack wire.Ack
	if err := wire.Read(s, wire.FrameAck, &ack); err != nil {
		if a.mayRun && !a.acked && a.exposed == nil {
			known := a.in.paths.lifetime(a.u.Node)
			a.exposed = &known
		}
		return nil, silentIfTimeout(err)
	}
	if !a.acked {
		a.acked, a.head.Lifetime = true, ack.Lifetime
	}
	a.in.paths.met(a.u.Node, ack.Lifetime)
	if r != routeRelay {
		a.in.paths.acked(a.u.Node, time.Since(sent))
	}
	if !a.rq.kind.Idempotent && !ack.Declined {
		if err := a.sendRest(s); err != nil {
			return nil, err
		}
	}
	return a.out.receive(s, a.rq)
}

// send writes the request. Of one that may not run twice only the head is sent:
// the dispatcher runs nothing before the end of the request, so as long as no
// acknowledgement has come, the request is known not to have run.
func (a *attempt) send(s link.Stream) error {
	head, err := wire.Encode(a.head)
	if err != nil {
		return err
	}
	if !a.rq.kind.Idempotent {
		return s.WriteFrame(wire.FrameAttempt, head)
	}
	if err := s.BufferFrame(wire.FrameAttempt, head); err != nil {
		return err
	}
	return a.sendRest(s)
}

// sendRest writes what follows the head, which lets the dispatcher run the
// request.
func (a *attempt) sendRest(s link.Stream) error {
	a.mayRun = true
	if err := bufferChunks(s, a.rq.body); err != nil {
		return err
	}
	return s.WriteFrame(wire.FrameEnd, nil)
}

func bufferChunks(s link.Stream, b []byte) error {
	for len(b) > 0 {
		n := min(len(b), link.MaxPayload)
		if err := s.BufferFrame(wire.FrameData, b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func silentIfTimeout(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errSilent
	}
	return err
}
