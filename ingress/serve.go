package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
)

// Finished describes a request that has ended, for reports.
type Finished struct {
	Service  string
	Kind     string
	Level    int
	Ended    outcome.Ended
	Status   int
	Latency  time.Duration
	Attempts int
}

// ServeHTTP implements http.Handler.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.active.Add(1)
	defer in.active.Done()
	in.stats.requests.Add(1)
	began := time.Now()
	v := in.awaitConfig(r, began)
	if v.Leaving {
		// The caller should open its next connection to another node.
		w.Header().Set("Connection", "close")
	}
	rq, err := in.parse(v, r, began)
	if err == nil && !in.withinRate(v, rq.caller) {
		err = refuse(outcome.ReasonRateLimited, "caller %s is over its rate", rq.caller)
	}
	if err != nil {
		in.refuse(w, rq, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	defer context.AfterFunc(in.ending, cancel)()
	s := &serving{in: in, v: v, rq: rq, out: &answer{w: w}}
	s.finish(w, s.run(ctx))
}

// refuse answers a request that gets no attempt.
func (in *Ingress) refuse(w http.ResponseWriter, rq *request, err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = &refusal{outcome.ReasonInternal, err.Error()}
	}
	e := outcome.HasNotRun(r.reason)
	in.stats.notRun.Add(1)
	in.log.Info("request refused", "request", rq.id, "reason", string(r.reason), "message", r.message)
	fail(w, rq.id, e, r.message)
	in.trace.add(Trace{RequestID: rq.id, Began: rq.began, Ended: e, Message: r.message})
}

// serving is a request on its way through attempts.
type serving struct {
	in       *Ingress
	v        *board.View
	rq       *request
	out      *answer
	attempts int
	// loaded says that an attempt loaded an upstream, or was refused for lack of
	// capacity. Until then the next one counts as the first.
	loaded bool
	runs   int // attempts that an upstream may have run
	// declined lists the upstreams that declined an attempt. They may be tried
	// again by one that insists.
	declined []fleet.UpstreamID
	// noneLeft says that all upstreams that are left have declined.
	noneLeft bool
	tried    []fleet.UpstreamID
	trace    []AttemptTrace
}

// run makes attempts until one settles the request.
func (s *serving) run(ctx context.Context) outcome.Ended {
	budget := s.in.budget(s.rq.service.Name)
	budget.first(time.Now(), s.in.cfg.RetryLimits)
	last := outcome.HasNotRun(outcome.ReasonNoUpstream)
	mayHaveRun := false
	for {
		e, ok := s.attempt(ctx)
		if !ok {
			if s.attempts == 0 {
				return e
			}
			return last
		}
		last = settle(last, e, mayHaveRun)
		mayHaveRun = mayHaveRun || e.Outcome != outcome.NotRun
		if s.waitForHolder(ctx, e) {
			continue
		}
		if !s.again(budget, e) {
			return last
		}
		if e.Outcome == outcome.Answered {
			s.out.setAside()
		}
		s.in.stats.retries.Add(1)
		// Membership may have moved on since the request came.
		s.v = s.in.cfg.View()
	}
}

// settle returns what is known of a request after its latest attempt ended
// with e. A "not run" speaks of its own attempt only: once an earlier one may
// have run, so may the request.
func settle(last, e outcome.Ended, mayHaveRun bool) outcome.Ended {
	if e.Outcome != outcome.NotRun || !mayHaveRun {
		return e
	}
	if last.Outcome == outcome.Answered {
		// The answer was a server error that was given up for this attempt.
		return outcome.MayHaveRun(outcome.ReasonLostUpstream)
	}
	return last
}

// holderPoll is the time between questions for the outcome of a request whose
// key another attempt holds.
const holderPoll = 150 * time.Millisecond

// waitForHolder waits a little and returns true if another attempt holds the
// request's key and may finish before the deadline. A caller that lost its
// connection and sent the request again then gets the answer of the first run.
func (s *serving) waitForHolder(ctx context.Context, e outcome.Ended) bool {
	if e != outcome.MayHaveRun(outcome.ReasonHeldByOther) || time.Until(s.rq.deadline) < 2*holderPoll {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(holderPoll):
		// Any upstream may be asked: the claim decides, not the upstream.
		s.tried = nil
		s.v = s.in.cfg.View()
		return true
	}
}

// again reports whether another attempt follows one that ended with e.
func (s *serving) again(budget *lockedBudget, e outcome.Ended) bool {
	if s.out.begun {
		return false
	}
	if e.Outcome == outcome.Answered {
		if !s.out.retryStatus || s.out.head.Status < http.StatusInternalServerError {
			return false
		}
		// A server error of an idempotent kind is retried like a lost answer.
		e = outcome.MayHaveRun(outcome.ReasonLostUpstream)
	}
	now := time.Now()
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return retry.Decide(now, &budget.b, retry.Attempt{
		Ended:      e,
		Idempotent: s.rq.kind.Idempotent,
		Attempts:   s.attempts,
		Free:       !e.Loaded(),
		Runs:       s.runs,
		MaxRuns:    s.maxRuns(),
		Deadline:   s.rq.deadline,
	}) == retry.Allowed
}

