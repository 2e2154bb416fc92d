package admission

import (
	"math"
	"time"
)

// rank is the queue of one level. Calls, including their retries, precede first attempts at new requests, which precede
// retries at new requests and trials. Service of new requests is divided fairly between callers.
type rank struct {
	level            int
	share            float64
	calls            entryHeap
	firstAttempts    fairQueue     // at new requests
	retriesAndTrials fairQueue     // retries at new requests, and trials
	queued           time.Duration // cost of all queued tickets

	// credit is the slot time that the rank has earned by its guaranteed share and
	// has not used yet.
	credit time.Duration
	usage  usage

	callsQueued time.Duration // cost of the queued calls
	callUsage   usage         // part of usage that calls use
	// laterCallUsage is the part of callUsage of runs that have completed other calls before.
	laterCallUsage usage
	// newCredit is the slot time that new requests have earned while calls preceded them.
	newCredit time.Duration

	// Moving averages in ns; 0 if nothing was measured. The last two cover only
	// tickets with an expected time; their ratio corrects expected times.
	meanService           float64
	meanServiceOfExpected float64
	meanExpected          float64

	controller shedController
}

func newRank(level int) *rank {
	return &rank{
		level:            level,
		calls:            newEntryHeap(byLoss, orderHeap),
		firstAttempts:    newFairQueue(),
		retriesAndTrials: newFairQueue(),
	}
}

func (r *rank) len() int {
	return r.calls.len() + r.firstAttempts.len() + r.retriesAndTrials.len()
}

func (r *rank) head() *entry {
	if e := r.callOrFirstAttempt(); e != nil {
		return e
	}
	return r.retriesAndTrials.min()
}

// callOrFirstAttempt returns the next call or first attempt, or nil. Calls go first, unless new requests have earned
// their turn.
func (r *rank) callOrFirstAttempt() *entry {
	switch {
	case r.firstAttempts.len() == 0 && r.calls.len() == 0:
		return nil
	case r.calls.len() == 0, r.firstAttempts.len() > 0 && r.newCredit >= r.firstAttempts.min().cost:
		return r.firstAttempts.min()
	}
	return r.calls.min()
}

// lastCallOrFirstAttempt returns the call or first attempt that is served last, or nil.
func (r *rank) lastCallOrFirstAttempt() *entry {
	if e := r.firstAttempts.last(); e != nil {
		return e
	}
	return r.calls.last()
}

// isLate reports whether e would miss its deadline if it was served now, as far as is known by now.
func (r *rank) isLate(now time.Time, e *entry) bool {
	return now.Add(min(r.estimate(e.ticket.Expected), e.maxCost)).After(e.ticket.Deadline)
}

func (r *rank) add(e *entry) {
	r.queued += e.cost
	switch {
	case e.ticket.isCall():
		r.callsQueued += e.cost
		r.calls.push(e)
	case e.ticket.retryOrTrial():
		r.retriesAndTrials.push(e)
	default:
		r.firstAttempts.push(e)
	}
}

func (r *rank) remove(e *entry) {
	r.queued -= e.cost
	switch {
	case e.ticket.isCall():
		r.callsQueued -= e.cost
		r.calls.remove(e)
	case e.ticket.retryOrTrial():
		r.retriesAndTrials.remove(e)
	default:
		r.firstAttempts.remove(e)
	}
}

// serve accounts for the service of e, which is about to be removed. used is the slot time that e takes, divided by the
// capacity of the upstream.
func (r *rank) serve(now time.Time, e *entry, used float64) {
	switch {
	case e.ticket.isCall():
		if next := r.firstAttempts.min(); next != nil {
			earned := time.Duration(newRequestShare / (1 - newRequestShare) * float64(e.cost))
			r.newCredit = min(r.newCredit+earned, 2*next.cost)
		}
	case e.ticket.retryOrTrial():
		r.retriesAndTrials.serve(now, e, used)
	default:
		r.newCredit = max(r.newCredit-e.cost, 0)
		r.firstAttempts.serve(now, e, used)
	}
}

// victim returns the queued call or first attempt to refuse in favor of e, which is one as well, or nil if e itself has
// to be refused.
func (r *rank) victim(e *entry) *entry {
	switch {
	case !e.ticket.isCall():
		return r.firstAttempts.victim(e)
	case r.firstAttempts.len() > 0:
		return r.firstAttempts.last()
	}
	if v := r.calls.last(); v != nil && byLoss(e, v) {
		return v
	}
	return nil
}

