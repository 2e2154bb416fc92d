package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/capacity"
	"github.com/godwithub/godwithub/dispatch/httpconn"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// copyBufferSize is the size of the buffers for answer bodies, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// run waits for a slot and the claim of an attempt, sends it to its upstream and writes the answer
// to w.
func (d *Dispatcher) run(a *attempt, head *wire.AttemptHead, body *requestBody, w *answerWriter) wire.AnswerEnd {
	c := a.claim
	u, leaving := d.lookUp(fleet.UpstreamID(head.Upstream))
	switch {
	case leaving:
		c.abandon()
		return newAnswerEnd(nil, outcome.HasNotRun(outcome.ReasonDraining))
	case u == nil:
		c.abandon()
		return newAnswerEnd(nil, outcome.HasNotRun(outcome.ReasonUpstreamGone))
	case d.cfg.Crashes != nil && d.cfg.Crashes.Refused(head.Fingerprint):
		c.abandon()
		return newAnswerEnd(u, outcome.HasNotRun(outcome.ReasonCrashing))
	}
	queuedAt := time.Now()
	ticket, e, ok := u.acquire(a.ctx, d.ticket(a, head), head)
	a.expected = ticket.Expected
	a.queued = time.Since(queuedAt)
	if !ok {
		c.abandon()
		return newAnswerEnd(u, e)
	}
	if record, e, ok := c.wait(a.ctx); !ok {
		u.release(ticket, 0)
		if record != nil && w.writeRecord(record) != nil {
			e = outcome.MayHaveRun(outcome.ReasonAnswerGone)
		}
		return newAnswerEnd(u, e)
	}
	// An attempt that came before the stop began may have waited until now. An upload can go elsewhere only until its body
	// is asked for.
	if deadline, _ := a.ctx.Deadline(); d.outlivesStop(head, deadline) {
		u.release(ticket, 0)
		c.abandon()
		return newAnswerEnd(u, outcome.HasNotRun(outcome.ReasonDraining))
	}
	if err := body.begin(w); err != nil {
		// The ingress has left, or has not sent a byte by the deadline.
		u.release(ticket, 0)
		c.abandon()
		return newAnswerEnd(u, outcome.HasNotRun(outcome.ReasonCanceled))
	}
	if !u.start(ticket, head.Fingerprint) {
		u.release(ticket, 0)
		c.abandon()
		return newAnswerEnd(u, outcome.HasNotRun(outcome.ReasonDraining))
	}
	if head.MayHaveRun && d.cfg.Repeated != nil {
		d.cfg.Repeated(u.service)
	}
	sentAt := time.Now()
	running := &RunningRequest{
		Service: u.service, Kind: head.Kind, level: ticket.Level, customerLevel: d.customerLevel(head) != nil,
		repeat: head.Repeat, began: sentAt, deadline: ticket.Deadline,
	}
	d.running.begin(head.RequestID, running)
	stopTimer := u.startEarlySuccessTimer(sentAt)
	e, result := d.exchange(a, u, head, body, w)
	stopTimer()
	d.running.end(head.RequestID, running)
	serviceTime := time.Since(sentAt)
	a.served = serviceTime
	retryGranted := u.grantRetry(time.Now(), head, e, result)
	if result == ResultBroken && d.checkCrash(u) {
		// Crashes are detected separately and are no evidence of a gray failure.
		result = ResultRefused
	}
	callFailed := result == ResultError && d.failedByCall(running, sentAt.Add(serviceTime))
	if callFailed {
		// The upstream failed because a call of its own did.
		result = ResultRefused
		d.stats.failedByCall.Add(1)
	}
	d.kinds.record(running, serviceTime, result, callFailed)
	if d.cfg.Crashes != nil && e.Outcome == outcome.Answered {
		d.cfg.Crashes.Completed(u.service, head.Fingerprint)
	}
	if failed, conclusive := d.evidence(head, result, serviceTime); conclusive {
		d.recordResult(u, sentAt, time.Now(), failed)
	}
	u.release(ticket, workTime(result, serviceTime))
	c.finish(e, a)
	d.cfg.Observe(Observation{u.id, u.service, head.Kind, result, serviceTime, sentAt, head.Fingerprint})
	end := newAnswerEnd(u, e)
	end.NoRoom = d.kinds.noRoom(time.Now(), head.Kind)
	end.RetryGranted = retryGranted
	return end
}