// attempt chooses an upstream and makes one attempt. ok is false if there was
// nothing to attempt.
func (s *serving) attempt(ctx context.Context) (e outcome.Ended, ok bool) {
	now := time.Now()
	u, reason := s.pick(now)
	if u == nil {
		return outcome.HasNotRun(reason), false
	}
	s.attempts++
	s.in.stats.attempts.Add(1)
	s.out.retryStatus = s.rq.kind.Idempotent && s.runs+1 < s.maxRuns()
	a := &attempt{
		in:   s.in,
		rq:   s.rq,
		u:    u,
		v:    s.v,
		head: s.rq.head(s.rq.id+"-"+strconv.Itoa(s.attempts), u, s.loaded, now),
		out:  s.out,
	}
	if a.head.RemainingMs <= 0 {
		return outcome.HasNotRun(outcome.ReasonDeadline), true
	}
	a.head.Insist, a.head.Repeat, a.head.LastRun = s.insists(), s.runs > 0, s.lastRun(now)
	entry := s.in.loads.entry(u.ID)
	entry.begin()
	e, end := a.run(ctx)
	entry.finish(end, time.Now())
	e = s.fence(ctx, a, e)
	s.noteUpstream(u, e, end)
	s.trace = append(s.trace, AttemptTrace{u.ID, u.Node, time.Since(now), e.Outcome.String(), string(e.Reason)})
	return e, true
}

// finish answers the caller.
func (s *serving) finish(w http.ResponseWriter, e outcome.Ended) {
	if e.Outcome != outcome.Answered && s.out.restore() {
		e = outcome.Ended{Outcome: outcome.Answered}
	}
	status := statusOf(e)
	answered := e.Outcome == outcome.Answered
	if answered {
		status = s.out.head.Status
	}
	s.in.count(e.Outcome)
	s.in.record(s, e, status)
	s.log(e, status)
	switch {
	case answered:
		s.out.pass(s.rq)
	case s.out.begun:
		// Part of an answer has gone out. Ending it here would pass it off as
		// whole, so the caller's connection is cut.
		panic(http.ErrAbortHandler)
	default:
		fail(w, s.rq.id, e, "")
	}
}

// log writes how the request ended, and what led there.
func (s *serving) log(e outcome.Ended, status int) {
	s.in.log.Info("request ended",
		"request", s.rq.id, "service", s.rq.service.Name, "kind", s.rq.kind.Name, "rank", s.rq.level,
		"status", status, "outcome", e.Outcome.String(), "reason", string(e.Reason),
		"ms", time.Since(s.rq.began).Milliseconds(), "left_ms", time.Until(s.rq.deadline).Milliseconds(),
		"config", s.v.Config.Version.String(), "attempts", traceText(s.trace))
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

func (in *Ingress) record(s *serving, e outcome.Ended, status int) {
	latency := time.Since(s.rq.began)
	label := s.rq.service.Name + "/" + strconv.Itoa(s.rq.level) + "/" + e.Outcome.String()
	in.stats.latency.Record(label, latency)
	if e.Reason != outcome.ReasonNone {
		label += "/" + string(e.Reason)
	}
	in.stats.ended.Add(label, 1)
	in.trace.add(Trace{
		RequestID: s.rq.id,
		Began:     s.rq.began,
		Service:   s.rq.service.Name,
		Kind:      s.rq.kind.Name,
		Caller:    s.rq.caller,
		Ended:     e,
		Status:    status,
		Latency:   latency,
		Attempts:  s.trace,
	})
	if in.cfg.Record != nil {
		in.cfg.Record(Finished{s.rq.service.Name, s.rq.kind.Name, s.rq.level, e, status, latency, s.attempts})
	}
}

// Leave waits until all requests in hand have been answered, or ctx ends. New
// requests are refused once the view says that the node is leaving.
func (in *Ingress) Leave(ctx context.Context) error {
	done := make(chan struct{})
	go func() { in.active.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Interrupt answers the requests in hand as they are: those that wait have not
// run, and of others the outcome is unknown. A process that ended with them
// would leave their callers without an answer.
func (in *Ingress) Interrupt() { in.interrupt() }

// Maintain drops what is known of upstreams and nodes that are gone. It is
// called about once a minute.
func (in *Ingress) Maintain(now time.Time) {
	in.loads.forget(now)
	used := map[fleet.NodeID]bool{}
	v := in.cfg.View()
	used[v.Self.ID] = true
	for i := range v.Nodes {
		used[v.Nodes[i].ID] = true
	}
	in.paths.keepOnly(func(id fleet.NodeID) bool { return used[id] })
}
