package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// copyBuffer is the size of a buffer for answer bodies, in bytes.
const copyBuffer = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

func newTransport(maxConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// run takes an attempt through admission, claim and the upstream, and writes
// the answer to w.
func (d *Dispatcher) run(a *attempt, head *wire.AttemptHead, body []byte, w *answerWriter) wire.AnswerEnd {
	c := a.claim
	u, leaving, done := d.begin(fleet.UpstreamID(head.Upstream))
	defer done()
	switch {
	case leaving:
		c.abandon()
		return ended(nil, outcome.HasNotRun(outcome.ReasonDraining))
	case u == nil:
		c.abandon()
		return ended(nil, outcome.HasNotRun(outcome.ReasonUpstreamGone))
	case d.cfg.Crashes != nil && d.cfg.Crashes.Refused(head.Fingerprint):
		c.abandon()
		return ended(u, outcome.HasNotRun(outcome.ReasonCrashing))
	}
	offered := time.Now()
	ticket, e, ok := u.acquire(a.ctx, d.ticket(a, head), head)
	a.queued = time.Since(offered)
	if !ok {
		c.abandon()
		return ended(u, e)
	}
	if replay, e, ok := c.wait(a.ctx); !ok {
		u.release(ticket, 0)
		if replay != nil {
			w.writeRecord(replay)
		}
		return ended(u, e)
	}
	if !u.start(ticket, head.Fingerprint) {
		u.release(ticket, 0)
		c.abandon()
		return ended(u, outcome.HasNotRun(outcome.ReasonDraining))
	}
	if head.Repeat && d.cfg.Repeated != nil {
		d.cfg.Repeated(u.service)
	}
	began := time.Now()
	stopWatch := u.watchSurvival(began)
	e, result := d.exchange(a, u, head, body, w)
	stopWatch()
	service := time.Since(began)
	a.served = service
	if result == ResultBroken && d.checkCrash(u) {
		// A crash shows by itself; it is no sign of a gray failure.
		result = ResultRefused
	}
	if d.cfg.Crashes != nil && e.Outcome == outcome.Answered {
		d.cfg.Crashes.Completed(head.Fingerprint)
	}
	if failed, tells := d.evidence(head, result, service); tells {
		d.learn(u, began, time.Now(), failed)
	}
	u.release(ticket, workTime(result, service))
	c.finish(e, a)
	d.cfg.Observe(Observation{u.id, u.service, head.Kind, result, service, began, head.Fingerprint})
	return ended(u, e)
}

// workTime returns the time that the upstream worked on an attempt, or 0 if it
// did not do the work: one that fails its work does so at once.
func workTime(r Result, service time.Duration) time.Duration {
	if r == ResultOK || r == ResultTimeout {
		return max(service, 1)
	}
	return 0
}

func ended(u *upstream, e outcome.Ended) wire.AnswerEnd {
	end := wire.AnswerEnd{Outcome: e.Outcome, Reason: e.Reason}
	if u != nil {
		end.Load = u.load()
	}
	return end
}

func (d *Dispatcher) kind(head *wire.AttemptHead) *resource.RequestKind {
	if c := d.cfg.Configuration(); c != nil {
		return c.Kinds[head.Kind]
	}
	return nil
}

// ticket describes the attempt to the queue. A kind that this node does not
// know yet gets the least urgent level.
func (d *Dispatcher) ticket(a *attempt, head *wire.AttemptHead) admission.Ticket {
	deadline, _ := a.ctx.Deadline()
	t := admission.Ticket{Level: leastUrgent, Caller: head.Caller, Weight: 1, Deadline: deadline, Retry: head.Retry}
	c, k := d.cfg.Configuration(), d.kind(head)
	if k == nil {
		return t
	}
	if r := c.Ranks[k.Rank]; r != nil {
		t.Level = r.Level
	}
	if caller := c.Callers[head.Caller]; caller != nil {
		t.Weight = caller.Weight
	}
	return t
}

// leastUrgent is the level of work whose rank is not known.
const leastUrgent = 31

// exchange sends the request to the upstream and passes the answer on.
func (d *Dispatcher) exchange(a *attempt, u *upstream, head *wire.AttemptHead, body []byte, w *answerWriter) (outcome.Ended, Result) {
	ctx := a.ctx
	if !head.Idempotent {
		// A request that may not run twice is not cut off half-way when its
		// caller goes away: its outcome would be unknown for good.
		deadline, _ := ctx.Deadline()
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.Background(), deadline)
		defer cancel()
	}
	req, sent := d.newRequest(ctx, u, head, body)
	resp, err := u.client.RoundTrip(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.refusesConnections(u)
		}
		return classify(ctx, err, sent.Load())
	}
	defer resp.Body.Close()
	protocol := &d.cfg.Upstreams
	if !protocol.owns(resp.Header, head.RequestID) {
		d.log.Error("upstream answered another request", "upstream", u.id, "request", head.RequestID, "got", resp.Header.Get(protocol.RequestID))
		return outcome.MayHaveRun(outcome.ReasonShortAnswer), ResultBroken
	}
	switch protocol.Refusal(resp) {
	case RefusedFull:
		return outcome.HasNotRun(outcome.ReasonUpstreamShed), ResultRefused
	case RefusedOther:
		return outcome.HasNotRun(outcome.ReasonUpstreamGone), ResultRefused
	}
	w.head(&wire.AnswerHead{
		RequestID: head.RequestID,
		Status:    resp.StatusCode,
		Headers:   EndToEnd(resp.Header),
		BodyBytes: resp.ContentLength,
	})
	if err := copyBody(w, resp.Body); err != nil {
		e, result := classify(ctx, err, true)
		if e.Reason == outcome.ReasonLostUpstream {
			e.Reason = outcome.ReasonShortAnswer
		}
		return e, result
	}
	switch {
	case resp.StatusCode == http.StatusGatewayTimeout:
		// The upstream ran out of the time that it was given.
		return outcome.Ended{Outcome: outcome.Answered}, ResultTimeout
	case resp.StatusCode >= http.StatusInternalServerError:
		return outcome.Ended{Outcome: outcome.Answered}, ResultError
	}
	return outcome.Ended{Outcome: outcome.Answered}, ResultOK
}