// workAhead estimates the cost of the tickets of the rank that run before e, which may be queued. If e is no call, the
// calls that precede it are left out. All other queued tickets precede retries and trials.
func (r *rank) workAhead(now time.Time, e *entry, rate float64) time.Duration {
	switch {
	case e.ticket.isCall():
		return r.callsAhead(e)
	case !e.ticket.retryOrTrial():
		return r.firstAttempts.workAhead(now, e, r.newRequestRate(now, rate))
	case e.queued:
		return r.queued - r.callsQueued - e.cost
	}
	return r.queued - r.callsQueued
}

// newRequestRate returns the part of rate, at which the rank is served, that calls leave to new requests.
func (r *rank) newRequestRate(now time.Time, rate float64) float64 {
	return max(rate-r.callUsage.valueAt(now), newRequestShare*rate)
}

// callsAhead returns the cost of the queued calls that precede the call e.
func (r *rank) callsAhead(e *entry) time.Duration {
	ahead := time.Duration(0)
	for _, o := range r.calls.h.items {
		if byLoss(o, e) {
			ahead += o.cost
		}
	}
	return ahead
}

// estimate returns the slot time of a ticket with the given expected time.
func (r *rank) estimate(expected time.Duration) time.Duration {
	switch {
	case expected > 0 && r.meanExpected > 0:
		ratio := r.meanServiceOfExpected / r.meanExpected
		return time.Duration(float64(expected) * min(max(ratio, minRatio), maxRatio))
	case expected > 0:
		return expected
	case r.meanService > 0:
		return time.Duration(r.meanService)
	}
	return defaultCost
}

// Bounds of the factor that corrects expected times, so that a run of outliers among
// the service times neither closes the queue nor admits work without limit.
const (
	minRatio = 0.1
	maxRatio = 20
)

// recordService updates the averages with the service time of a finished ticket.
func (r *rank) recordService(expected, service time.Duration) {
	updateMean(&r.meanService, service)
	if expected > 0 {
		updateMean(&r.meanServiceOfExpected, service)
		updateMean(&r.meanExpected, expected)
	}
}

func updateMean(mean *float64, value time.Duration) {
	if *mean == 0 {
		*mean = float64(value)
	}
	*mean += meanGain * (float64(value) - *mean)
}

// hasCredit reports whether the rank's credit covers its next call or first attempt. Retries
// and trials can't use credit, since they would displace first attempts of other
// ranks.
func (r *rank) hasCredit() bool {
	e := r.callOrFirstAttempt()
	return r.share > 0 && e != nil && r.credit >= e.cost
}

// addCredit adds the rank's share of cost, which some rank is about to use. The
// credit is bounded so that a rank that was idle is served at once, but without a
// long burst. largest is the highest cost of a ticket of any rank. The bound is at
// least the rank's share of a few such tickets, so that a rank with cheap work gets
// its share beside one with expensive work.
func (r *rank) addCredit(cost, largest time.Duration) {
	if r.share == 0 {
		r.credit = 0
		return
	}
	earned := time.Duration(r.share * float64(cost))
	bound := maxCreditTickets * max(r.estimate(0), time.Duration(r.share*float64(largest)))
	if e := r.callOrFirstAttempt(); e != nil {
		bound = max(bound, 2*e.cost)
	}
	r.credit = min(r.credit+earned, bound)
}

// maxCreditTickets is the number of tickets for which a rank can accumulate credit.
const maxCreditTickets = 4

// spendCredit subtracts cost from the credit. Service beyond the guaranteed share
// leaves no debt.
func (r *rank) spendCredit(cost time.Duration) { r.credit = max(r.credit-cost, 0) }

// usage is an exponential moving average of the slot time that a rank uses, as a
// fraction of the upstream's capacity.
type usage struct {
	value     float64
	updatedAt time.Time
}

func (u *usage) valueAt(now time.Time) float64 { return u.value * usageKept(now.Sub(u.updatedAt)) }

// usageKept returns the factor by which a usage decays in a time.
func usageKept(elapsed time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / usageWindow.Seconds())
}

func (u *usage) add(now time.Time, cost float64) {
	u.value = u.valueAt(now) + cost/float64(usageWindow)
	if now.After(u.updatedAt) {
		u.updatedAt = now
	}
}
