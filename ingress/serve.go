package ingress

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/httpdrain"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
)

// Finished describes a request that has ended, for Config.Record.
type Finished struct {
	Service  string
	Kind     string
	Level    int
	Ended    outcome.Ended
	Status   int
	Latency  time.Duration
	Attempts int
}

// callerWriteTimeout is how long after the deadline of a request its caller may take to read the answer, which
// may have come at the last moment. The request of a caller that does not read would never end.
const callerWriteTimeout = 10 * time.Second

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer in.inFlight.begin()()
	defer in.logPanic(r)
	in.stats.requests.Add(1)
	began := time.Now()
	// Writers that support no deadlines, as in tests, do not block.
	conn := http.NewResponseController(w)
	conn.SetWriteDeadline(time.Time{}) // that of the connection's previous request
	v := in.awaitConfig(r, began)
	if v.Leaving || in.inFlight.isClosed() {
		// Makes the caller open its next connection, which can then go to another node.
		w.Header().Set("Connection", "close")
	}
	v, rq, err := in.parseWithNewest(v, r, began)
	removeCredential(r.Header, in.cfg.CallerProtocol.Credential)
	if err == nil {
		err = in.readBody(v, rq, w)
		defer rq.releaseBody()
	}
	if err == nil && !in.withinRate(v, rq.caller) {
		err = refuse(outcome.ReasonRateLimited, "caller %s is over its rate", rq.caller)
	}
	if err == nil {
		err = in.checkRoom(rq, began)
	}
	if err != nil {
		in.refuse(w, rq, err)
		return
	}
	conn.SetWriteDeadline(rq.deadline.Add(callerWriteTimeout))
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	defer context.AfterFunc(in.interruptCtx, cancel)()
	returnToken, err := in.takeToken(ctx, rq)
	if err != nil {
		in.refuse(w, rq, err)
		return
	}
	// A call that the quota refuses uses no capacity of its service, so it is not counted as a call of its run.
	in.recordCall(rq)
	h := &requestHandler{in: in, view: v, rq: rq, answer: &answer{w: w}}
	e := h.run(ctx)
	returnToken(e)
	h.finish(w, e)
}