// workTime returns how long the upstream worked on an attempt, or 0 if it did not do the work:
// failing upstreams fail requests at once, so that time says nothing about the work.
func workTime(r Result, serviceTime time.Duration) time.Duration {
	if r == ResultOK || r == ResultTimeout {
		return max(serviceTime, 1)
	}
	return 0
}

// newAnswerEnd returns the end of an answer, with the load of u unless u is nil.
func newAnswerEnd(u *upstream, e outcome.Ended) wire.AnswerEnd {
	end := wire.AnswerEnd{Outcome: e.Outcome, Reason: e.Reason}
	if u != nil {
		end.Load = u.load()
	}
	return end
}

func (d *Dispatcher) requestKind(head *wire.AttemptHead) *resource.RequestKind {
	if c := d.cfg.Configuration(); c != nil {
		return c.Kinds[head.Kind]
	}
	return nil
}

// customerFlow precedes the name of a customer in Ticket.Caller. No name of a caller and no IP address begins with it.
const customerFlow = "customer:"

// ticket returns the ticket of the attempt for the admission queue.
func (d *Dispatcher) ticket(a *attempt, head *wire.AttemptHead) admission.Ticket {
	t := d.ticketByRank(a, head)
	if head.HandedBack {
		t.Level, t.Call, t.Retry = mostUrgentLevel, true, false
	}
	return t
}

// ticketByRank returns the ticket by the rank of the attempt and its run. An attempt whose kind this node
// does not know yet gets the least urgent level.
func (d *Dispatcher) ticketByRank(a *attempt, head *wire.AttemptHead) admission.Ticket {
	deadline, _ := a.ctx.Deadline()
	t := admission.Ticket{Level: leastUrgentLevel, Caller: head.Caller, Weight: 1, Deadline: deadline, Retry: head.Retry}
	if head.Customer != "" {
		// Customers are told apart by their names: they may share addresses, and names of callers are
		// not verified.
		t.Caller = customerFlow + head.Customer
	}
	t.Expected = d.kinds.work(head.Kind)
	c, k := d.cfg.Configuration(), d.requestKind(head)
	if k == nil {
		return t
	}
	if r := c.Ranks[k.Rank]; r != nil {
		t.Level = r.Level
	}
	if level := d.customerLevel(head); level != nil {
		t.Level = *level
	}
	applyParent(&t, head)
	if caller := c.Callers[head.Caller]; caller != nil {
		t.Weight = caller.Weight
	}
	return t
}

// customerLevel returns the rank level of the customer whose request the attempt serves, directly or as
// a call, or nil if no customer has one.
func (d *Dispatcher) customerLevel(head *wire.AttemptHead) *int {
	if head.Parent != nil && head.Parent.CustomerLevel {
		return &head.Parent.Level
	}
	if c := d.cfg.Configuration(); c != nil && c.Customers[head.Customer] != nil {
		return c.Customers[head.Customer].Level
	}
	return nil
}

// applyParent makes the ticket of a call at least as urgent as the run that made it, which holds a slot
// meanwhile, and limits it to the time that this run has left.
func applyParent(t *admission.Ticket, head *wire.AttemptHead) {
	p := head.Parent
	if p == nil {
		return
	}
	t.Call, t.CompletedCalls = true, p.CompletedCalls
	if !p.CustomerLevel {
		t.Level = min(t.Level, p.Level)
	}
	if excess := head.Remaining() - p.Remaining(); excess > 0 {
		t.Deadline = t.Deadline.Add(-excess)
	}
	// Messages do not state the objective of the run, so its deadline stands for it.
	loss := capacity.Request{Level: t.Level, UntilObjective: p.Remaining(), UntilDeadline: p.Remaining(), Done: p.Spent(), Needed: t.Expected}
	t.Loss = loss.Loss()
}

