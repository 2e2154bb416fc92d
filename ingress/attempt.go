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
	// dialTimeout bounds opening a connection to a dispatcher. Regions are 30 ms apart, and TCP
	// with TLS takes two round trips.
	dialTimeout = 500 * time.Millisecond
	// dialTimeoutAcks is a tighter bound for a path with a measured round trip time, as a multiple
	// of its acknowledgement timeout.
	dialTimeoutAcks = 2
	// maxBuffered is the largest answer body that is held back until it is complete, in bytes. As
	// the caller has seen none of it, another attempt can still replace an incomplete answer.
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
	in       *Ingress
	rq       *request
	upstream *board.Upstream
	view     *board.View
	head     *wire.AttemptHead
	// mayRun is set before the first frame is sent that lets the dispatcher run the request. Until
	// then the request is known not to have run.
	mayRun bool
	// acked is set once a dispatcher has acknowledged the attempt.
	acked bool
	// unackedIncarnation is set when the whole request was sent and no acknowledgement came back.
	// It is the last known incarnation of the dispatcher when the sending began. That one or a later
	// one may have run the request.
	unackedIncarnation *uint64
	// bodyFault is set if the body could not be read from the caller.
	bodyFault *bodyFault
	answer    *answer
	// failedStreams holds the streams of failed routes. They stay open until the attempt has ended,
	// since a dispatcher that sees a stream reset might cancel the attempt while it is sent again
	// over another route.
	failedStreams []link.Stream
}

// errDispatcherSilent is returned if the dispatcher did not acknowledge the attempt in time,
// stopped sending, or could not be reached because no node can relay.
var errDispatcherSilent = errors.New("ingress: dispatcher did not respond, or no node can relay")

// run makes the attempt. If a route fails, the attempt is sent again over the next one, unless part
// of its answer has been passed on to the caller. The dispatcher runs an attempt once, even if it
// arrives several times. The returned AnswerEnd is nil if the dispatcher sent none; it has no load if the
// end was not awaited.
func (a *attempt) run(ctx context.Context) (outcome.Ended, *wire.AnswerEnd) {
	began := time.Now()
	defer a.resetFailedStreams()
	var faults []error // of the routes
	for _, r := range a.routes() {
		end, err := a.tryRoute(ctx, r)
		if err == nil {
			return a.reportedOutcome(ctx, end), end
		}
		if ctx.Err() != nil {
			return a.interruptedOutcome(ctx), nil
		}
		if errors.Is(err, errErrorBody) {
			// The upstream had failed the attempt when the head of its answer came.
			return outcome.MayHaveRun(outcome.ReasonLongError), &wire.AnswerEnd{ServedMs: a.answer.headAt.Sub(began).Milliseconds()}
		}
		if errors.Is(err, wire.ErrMalformedAnswer) {
			// The dispatcher is of a version that passes such answers on. Its path works.
			a.in.stats.malformed.Add(1)
			a.in.log.Error("malformed answer from a dispatcher", "request", a.rq.id, "node", a.upstream.Node, "upstream", a.upstream.ID, "fault", err)
			return outcome.MayHaveRun(outcome.ReasonLostUpstream), &wire.AnswerEnd{ServedMs: time.Since(began).Milliseconds()}
		}
		faults = append(faults, err)
		a.in.log.Debug("route to dispatcher failed", "request", a.rq.id, "node", a.upstream.Node, "route", routeNames[r], "fault", err)
		if a.answer.begun {
			return outcome.MayHaveRun(outcome.ReasonShortAnswer), nil
		}
		if a.bodyFault != nil {
			return a.bodyFault.outcome(), nil
		}
		if !a.rq.body.Replayable() {
			break
		}
		if errors.Is(err, syscall.ECONNREFUSED) && r != routeRelay {
			// The process is gone, so no other route can reach it. Other nodes are preferred
			// until it is back or the membership shows that it is dead.
			a.in.pathFailed(a.upstream.Node, a.upstream.LinkAddr)
			break
		}
		switch r {
		case routeDirect:
			a.in.cfg.Dialer.Replace(a.upstream.LinkAddr)
			a.in.stats.resends.Add(1)
		case routeFresh:
			a.in.pathFailed(a.upstream.Node, a.upstream.LinkAddr)
		}
	}
	if !a.mayRun {
		return outcome.HasNotRun(outcome.ReasonPathDown), nil
	}
	a.in.log.Info("dispatcher lost", "request", a.rq.id, "node", a.upstream.Node, "upstream", a.upstream.ID, "acknowledged", a.acked,
		"ms", time.Since(began).Milliseconds(), "node_leaving", !a.upstream.LeavingSince.IsZero(), "faults", errors.Join(faults...))
	return outcome.MayHaveRun(outcome.ReasonLostDispatcher), nil
}

// routes returns the routes to try in turn. Over a path marked as failed, requests are relayed
// first, so that they do not wait for a timeout; pathFailed tests that path in the background.
func (a *attempt) routes() []route {
	if a.in.paths.hasFailed(a.upstream.Node) {
		return []route{routeRelay, routeFresh}
	}
	return []route{routeDirect, routeFresh, routeRelay}
}

