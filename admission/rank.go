package admission

import (
	"math"
	"time"
)

// rank is the queue of one level. Inside it, start-time fair queueing orders
// the tickets of callers by weight. First attempts go before retries and
// trials.
type rank struct {
	level  int
	share  float64
	firsts entryHeap
	extras entryHeap
	queued time.Duration // cost of all queued tickets

	// credit is the slot time that the rank is owed under its share.
	credit time.Duration
	usage  usage

	virtual time.Duration // start tag of the ticket served last
	flows   map[string]*flow
	weights int // of callers with queued tickets

	// Moving averages in ns; 0: not measured. The last two cover tickets with
	// an expected time only, so that their quotient corrects it.
	mean           float64
	meanOfExpected float64
	meanExpected   float64

	shed shedding
}

// flow is one caller's part of a rank.
type flow struct {
	finish time.Duration // tag of its last ticket
	queued time.Duration
	count  int
	weight int
}

// maxIdleFlows bounds the callers that are remembered without queued tickets.
const maxIdleFlows = 256

func newRank(level int) *rank {
	return &rank{
		level:  level,
		firsts: newEntryHeap(byStart, orderSlot),
		extras: newEntryHeap(byStart, orderSlot),
		flows:  map[string]*flow{},
	}
}

func (r *rank) len() int { return r.firsts.len() + r.extras.len() }

func (r *rank) head() *entry {
	if r.firsts.len() > 0 {
		return r.firsts.min()
	}
	return r.extras.min()
}

func (r *rank) heapOf(e *entry) *entryHeap {
	if e.ticket.extra() {
		return &r.extras
	}
	return &r.firsts
}

// tag sets the start tag of e: where the caller's last ticket ends, in the
// rank's virtual time.
func (r *rank) tag(e *entry) {
	e.start = r.virtual
	if f := r.flows[e.ticket.Caller]; f != nil {
		e.start = max(e.start, f.finish)
	}
}

func (r *rank) add(e *entry) {
	f := r.flows[e.ticket.Caller]
	if f == nil {
		r.forgetIdle()
		f = &flow{}
		r.flows[e.ticket.Caller] = f
	}
	if f.count == 0 {
		f.weight = max(e.ticket.Weight, 1)
		r.weights += f.weight
	}
	f.count++
	f.queued += e.cost
	f.finish = e.start + e.cost/time.Duration(max(e.ticket.Weight, 1))
	r.queued += e.cost
	r.heapOf(e).push(e)
}

func (r *rank) remove(e *entry) {
	r.heapOf(e).remove(e)
	r.queued -= e.cost
	f := r.flows[e.ticket.Caller]
	f.count--
	f.queued -= e.cost
	if f.count == 0 {
		r.weights -= f.weight
	}
	// The newest ticket of a caller gives its place in fair order back. Without
	// this, a caller whose tickets are evicted or cancelled would be charged for
	// work that never ran.
	if end := e.start + e.cost/time.Duration(max(e.ticket.Weight, 1)); f.finish == end && !e.served {
		f.finish = e.start
	}
}

// serve advances virtual time to e, which is about to run.
func (r *rank) serve(e *entry) {
	e.served = true
	if !e.ticket.extra() || r.firsts.len() == 0 {
		r.virtual = max(r.virtual, e.start)
	}
}

// forgetIdle drops callers that have no queued tickets and no debt, once there
// are many.
func (r *rank) forgetIdle() {
	if len(r.flows) < maxIdleFlows {
		return
	}
	for caller, f := range r.flows {
		if f.count == 0 && f.finish <= r.virtual {
			delete(r.flows, caller)
		}
	}
}

// ahead estimates the cost of the tickets of the rank that run before e: at
// most all, and no more than the caller's part of the rank delays it.
func (r *rank) ahead(e *entry) time.Duration {
	if e.ticket.extra() {
		return r.queued
	}
	f := r.flows[e.ticket.Caller]
	weight := max(e.ticket.Weight, 1)
	others, own := r.weights, time.Duration(0)
	if f != nil && f.count > 0 {
		others -= f.weight
		own = f.queued
	}
	factor := float64(others+weight) / float64(weight)
	fair := float64(own+e.cost)*factor - float64(e.cost)
	return min(r.queued, time.Duration(fair))
}

// estimate returns the slot time of a ticket with the given expected time.
func (r *rank) estimate(expected time.Duration) time.Duration {
	switch {
	case expected > 0 && r.meanExpected > 0:
		ratio := r.meanOfExpected / r.meanExpected
		return time.Duration(float64(expected) * min(max(ratio, minRatio), maxRatio))
	case expected > 0:
		return expected
	case r.mean > 0:
		return time.Duration(r.mean)
	}
	return defaultCost
}

// Bounds of the correction of expected times, so that a run of odd service
// times neither closes the queue nor opens it without limit.
const (
	minRatio = 0.1
	maxRatio = 20
)

// measure learns from a finished service.
func (r *rank) measure(expected, service time.Duration) {
	learn(&r.mean, service)
	if expected > 0 {
		learn(&r.meanOfExpected, service)
		learn(&r.meanExpected, expected)
	}
}

func learn(mean *float64, value time.Duration) {
	if *mean == 0 {
		*mean = float64(value)
	}
	*mean += costGain * (float64(value) - *mean)
}

// owed reports whether the rank has saved enough of its share for its next
// ticket. Retries and trials don't use the share, since they would displace
// first attempts of other ranks.
func (r *rank) owed() bool {
	return r.share > 0 && r.firsts.len() > 0 && r.credit >= r.firsts.min().cost
}

// earn adds the rank's part of cost, which some rank is about to use. The
// bound lets a rank that was idle start at once, without a long burst. It is
// at least a few of the largest costs, so that a rank with cheap work keeps
// its share beside one with expensive work.
func (r *rank) earn(cost, largest time.Duration) {
	if r.share == 0 {
		r.credit = 0
		return
	}
	part := time.Duration(r.share * float64(cost))
	bound := creditTickets * max(r.estimate(0), time.Duration(r.share*float64(largest)))
	if r.firsts.len() > 0 {
		bound = max(bound, 2*r.firsts.min().cost)
	}
	r.credit = min(r.credit+part, bound)
}

// creditTickets is how many tickets a rank may save up.
const creditTickets = 4

// pay takes cost from the credit. Service beyond the share is surplus and
// leaves no debt.
func (r *rank) pay(cost time.Duration) { r.credit = max(r.credit-cost, 0) }

// usage is the moving average of the slot time that a rank uses, as a part of
// the upstream's capacity.
type usage struct {
	value float64
	at0   time.Time
}

func (u *usage) at(now time.Time) float64 {
	elapsed := now.Sub(u.at0)
	if elapsed <= 0 {
		return u.value
	}
	return u.value * math.Exp(-elapsed.Seconds()/usageWindow.Seconds())
}

func (u *usage) add(now time.Time, cost float64) {
	u.value = u.at(now) + cost/float64(usageWindow)
	if now.After(u.at0) {
		u.at0 = now
	}
}