const (
	// mostUrgentLevel is the level of attempts that were handed back: a stop must not cost their callers the answer.
	mostUrgentLevel = 0
	// leastUrgentLevel is the level of attempts whose rank is not known.
	leastUrgentLevel = 31
)

// exchange sends the request to the upstream and writes its answer to w.
func (d *Dispatcher) exchange(a *attempt, u *upstream, head *wire.AttemptHead, body *requestBody, w *answerWriter) (outcome.Ended, Result) {
	ctx, headReceived, release := d.exchangeContext(a, head)
	defer release()
	resp, err := d.roundTrip(ctx, u, head, body)
	headReceived()
	if err != nil {
		return classify(ctx, err, !errors.Is(err, httpconn.ErrNotSent))
	}
	defer resp.Body.Close()
	refusal := d.cfg.Protocol.Refusal(resp)
	if refusal == RefusedWrongUpstream {
		return outcome.HasNotRun(outcome.ReasonUpstreamGone), ResultRefused
	}
	d.readNotice(u, resp.Header)
	if refusal == RefusedFull {
		return outcome.HasNotRun(outcome.ReasonUpstreamShed), ResultRefused
	}
	err = w.writeHead(&wire.AnswerHead{
		RequestID: head.RequestID,
		Status:    resp.StatusCode,
		Headers:   EndToEnd(resp.Header),
		BodyBytes: resp.ContentLength,
	})
	if err != nil {
		d.logUnusable(u, head, err)
		return outcome.MayHaveRun(outcome.ReasonLostUpstream), ResultBroken
	}
	result := resultOf(resp.StatusCode)
	err = d.copyBody(w, resp)
	if err == nil {
		return outcome.Ended{Outcome: outcome.Answered}, result
	}
	e, interrupted := classify(ctx, err, true)
	switch {
	case errors.Is(err, errNoReader):
		e.Reason, interrupted = outcome.ReasonAnswerGone, ResultRefused
	case e.Reason == outcome.ReasonLostUpstream:
		e.Reason = outcome.ReasonShortAnswer
	}
	if result == ResultOK || interrupted == ResultBroken {
		result = interrupted
	}
	return e, result
}

// resultOf returns the result of an exchange that was answered with a status.
func resultOf(status int) Result {
	switch {
	case status == http.StatusGatewayTimeout:
		// The upstream reports that the deadline has passed.
		return ResultTimeout
	case status >= http.StatusInternalServerError:
		return ResultError
	}
	return ResultOK
}

// roundTrip sends the request and returns the head of its answer. If a kept connection turns out to be
// closed, an idempotent request is sent once more over a new one.
func (d *Dispatcher) roundTrip(ctx context.Context, u *upstream, head *wire.AttemptHead, body *requestBody) (*http.Response, error) {
	resp, err := u.client.Do(ctx, d.newRequest(ctx, u, head, body), head.RequestID)
	if errors.Is(err, httpconn.ErrStale) {
		// The upstream may have closed the other idle connections as well.
		u.client.CloseIdle()
		notSent := errors.Is(err, httpconn.ErrNotSent)
		if body.streamed == nil && (head.Idempotent || notSent) {
			if !notSent {
				u.countResend()
			}
			var again error
			resp, again = u.client.Do(ctx, d.newRequest(ctx, u, head, body), head.RequestID)
			// The first one may have run even if the second one was not sent.
			if notSent || !errors.Is(again, httpconn.ErrNotSent) {
				err = again
			}
		}
	}
	switch {
	case err == nil:
		return resp, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		d.withdrawGone(u)
	case errors.Is(err, httpconn.ErrForeignAnswer), errors.Is(err, httpconn.ErrHeadTooLarge), errors.Is(err, httpconn.ErrMalformed):
		d.logUnusable(u, head, err)
	}
	return nil, err
}

// unusableCause returns the label of an answer in stats.unusable that could not be used for err.
func unusableCause(err error) string {
	switch {
	case errors.Is(err, httpconn.ErrHeadTooLarge), errors.Is(err, link.ErrFrameTooLarge):
		return "head-too-large"
	case errors.Is(err, httpconn.ErrMalformed), errors.Is(err, wire.ErrMalformedAnswer):
		return "malformed"
	}
	return "foreign"
}