// reportedOutcome returns the outcome of the attempt according to end. A dispatcher that saw an
// earlier stream of the attempt break reports it as canceled. If the caller is still there, that is
// changed to a failed path, which may be retried.
func (a *attempt) reportedOutcome(ctx context.Context, end *wire.AnswerEnd) outcome.Ended {
	e := outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}
	if e == outcome.HasNotRun(outcome.ReasonCanceled) && ctx.Err() == nil {
		e = outcome.HasNotRun(outcome.ReasonPathDown)
	}
	if e.Outcome == outcome.NotRun && a.unackedIncarnation != nil && *a.unackedIncarnation != a.head.Incarnation {
		// An earlier incarnation of the dispatcher may have run the attempt without having
		// acknowledged it.
		return outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	}
	return e
}

// resetFailedStreams resets the streams of failed routes.
func (a *attempt) resetFailedStreams() {
	for _, s := range a.failedStreams {
		s.Reset()
	}
}

// interruptedOutcome returns the outcome of an attempt whose context ended before its answer came.
func (a *attempt) interruptedOutcome(ctx context.Context) outcome.Ended {
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

// tryRoute makes the attempt over one route. An error means that the route failed.
func (a *attempt) tryRoute(ctx context.Context, r route) (*wire.AnswerEnd, error) {
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
		a.failedStreams = append(a.failedStreams, s)
	default:
		s.Close()
	}
	return end, err
}

func (a *attempt) open(ctx context.Context, r route) (link.Stream, error) {
	timeout := dialTimeout
	if r == routeFresh {
		timeout = min(timeout, dialTimeoutAcks*a.in.paths.ackTimeout(a.upstream.Node))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r != routeRelay {
		return a.in.cfg.Dialer.Open(ctx, a.upstream.LinkAddr)
	}
	relay := a.relay()
	if relay == "" {
		return nil, errDispatcherSilent
	}
	a.in.stats.relays.Add(1)
	s, err := a.in.cfg.Dialer.Open(ctx, relay)
	if err != nil {
		return nil, err
	}
	if err := wire.Write(s, wire.FrameRelay, wire.RelayHead{Addr: a.upstream.LinkAddr}); err != nil {
		s.Reset()
		return nil, err
	}
	return s, nil
}

// relay returns the link address of a third node whose path has not failed, preferably in this
// region, or "" if there is none.
func (a *attempt) relay() string {
	best := ""
	offset := int(a.rq.fingerprint % uint64(max(1, len(a.view.Nodes))))
	for i := range a.view.Nodes {
		n := &a.view.Nodes[(i+offset)%len(a.view.Nodes)]
		if n.ID == a.upstream.Node || a.in.paths.hasFailed(n.ID) {
			continue
		}
		if n.Region == a.view.Self.Region {
			return n.LinkAddr
		}
		best = n.LinkAddr
	}
	return best
}

// exchange sends the attempt on s and receives the answer.
func (a *attempt) exchange(s link.Stream, r route) (*wire.AnswerEnd, error) {
	sent, known, couldRun := time.Now(), a.in.paths.incarnation(a.upstream.Node), a.mayRun
	if err := a.send(s); err != nil {
		return nil, err
	}
	timeout := a.in.paths.ackTimeout(a.upstream.Node)
	if r == routeRelay {
		timeout = maxAckTimeout + dialTimeout
	}
	s.SetReadDeadline(sent.Add(timeout))
	var ack wire.Ack
	if err := wire.Read(s, wire.FrameAck, &ack); err != nil {
		if isNotRelayed(err) {
			a.mayRun = couldRun
			return nil, err
		}
		if a.mayRun && !a.acked && a.unackedIncarnation == nil {
			a.unackedIncarnation = &known
		}
		return nil, timeoutAsSilence(err)
	}
	if !a.acked {
		a.acked, a.head.Incarnation = true, ack.Incarnation
	}
	a.in.paths.setIncarnation(a.upstream.Node, ack.Incarnation)
	if r != routeRelay {
		a.in.paths.recordAck(a.upstream.Node, time.Since(sent))
	}
	if a.waitsForAck() && !a.head.Streamed && !ack.Declined {
		if err := a.sendRest(s); err != nil {
			return nil, err
		}
	}
	upload := &upload{attempt: a, stream: s}
	defer upload.stop()
	return a.answer.receive(s, a.rq, upload.start)
}

// isNotRelayed reports whether a relay has answered that it has passed nothing on.
func isNotRelayed(err error) bool {
	var unexpected *wire.UnexpectedFrameError
	return errors.As(err, &unexpected) && unexpected.Got == wire.FrameNotRelayed
}

// waitsForAck reports whether only the head is sent before the acknowledgement: the request must not run
// twice, or its body can be sent only once.
func (a *attempt) waitsForAck() bool { return !a.rq.kind.Idempotent || a.head.Streamed }

// send writes the request, or only its head if it waits for the acknowledgement. The dispatcher runs nothing before it has the end of the request, so without an
// acknowledgement the request is known not to have run.
func (a *attempt) send(s link.Stream) error {
	head, err := wire.Encode(a.head)
	if err != nil {
		return err
	}
	if a.waitsForAck() {
		return s.WriteFrame(wire.FrameAttempt, head)
	}
	if err := s.BufferFrame(wire.FrameAttempt, head); err != nil {
		return err
	}
	return a.sendRest(s)
}

// sendRest writes the body and the end of the request, after which the dispatcher may run it.
func (a *attempt) sendRest(s link.Stream) error {
	a.mayRun = true
	if err := bufferChunks(s, a.rq.body.Held()); err != nil {
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

func timeoutAsSilence(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errDispatcherSilent
	}
	return err
}
