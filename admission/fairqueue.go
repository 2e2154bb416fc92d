package admission

import (
	"math"
	"time"
)

const (
	// arrivalShare is the part of each caller's service that goes to its oldest ticket regardless of the
	// order, so that no kind of request starves.
	arrivalShare = 0.2
	// usageMargin is the factor by which the usage of tickets with precedence is assumed to grow while a
	// ticket waits.
	usageMargin = 1.5
	// maxIdleFlows is the number of flows from which those of idle callers are dropped.
	maxIdleFlows = 256
)

// fairQueue divides service between callers by weight with start-time fair queueing. The tickets of a
// caller are served in the order of byTurn, except that arrivalShare of its service goes to the oldest.
type fairQueue struct {
	virtualTime  time.Duration // highest start tag served so far
	flows        map[string]*flow
	count        int           // number of queued tickets
	queued       time.Duration // their cost
	activeWeight int           // sum over the callers with queued tickets
	used         usage         // of all callers
	next         *entry        // cached result of min; nil after a change
}

// flow is the state of one caller in a fairQueue.
type flow struct {
	startTag  time.Duration // start tag of its next ticket, in virtual time
	weight    int
	queued    time.Duration // cost of its queued tickets
	byTurn    entryHeap
	byArrival entryHeap
	used      turnUsage
	// arrivalCredit is the slot time that the oldest ticket has earned while others preceded it.
	arrivalCredit time.Duration
}

const (
	// turnClasses is the number of classes into which tickets are divided by turnDelay. The upper bound of
	// each class is 2^(1/classesPerOctave) times that of the class before; the last class has no upper bound.
	turnClasses      = 64
	classesPerOctave = 4
	// firstTurnDelay is the upper bound of the first class, which begins at 0.
	firstTurnDelay = 16 * time.Millisecond
)

// turnClass returns the class of a ticket.
func (e *entry) turnClass() int {
	class := 1 + classesPerOctave*math.Log2(float64(max(e.turnDelay, 1))/float64(firstTurnDelay))
	return int(min(max(class, 0), turnClasses-1))
}

// turnUsage is the slot time that tickets use by class, as a fraction of the upstream's capacity.
type turnUsage struct {
	byClass   [turnClasses]float64 // as of updatedAt; decays from then on
	updatedAt time.Time
}

// add records that a ticket of a class uses cost, as a fraction of the upstream's slot time.
func (u *turnUsage) add(now time.Time, class int, cost float64) {
	kept := usageKept(now.Sub(u.updatedAt))
	for i := range u.byClass {
		u.byClass[i] *= kept
	}
	u.byClass[class] += cost / float64(usageWindow)
	if now.After(u.updatedAt) {
		u.updatedAt = now
	}
}

// before returns the usage by tickets whose turn comes clearly before that of tickets of a class that are
// offered at the same time. The adjacent class does not count, since estimates of work change.
func (u *turnUsage) before(now time.Time, class int) float64 {
	return u.sum(now, max(class-1, 0))
}

// total returns the usage by all tickets.
func (u *turnUsage) total(now time.Time) float64 { return u.sum(now, turnClasses) }

// sum returns the usage by tickets of the given number of classes, from the first one on.
func (u *turnUsage) sum(now time.Time, classes int) float64 {
	sum := 0.0
	for _, used := range u.byClass[:classes] {
		sum += used
	}
	return sum * usageKept(now.Sub(u.updatedAt))
}

func newFairQueue() fairQueue { return fairQueue{flows: map[string]*flow{}} }

func newFlow() *flow {
	return &flow{byTurn: newEntryHeap(byTurn, orderHeap), byArrival: newEntryHeap(bySequence, arrivalHeap)}
}

func (q *fairQueue) len() int { return q.count }

func (q *fairQueue) push(e *entry) {
	q.next = nil
	f := q.flows[e.ticket.Caller]
	if f == nil {
		q.forgetIdle()
		f = newFlow()
		q.flows[e.ticket.Caller] = f
	}
	if f.byTurn.len() == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
		f.weight = max(e.ticket.Weight, 1)
		f.arrivalCredit = 0
		q.activeWeight += f.weight
	}
	f.byTurn.push(e)
	f.byArrival.push(e)
	f.queued += e.cost
	q.queued += e.cost
	q.count++
}

func (q *fairQueue) remove(e *entry) {
	q.next = nil
	f := q.flows[e.ticket.Caller]
	f.byTurn.remove(e)
	f.byArrival.remove(e)
	f.queued -= e.cost
	q.queued -= e.cost
	q.count--
	if f.byTurn.len() == 0 {
		q.activeWeight -= f.weight
	}
}

// min returns the ticket to serve next, or nil.
func (q *fairQueue) min() *entry {
	if q.next != nil || q.count == 0 {
		return q.next
	}
	var first *flow
	for _, f := range q.flows {
		if f.byTurn.len() > 0 && (first == nil || f.precedes(first)) {
			first = f
		}
	}
	q.next = first.head()
	return q.next
}

