package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// insistAfter is how many upstreams may decline a request before the best of them, by the load that
// they reported, has to take it. With a lower number, requests would queue while other upstreams
// have free slots. With a higher one, they would try more upstreams in vain when none has a free
// slot.
const insistAfter = 3

// maxLongQueues is how many queues may be too long for a call before it goes only to an upstream that takes
// it at once. Loads are known from earlier answers only, so another queue may be much shorter.
const maxLongQueues = 3

// shortRun is the duration below which a run counts as having used no capacity. Upstreams that fail
// their work do so at once, so the failed run cost next to nothing and showed that the upstream is
// failing. If the next attempt counted as a retry, it would queue behind all first attempts and get
// no slot while the other upstreams are busy.
const shortRun = 50 * time.Millisecond

// needsFreeSlot reports whether enough queues were too long for the request that it goes only to an upstream
// that takes it at once: one for a new request, maxLongQueues for one that precedes new ones.
func (h *requestHandler) needsFreeSlot() bool {
	if !h.precedesNew() {
		return h.longQueues > 0
	}
	return h.longQueues >= maxLongQueues
}

// precedesNew reports whether the request precedes new ones at upstreams, since work that was done is lost without it.
func (h *requestHandler) precedesNew() bool { return h.rq.parent != nil || h.handedBack }

// recordAttempt records the outcome of an attempt at u. end is nil if the dispatcher reported none.
func (h *requestHandler) recordAttempt(u *board.Upstream, e outcome.Ended, end *wire.AnswerEnd) {
	short := e.Outcome != outcome.NotRun && end != nil && end.Served() < shortRun
	h.usedCapacity = h.usedCapacity || e.UsedCapacity() && !short
	if e.Outcome != outcome.NotRun {
		h.runs++
	}
	if e == outcome.MayHaveRun(outcome.ReasonStopped) {
		h.beginAgain()
	}
	h.arrived = h.arrived || e.Outcome != outcome.NotRun || e.Reason == outcome.ReasonUpstreamShed
	if e.Reason == outcome.ReasonRetryBudget {
		h.budgetDeclines++
	}
	if e == outcome.HasNotRun(outcome.ReasonQueueLong) {
		h.longQueues++
	}
	if e.Outcome != outcome.NotRun || e.Reason == outcome.ReasonUpstreamShed {
		h.retryGranted = end != nil && end.RetryGranted
	}
	if !e.Declined() {
		h.tried = append(h.tried, u.ID)
		return
	}
	h.declined = append(h.declined, u.ID)
	// A limit of one upstream says nothing about the others of its region.
	if u.Region != h.view.Self.Region && (e.Reason == outcome.ReasonBusy || e.Reason == outcome.ReasonUnhealthy) {
		h.in.crossRegion.recordDecline(h.rq.service.Name, time.Now())
	}
}

// maxRuns returns how many upstreams may run the request.
func (h *requestHandler) maxRuns() int { return cmp.Or(h.rq.kind.MaxAttempts, retry.MaxRuns) }

// lastRun reports whether the next run is the last one that is allowed, even if it fails.
func (h *requestHandler) lastRun(now time.Time) bool {
	return !h.rq.kind.Idempotent || h.runs+1 >= h.maxRuns() || !h.in.retriesOf(h.rq.service.Name).wouldAllow(now)
}

// repeatable reports whether the request may run once more if its next run is lost.
func (h *requestHandler) repeatable(now time.Time) bool {
	return !h.lastRun(now) && h.rq.body.Whole()
}

// countedAttempts returns the number of attempts that count towards retry.MaxAttempts: after the request was handed back,
// as many are made as for a new one.
func (h *requestHandler) countedAttempts() int { return h.attempts - h.attemptsBefore }

// beginAgain forgets which upstreams have declined the request, after a stopping node has handed it back.
func (h *requestHandler) beginAgain() {
	h.handedBack, h.attemptsBefore = true, h.attempts
	h.declined, h.allDeclined, h.longQueues = nil, false, 0
}

// insists reports whether the next upstream has to take the attempt even if it is busy.
func (h *requestHandler) insists() bool {
	return !h.askOthers && (h.allDeclined || len(h.declined) >= insistAfter)
}