// logPanic logs a panic of the goroutine that serves r, and ends the caller's connection. The HTTP server would do
// the same without a line in the log.
func (in *Ingress) logPanic(r *http.Request) {
	switch p := recover(); p {
	case nil:
	case http.ErrAbortHandler:
		panic(p)
	default:
		in.stats.panics.Add(1)
		in.log.Error("request handler panicked", "method", r.Method, "path", r.URL.Path, "fault", p, "stack", string(debug.Stack()))
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request that is refused before any attempt.
func (in *Ingress) refuse(w http.ResponseWriter, rq *request, err error) {
	r := asRefusal(err)
	e := outcome.HasNotRun(r.reason)
	in.stats.notRun.Add(1)
	if r.reason == outcome.ReasonUnknownKey {
		in.stats.unknownKeys.Add(1)
	}
	in.reportFailed(rq)
	in.log.Info("request refused", "request", rq.id, "reason", string(r.reason), "message", r.message, "customer", rq.customerName())
	writeFailure(w, rq.id, e, r.message, in.retryAfter(r.retryAfter))
	in.trace.add(Trace{RequestID: rq.id, Began: rq.began, Customer: rq.customerName(), Ended: e, Message: r.message})
}

func asRefusal(err error) *refusal {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{reason: outcome.ReasonInternal, message: err.Error()}
	}
	return r
}

// retryAfter returns d in the resolution that callers understand.
func (in *Ingress) retryAfter(d time.Duration) time.Duration {
	if in.cfg.CallerProtocol.FractionalRetryAfter {
		return d
	}
	return (d + time.Second - 1).Truncate(time.Second)
}

// requestHandler carries one request through its attempts.
type requestHandler struct {
	in       *Ingress
	view     *board.View
	rq       *request
	answer   *answer
	attempts int
	// usedCapacity is set once an attempt has used an upstream's capacity, or was refused for lack
	// of capacity. Until then, the next attempt counts as a first attempt and not as a retry.
	usedCapacity bool
	runs         int // attempts that an upstream may have run
	// arrived is set once an attempt may have arrived at an upstream, also if that refused it.
	arrived bool
	// budgetDeclines counts the attempts that were declined for want of a retry budget.
	budgetDeclines int
	// handedBack is set once a node that had to stop has ended a run of the request.
	handedBack bool
	// attemptsBefore is the number of attempts that were made until then.
	attemptsBefore int
	// retryGranted is set while a retry that a dispatcher has granted is unused.
	retryGranted bool
	// declined lists the upstreams that declined an attempt. Attempts that insist may go to them
	// again.
	declined []fleet.UpstreamID
	// allDeclined is set once all remaining upstreams have declined.
	allDeclined bool
	// longQueues is the number of upstreams whose queues were too long for the request.
	longQueues int
	// askOthers is set while upstreams that were not asked yet are preferred to those that declined.
	askOthers bool
	tried     []fleet.UpstreamID // upstreams with an attempt that they did not decline
	trace     []AttemptTrace
}

// run makes attempts until the outcome is final or no further attempt is allowed.
func (h *requestHandler) run(ctx context.Context) outcome.Ended {
	retries := h.in.retriesOf(h.rq.service.Name)
	retries.recordFirstAttempt(time.Now())
	last := outcome.HasNotRun(outcome.ReasonNoUpstream)
	mayHaveRun := false
	for {
		e, ok := h.attempt(ctx)
		if !ok {
			if h.attempts == 0 {
				return e
			}
			return last
		}
		last = combineOutcomes(last, e, mayHaveRun)
		mayHaveRun = mayHaveRun || e.Outcome != outcome.NotRun
		if h.waitForHolder(ctx, e) {
			continue
		}
		if !h.shouldRetry(retries, e) {
			return last
		}
		if e.Outcome == outcome.Answered {
			h.answer.keepAsFallback()
		}
		h.in.stats.retries.Add(1)
		// Membership may have changed since the request arrived.
		h.view = h.in.cfg.View()
	}
}

// combineOutcomes returns the outcome of a request whose latest attempt ended with e. last is the
// outcome before that attempt, and mayHaveRun tells whether an earlier attempt may have run. "not
// run" holds for a single attempt: if an earlier one may have run, the request may have run.
func combineOutcomes(last, e outcome.Ended, mayHaveRun bool) outcome.Ended {
	if e.Outcome != outcome.NotRun || !mayHaveRun {
		return e
	}
	if last.Outcome == outcome.Answered {
		// An earlier attempt was answered with a server error, which was set aside for this attempt.
		return outcome.MayHaveRun(outcome.ReasonLostUpstream)
	}
	return last
}

// holderPollInterval is how often a request is attempted again while another request holds its
// idempotency key.
const holderPollInterval = 150 * time.Millisecond

// waitForHolder waits for holderPollInterval and returns true if another request holds the
// idempotency key and may finish before the deadline. A caller that lost its connection and sent
// the request again then gets the answer of the first run.
func (h *requestHandler) waitForHolder(ctx context.Context, e outcome.Ended) bool {
	if e != outcome.MayHaveRun(outcome.ReasonHeldByOther) || time.Until(h.rq.deadline) < 2*holderPollInterval {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(holderPollInterval):
		// Any upstream may be tried again: what decides is the claim on the key, not the upstream.
		h.tried = nil
		h.view = h.in.cfg.View()
		return true
	}
}

// shouldRetry reports whether another attempt follows one that ended with e. If so, it takes the
// retry from the budget, if the ingress keeps one.
func (h *requestHandler) shouldRetry(retries *serviceRetries, e outcome.Ended) bool {
	now := time.Now()
	switch {
	case h.answer.begun, !h.rq.body.Replayable():
		return false
	case h.budgetDeclines >= maxBudgetDeclines:
		retries.pause(now)
		return false
	}
	if e.Outcome == outcome.Answered {
		if !h.answer.retryStatus || h.answer.head.Status < http.StatusInternalServerError {
			return false
		}
		// A server error in answer to an idempotent request is retried like a lost answer.
		e = outcome.MayHaveRun(outcome.ReasonLostUpstream)
	}
	return retries.allow(now, retry.RequestState{
		Ended:      e,
		Idempotent: h.rq.kind.Idempotent,
		Attempts:   h.countedAttempts(),
		Free:       h.retryGranted || !e.UsedCapacity(),
		Runs:       h.runs,
		MaxRuns:    h.maxRuns(),
		Deadline:   h.rq.deadline,
	})
}

// mayRetry reports whether an idempotent request would probably get another attempt if the present one
// failed now.
func (h *requestHandler) mayRetry() bool {
	now := time.Now()
	return h.rq.body.Replayable() && h.countedAttempts() < retry.MaxAttempts && h.budgetDeclines < maxBudgetDeclines &&
		now.Before(h.rq.deadline) && h.in.retriesOf(h.rq.service.Name).wouldAllow(now)
}

// attempt chooses an upstream and makes one attempt. ok is false if there was no upstream to
// choose.
func (h *requestHandler) attempt(ctx context.Context) (e outcome.Ended, ok bool) {
	now := time.Now()
	u, reason := h.pick(now)
	if u == nil {
		return outcome.HasNotRun(reason), false
	}
	h.attempts++
	h.in.stats.attempts.Add(1)
	h.answer.retryStatus = h.rq.kind.Idempotent && h.runs+1 < h.maxRuns()
	h.answer.mayRetry = h.mayRetry
	a := &attempt{
		in:       h.in,
		rq:       h.rq,
		upstream: u,
		view:     h.view,
		head:     h.rq.head(h.rq.id+"-"+strconv.Itoa(h.attempts), u, h.usedCapacity, now),
		answer:   h.answer,
	}
	if a.head.RemainingMs <= 0 {
		return outcome.HasNotRun(outcome.ReasonDeadline), true
	}
	a.head.Notice = h.in.loads.notice(u.ID)
	a.head.HandedBack, a.head.Repeatable = h.handedBack, h.repeatable(now)
	a.head.RetryGranted, a.head.SameNode = h.retryGranted, u.Node == h.view.Self.ID
	a.head.Repeat, a.head.RepeatedCalls = h.arrived, h.in.retriesOf(h.rq.service.Name).takeRepeatedCalls()
	a.head.Insist, a.head.MayHaveRun, a.head.LastRun = h.insists(), h.runs > 0, h.lastRun(now)
	entry := h.in.loads.entry(u.ID)
	entry.begin()
	e, end := a.run(ctx)
	entry.finish(end, time.Now())
	e = h.fence(ctx, a, e)
	h.recordAttempt(u, e, end)
	h.in.recordRoom(h.rq, e, end, time.Now())
	h.trace = append(h.trace, AttemptTrace{u.ID, u.Node, time.Since(now), e.Outcome.String(), string(e.Reason)})
	return e, true
}

// finish answers the caller, and logs and records the end of the request.
func (h *requestHandler) finish(w http.ResponseWriter, e outcome.Ended) {
	if e.Outcome != outcome.Answered && h.answer.restoreFallback() {
		e = outcome.Ended{Outcome: outcome.Answered}
	}
	status := statusOf(e)
	answered := e.Outcome == outcome.Answered
	if answered {
		status = h.answer.head.Status
	}
	h.in.count(e.Outcome)
	h.in.record(h, e, status)
	h.in.recordCallEnd(h.rq, e, status)
	if status >= http.StatusBadRequest {
		h.in.reportFailed(h.rq)
	}
	h.log(e, status)
	switch {
	case answered:
		h.answer.writeHeld(h.rq)
	case h.answer.begun:
		if h.answer.stalled {
			h.in.stats.unread.Add(1)
			h.in.log.Warn("answer ended since its caller does not read it", "request", h.rq.id, "caller", h.rq.caller,
				"sent_bytes", h.answer.received, "of_bytes", h.answer.head.BodyBytes)
		}
		// Part of the answer has been sent. Returning normally would make it look complete, so the
		// caller's connection is aborted.
		if h.answer.head.BodyBytes < 0 && !h.rq.http.ProtoAtLeast(1, 1) {
			httpdrain.Reset(w) // for this caller, the end of the connection is the end of the answer
		}
		panic(http.ErrAbortHandler)
	default:
		writeFailure(w, h.rq.id, e, "", h.in.retryAfter(spreadRetryAfter(e)))
	}
}

// log writes the outcome of the request and its attempts.
func (h *requestHandler) log(e outcome.Ended, status int) {
	h.in.log.Info("request ended",
		"request", h.rq.id, "service", h.rq.service.Name, "kind", h.rq.kind.Name, "rank", h.rq.level, "customer", h.rq.customerName(), "parent", h.rq.parentKind(),
		"status", status, "outcome", e.Outcome.String(), "reason", string(e.Reason),
		"ms", time.Since(h.rq.began).Milliseconds(), "left_ms", time.Until(h.rq.deadline).Milliseconds(), "interrupted", h.in.interruptCtx.Err() != nil,
		"config", h.view.Config.Version.String(), "attempts", formatAttempts(h.trace))
}

func (in *Ingress) count(o outcome.Outcome) {
	switch o {
	case outcome.Answered:
		in.stats.answered.Add(1)
	case outcome.NotRun:
		in.stats.notRun.Add(1)
	default:
		in.stats.unknown.Add(1)
	}
}

func (in *Ingress) record(h *requestHandler, e outcome.Ended, status int) {
	latency := time.Since(h.rq.began)
	label := h.rq.service.Name + "/" + strconv.Itoa(h.rq.level) + "/" + e.Outcome.String()
	in.stats.latency.Record(label, latency)
	if e.Reason != outcome.ReasonNone {
		label += "/" + string(e.Reason)
	}
	in.stats.ended.Add(label, 1)
	in.trace.add(Trace{
		RequestID: h.rq.id,
		Began:     h.rq.began,
		Service:   h.rq.service.Name,
		Kind:      h.rq.kind.Name,
		Caller:    h.rq.caller,
		Customer:  h.rq.customerName(),
		Ended:     e,
		Status:    status,
		Latency:   latency,
		Attempts:  h.trace,
	})
	if in.cfg.Record != nil {
		in.cfg.Record(Finished{h.rq.service.Name, h.rq.kind.Name, h.rq.level, e, status, latency, h.attempts})
	}
}

// Maintain drops the entries of upstreams and nodes that are no longer in use. It is called about
// once a minute.
func (in *Ingress) Maintain(now time.Time) {
	in.loads.expire(now)
	used := map[fleet.NodeID]bool{}
	v := in.cfg.View()
	used[v.Self.ID] = true
	for i := range v.Nodes {
		used[v.Nodes[i].ID] = true
	}
	in.paths.keepOnly(func(id fleet.NodeID) bool { return used[id] })
}