// last returns the ticket whose refusal costs callers least, or nil if the queue is empty. It is the ticket with
// the last turn, of the caller whose queue ends last.
func (q *fairQueue) last() *entry {
	longest := q.longestFlow()
	if longest == nil {
		return nil
	}
	return longest.byTurn.last()
}

// victim returns the queued ticket to refuse in favor of e, or nil if e itself has to be.
func (q *fairQueue) victim(e *entry) *entry {
	q.push(e)
	last := q.last()
	q.remove(e)
	if last == e {
		return nil
	}
	return last
}

// longestFlow returns the flow whose queue ends last in virtual time, or nil.
func (q *fairQueue) longestFlow() *flow {
	var longest *flow
	for _, f := range q.flows {
		if f.byTurn.len() > 0 && (longest == nil || f.endsAfter(longest)) {
			longest = f
		}
	}
	return longest
}

// serve accounts for the service of e, which is about to be removed. used is the slot time that e takes, divided by
// the capacity of the upstream.
func (q *fairQueue) serve(now time.Time, e *entry, used float64) {
	f := q.flows[e.ticket.Caller]
	q.used.add(now, used)
	f.used.add(now, e.turnClass(), used)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += e.cost / time.Duration(f.weight)
	oldest := f.byArrival.min()
	if oldest == e {
		f.arrivalCredit = max(f.arrivalCredit-e.cost, 0)
		return
	}
	earned := time.Duration(arrivalShare / (1 - arrivalShare) * float64(e.cost))
	f.arrivalCredit = min(f.arrivalCredit+earned, f.queued)
}

// workAhead estimates the cost of the tickets that run before e, which may be queued. rate is the part of the
// upstream's capacity at which the queue is served. The estimate is the work of e's caller plus the work of other
// callers that is served in the same time, by weight.
func (q *fairQueue) workAhead(now time.Time, e *entry, rate float64) time.Duration {
	own, others, weight := time.Duration(0), q.activeWeight, max(e.ticket.Weight, 1)
	f := q.flows[e.ticket.Caller]
	if f != nil && f.byTurn.len() > 0 {
		others -= f.weight
	}
	factor := float64(others+weight) / float64(weight)
	if f != nil {
		// Callers without queued tickets use a part of the rate as well.
		ofOtherCallers := q.used.valueAt(now) - f.used.total(now)
		own = f.workAhead(now, e, max(rate-ofOtherCallers, rate/max(factor, 2)))
	}
	ofOthers := q.queued
	if f != nil {
		ofOthers -= f.queued
	}
	return own + min(ofOthers, time.Duration(float64(own+e.cost)*(factor-1)))
}

// forgetIdle drops the flows of callers without queued tickets whose start tag has passed, once there
// are maxIdleFlows flows.
func (q *fairQueue) forgetIdle() {
	if len(q.flows) < maxIdleFlows {
		return
	}
	for caller, f := range q.flows {
		if f.byTurn.len() == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, caller)
		}
	}
}

// precedes reports whether f is served before o. Both have queued tickets.
func (f *flow) precedes(o *flow) bool {
	if f.startTag != o.startTag {
		return f.startTag < o.startTag
	}
	return f.byArrival.min().sequence < o.byArrival.min().sequence
}

// endsAfter reports whether the queue of f ends later in virtual time than that of o. Both have queued tickets.
func (f *flow) endsAfter(o *flow) bool {
	end, otherEnd := f.startTag+f.queued/time.Duration(f.weight), o.startTag+o.queued/time.Duration(o.weight)
	if end != otherEnd {
		return end > otherEnd
	}
	return f.byArrival.min().sequence > o.byArrival.min().sequence
}

// head returns the caller's next ticket. Its queue is not empty.
func (f *flow) head() *entry {
	if oldest := f.byArrival.min(); f.arrivalCredit >= oldest.cost {
		return oldest
	}
	return f.byTurn.min()
}

// workAhead estimates the cost of the caller's tickets that run before e if the caller is served at rate. These are
// the tickets whose turn is earlier, including those that arrive while e waits, or the older tickets, served at
// arrivalShare of the rate, if that takes less time.
func (f *flow) workAhead(now time.Time, e *entry, rate float64) time.Duration {
	preceding, older := time.Duration(0), time.Duration(0)
	for _, o := range f.byTurn.h.items {
		if byTurn(o, e) {
			preceding += o.cost
		}
		if bySequence(o, e) {
			older += o.cost
		}
	}
	left := max(1-usageMargin*f.used.before(now, e.turnClass())/rate, arrivalShare)
	return time.Duration(min(float64(preceding)/left, float64(older+e.cost)/arrivalShare-float64(e.cost)))
}