// classify tells how an exchange failed. sent says that a connection was there,
// so that the upstream may have received the request.
func classify(ctx context.Context, err error, sent bool) (outcome.Ended, Result) {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	gone := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !sent && late:
		return outcome.HasNotRun(outcome.ReasonDeadline), ResultRefused
	case !sent && gone:
		return outcome.HasNotRun(outcome.ReasonCanceled), ResultRefused
	case !sent:
		return outcome.HasNotRun(outcome.ReasonConnect), ResultRefused
	case late:
		return outcome.MayHaveRun(outcome.ReasonLateAnswer), ResultTimeout
	case gone:
		return outcome.MayHaveRun(outcome.ReasonCanceled), ResultRefused
	default:
		return outcome.MayHaveRun(outcome.ReasonLostUpstream), ResultBroken
	}
}

// opaqueBody hides the type of a body from net/http, which otherwise sends a
// request again on its own when a kept connection breaks.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

func (d *Dispatcher) newRequest(ctx context.Context, u *upstream, head *wire.AttemptHead, body []byte) (*http.Request, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req := &http.Request{
		Method:        head.Method,
		URL:           head.URL(u.addr),
		Host:          head.Host,
		Header:        make(http.Header, len(head.Headers)+2),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 || !head.Idempotent {
		req.Body = opaqueBody{bytes.NewReader(body)}
	}
	for _, h := range head.Headers {
		req.Header[h.Name] = append(req.Header[h.Name], h.Value)
	}
	deadline, _ := ctx.Deadline()
	protocol := &d.cfg.Upstreams
	set(req.Header, protocol.RequestID, head.RequestID)
	set(req.Header, protocol.DeadlineMs, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	set(req.Header, protocol.Expected, string(u.id))
	set(req.Header, protocol.Origin, head.Origin)
	return req.WithContext(httptrace.WithClientTrace(ctx, trace)), sent
}

// copyBody passes the body on. The last bytes are queued rather than sent, to
// leave with the end of the answer.
func copyBody(w *answerWriter, body io.Reader) error {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	pending := 0
	for {
		n, err := body.Read(buf[pending:])
		pending += n
		switch {
		case errors.Is(err, io.EOF):
			w.last(buf[:pending])
			return nil
		case err != nil:
			return err
		}
		w.data(buf[:pending])
		pending = 0
	}
}