// logUnusable logs and counts an answer that is not passed on.
func (d *Dispatcher) logUnusable(u *upstream, head *wire.AttemptHead, err error) {
	d.stats.unusable.Add(unusableCause(err), 1)
	d.log.Error("unusable answer from an upstream", "upstream", u.id, "request", head.RequestID, "fault", err)
}

// classify returns the outcome and the result of an exchange that failed with err. sent says that
// there was a connection, so the upstream may have received the request.
func classify(ctx context.Context, err error, sent bool) (outcome.Ended, Result) {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	canceled := errors.Is(ctx.Err(), context.Canceled)
	interrupted := errors.Is(context.Cause(ctx), errInterrupted)
	switch {
	case interrupted && !sent:
		return outcome.HasNotRun(outcome.ReasonDraining), ResultRefused
	case interrupted:
		return outcome.MayHaveRun(outcome.ReasonStopped), ResultRefused
	case !sent && timedOut:
		return outcome.HasNotRun(outcome.ReasonDeadline), ResultRefused
	case !sent && canceled:
		return outcome.HasNotRun(outcome.ReasonCanceled), ResultRefused
	case !sent:
		return outcome.HasNotRun(outcome.ReasonConnect), ResultRefused
	case timedOut:
		return outcome.MayHaveRun(outcome.ReasonLateAnswer), ResultTimeout
	case canceled:
		return outcome.MayHaveRun(outcome.ReasonCanceled), ResultRefused
	default:
		return outcome.MayHaveRun(outcome.ReasonLostUpstream), ResultBroken
	}
}

// newRequest returns the HTTP request to the upstream.
func (d *Dispatcher) newRequest(ctx context.Context, u *upstream, head *wire.AttemptHead, body *requestBody) *http.Request {
	req := &http.Request{
		Method:        head.Method,
		URL:           head.URL(u.addr),
		Host:          head.Host,
		Header:        make(http.Header, len(head.Headers)+2),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: body.length,
	}
	if r := body.open(); r != nil {
		req.Body = r
	}
	for _, h := range head.Headers {
		req.Header[h.Name] = append(req.Header[h.Name], h.Value)
	}
	deadline, _ := ctx.Deadline()
	protocol := &d.cfg.Protocol
	setOrDelete(req.Header, protocol.RequestID, head.RequestID)
	setOrDelete(req.Header, protocol.DeadlineMs, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	setOrDelete(req.Header, protocol.ExpectedUpstream, string(u.id))
	setOrDelete(req.Header, protocol.Origin, head.Origin)
	setOrDelete(req.Header, protocol.Customer, head.Customer)
	if req.Header.Get("User-Agent") == "" {
		// net/http would add one of its own.
		req.Header["User-Agent"] = []string{""}
	}
	return req
}

// errNoReader means that an answer can neither be written to its ingress nor be kept for a resend.
var errNoReader = errors.New("dispatch: the ingress has left during a long answer")

// copyBody writes the body to w. The last bytes are buffered, to be sent with the end of the answer.
// A large body is read ahead of its ingress, so that the upstream is done early.
func (d *Dispatcher) copyBody(w *answerWriter, resp *http.Response) error {
	if resp.ContentLength > minReadAhead {
		w.attempt.dropBody()
		return copyAhead(w, w.beginReadAhead(d.ahead), resp.Body)
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	pending, total := 0, 0
	for {
		n, err := resp.Body.Read(buf[pending:])
		pending, total = pending+n, total+n
		switch {
		case errors.Is(err, io.EOF):
			w.writeLastBody(buf[:pending])
			return nil
		case err != nil:
			return err
		}
		w.writeBody(buf[:pending])
		pending = 0
		if !w.wanted() {
			return errNoReader
		}
		if total > minReadAhead {
			return copyAhead(w, w.beginReadAhead(d.ahead), resp.Body)
		}
	}
}