// shouldAskOthers reports whether to ask upstreams that were not asked yet although enough have
// declined: the queue of the best one was too long, or the best one is failing, so that the request
// would most likely fail there. In the second case one attempt is left for the best of all.
func (h *requestHandler) shouldAskOthers(r *rand.Rand, req balance.Request, candidates []balance.Candidate) bool {
	switch {
	case h.needsFreeSlot():
		return true
	case h.allDeclined, len(h.declined) < insistAfter, h.countedAttempts()+1 >= retry.MaxAttempts:
		return false
	}
	req.Tried = h.tried
	return balance.BestIsFailing(r, req, candidates)
}

// excluded returns the upstreams that the next attempt must not go to.
func (h *requestHandler) excluded() []fleet.UpstreamID {
	if h.insists() {
		return h.tried
	}
	return slices.Concat(h.tried, h.declined)
}

func newBalanceRequest(v *board.View, rq *request) balance.Request {
	return balance.Request{
		Region:        v.Self.Region,
		FailureDomain: v.Self.FailureDomain,
		Level:         rq.level,
		Idempotent:    rq.kind.Idempotent,
		Key:           rq.key,
		CrossAllowed:  true,
	}
}

// selection holds the state of choosing the upstream for one attempt.
type selection struct {
	*requestHandler
	now        time.Time
	balanceReq balance.Request
	// crossLimited is set if the traffic limit between regions does not allow the request to cross.
	crossLimited bool
	reason       outcome.Reason // why no upstream can be chosen
}

// pick chooses an upstream, or returns nil and the reason why there is none. It leaves out
// upstreams whose queue would refuse the request, so that under overload requests are refused here
// and do not use the capacity of upstreams.
func (h *requestHandler) pick(now time.Time) (*board.Upstream, outcome.Reason) {
	c := &selection{requestHandler: h, now: now, reason: outcome.ReasonNoUpstream, balanceReq: newBalanceRequest(h.view, h.rq)}
	c.balanceReq.LastRun = h.lastRun(now)
	candidates, upstreams := h.in.candidates(h.view, h.rq, now)
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	h.askOthers = h.shouldAskOthers(r, c.balanceReq, candidates)
	c.balanceReq.Tried, c.balanceReq.LoadsKnown = h.excluded(), h.insists()
	c.balanceReq.CrossAllowed = h.insists() || h.askOthers && !h.needsFreeSlot() || h.in.crossRegion.allowed(h.rq.service.Name, now)
	for {
		i, ok := balance.Pick(r, c.balanceReq, candidates)
		switch {
		case ok && c.admits(&upstreams[i]):
			return &upstreams[i], ""
		case !ok && !c.relax():
			return nil, c.reason
		}
	}
}

// admits reports whether the attempt may go to u. If not, it changes balanceReq so that u is not
// chosen again.
func (c *selection) admits(u *board.Upstream) bool {
	crossesRegion := u.Region != c.view.Self.Region
	switch {
	case !c.precedesNew() && c.in.loads.refuses(u.ID, c.rq, c.now):
		c.in.stats.shedEarly.Add(1)
		c.balanceReq.Tried = append(slices.Clip(c.balanceReq.Tried), u.ID)
	case crossesRegion && c.in.cfg.CrossRegion != nil && !c.in.cfg.CrossRegion(c.rq.level, c.rq.crossingBytes()):
		c.crossLimited, c.balanceReq.CrossAllowed = true, false
	default:
		return true
	}
	c.reason = outcome.ReasonShed
	return false
}

// crossingBytes returns about how many bytes the body and the answer have together.
func (rq *request) crossingBytes() int64 { return rq.kind.AnswerBytes + max(0, rq.body.Length()) }

// relax admits upstreams that were left out before, once no other is left. It reports whether there
// was a restriction to lift.
func (c *selection) relax() bool {
	switch {
	case len(c.declined) > 0 && !c.balanceReq.LoadsKnown && !c.needsFreeSlot():
		// All remaining upstreams have declined.
		c.allDeclined, c.askOthers = true, false
		c.balanceReq.Tried, c.balanceReq.LoadsKnown, c.balanceReq.CrossAllowed = c.tried, true, !c.crossLimited
	case !c.balanceReq.CrossAllowed && !c.crossLimited && !c.needsFreeSlot():
		c.balanceReq.CrossAllowed = true
	default:
		return false
	}
	return true
}
