// Package admission decides which queued work an upstream runs next and which
// work is refused. Each upstream has a Queue of its own. The package does no I/O
// and reads no clock: the dispatcher passes the time to each call, and calls a
// Queue from one goroutine at a time.
//
// Costs are measured in slot time: a ticket that occupies a slot for 20 ms costs
// 20 ms.
package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/godwithub/godwithub/outcome"
)

// Ticket is an attempt that waits for a slot of the upstream.
type Ticket struct {
	ID     uint64 // unique among queued tickets
	Level  int    // level of the ticket's rank; 0 is the most urgent
	Caller string
	Weight int // weight of the caller; values below 1 count as 1
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Retry marks a second or later attempt at a request.
	Retry bool
	// Call marks a call of a running request, which has completed CompletedCalls calls before. Its level
	// is that of the running request or a more urgent one.
	Call           bool
	CompletedCalls int
	// Loss is what callers lose with the ticket, relative to the slot time that is still needed to
	// serve them; see package capacity. Only its order counts.
	Loss float64
	// Trial marks work that tests an upstream after an ejection.
	Trial bool
	// Expected is the usual slot time of the ticket's request kind. If it is 0,
	// the mean measured for the rank is used.
	Expected time.Duration
}

// isCall reports whether the ticket is an attempt at a call, which precedes new requests. That includes
// retries: the work of the running request is lost with them as well.
func (t *Ticket) isCall() bool { return t.Call && !t.Trial }

// isNew reports whether the ticket is the first attempt at a new request. Ingresses refuse these by
// the Threshold.
func (t *Ticket) isNew() bool { return !t.Call && !t.retryOrTrial() }

// retryOrTrial reports whether the ticket is a retry at a new request, or a trial. These must not
// displace first attempts or calls.
func (t *Ticket) retryOrTrial() bool { return !t.isCall() && (t.Retry || t.Trial) }

// RankShare is the fraction of the slot time that is guaranteed to a rank while
// other ranks are overloaded.
type RankShare struct {
	Level int
	Share float64 // 0 to 1; the sum of all shares is at most 1
}

// Options configure a Queue. Zero fields take the defaults.
type Options struct {
	Slots     int // number of requests that the upstream runs at once; default 1
	MaxLength int // maximum number of queued tickets; default 512
}

const (
	defaultMaxLength = 512
	// defaultCost is the cost assumed for a rank without measured service times.
	defaultCost = 20 * time.Millisecond
	// estimatedWaitFraction is the fraction of a ticket's maximum wait that its
	// estimated wait may take for the ticket to be admitted. The estimate is a mean,
	// so about half of the tickets whose estimate fills the whole maximum would be
	// refused in the end, after they had waited for all of it.
	estimatedWaitFraction = 0.5
	// maxWaitFraction is the fraction of its slack after which a queued ticket
	// expires. The slack is the time until the latest start that meets the deadline.
	// During overload some work has to be refused. Work that has waited long would be
	// late for its caller, and a refusal is more useful to the caller the earlier it
	// arrives.
	maxWaitFraction = 0.5
	// alwaysAllowedWait is how long every ticket may wait regardless of
	// maxWaitFraction, as long as its slack lasts. Calls between services have short
	// deadlines, and when such a call fails, the request that makes it fails too.
	alwaysAllowedWait = 500 * time.Millisecond
	// callWaitFraction is the fraction of its slack after which a queued call expires. Its parent
	// occupies a slot meanwhile, which others may be waiting for.
	callWaitFraction = 0.4
	// newRequestShare is the part of the service of its rank that new requests get while calls, which
	// precede them, would take all of it.
	newRequestShare = 0.1
	// usageWindow is the time constant of the average slot time that a rank uses.
	usageWindow = 2 * time.Second
	// meanGain is the weight of a new service time in the moving averages.
	meanGain = 0.1
	// minServiceRate is the lowest service rate, as a fraction of the upstream's
	// capacity, that wait estimates assume. It bounds the estimate for a rank that
	// gets no service.
	minServiceRate = 0.01
)

// Queue orders the work of one upstream. The most urgent rank is served first,
// except that a rank with a guaranteed share is served as soon as it has enough
// credit from that share. Within a rank, calls precede new requests, since the work
// that their parents have done is lost with them; callers of new requests are served
// fairly. A Queue is not safe for concurrent use.
type Queue struct {
	options   Options
	ranks     []*rank           // sorted by level
	entries   map[uint64]*entry // by ticket ID
	expiry    entryHeap         // by expiresAt
	sequence  uint64            // of the last ticket offered
	inService int
	limit     rateLimit
	// meanService is a moving average of the service times of all ranks in ns; 0 if nothing was
	// measured.
	meanService float64
}

// New returns an empty queue without guaranteed shares.
func New(o Options) *Queue {
	if o.MaxLength <= 0 {
		o.MaxLength = defaultMaxLength
	}
	q := &Queue{options: o, entries: map[uint64]*entry{}}
	q.expiry = newEntryHeap(byExpiry, expiryHeap)
	q.SetSlots(o.Slots)
	return q
}

// SetSlots sets how many requests the upstream runs at once.
func (q *Queue) SetSlots(slots int) { q.options.Slots = max(slots, 1) }

// SetRateLimit limits the rate, per second, at which Next returns tickets. 0 stands for no limit.
func (q *Queue) SetRateLimit(now time.Time, perSecond float64) { q.limit.set(now, perSecond) }

// RateWait returns the time until the rate limit allows the next ticket.
func (q *Queue) RateWait(now time.Time) time.Duration { return q.limit.wait(now) }

// CountRun counts work that the upstream gets besides the tickets that Next returns towards the rate
// limit.
func (q *Queue) CountRun(now time.Time) { q.limit.take(now) }

// Capacity returns how many requests the upstream runs at once: its slots, or fewer if the rate limit
// leaves some of them empty.
func (q *Queue) Capacity() float64 {
	mean := q.meanService
	if mean == 0 {
		mean = float64(defaultCost)
	}
	return min(float64(q.options.Slots), q.limit.perSecond()*mean/float64(time.Second))
}

// SetRanks sets the guaranteed shares. Queued tickets stay queued. A rank that
// is not listed loses its share.
func (q *Queue) SetRanks(shares []RankShare) {
	for _, r := range q.ranks {
		r.share = 0
	}
	for _, s := range shares {
		q.rank(s.Level).share = min(max(s.Share, 0), 1)
	}
}

// Len returns the number of queued tickets.
func (q *Queue) Len() int { return len(q.entries) }

// TicketsAhead returns how long a new ticket of a level would wait, expressed as the
// number of its rank's tickets that the upstream would serve in that time.
// Ingresses compare upstreams by it. The total queue length says little about one
// rank, since an urgent rank overtakes the others and a rank with a guaranteed
// share doesn't wait for the more urgent ones.
func (q *Queue) TicketsAhead(now time.Time, level int) int {
	r := q.rank(level)
	mean := r.estimate(0)
	wait := q.wait(now, r, &entry{rank: r, cost: mean})
	return int(float64(wait) * q.Capacity() / float64(mean))
}

// InService returns the number of tickets that Next has returned and that have not
// been passed to Done.
func (q *Queue) InService() int { return q.inService }

// Offer queues t, or refuses it with a reason: ReasonDeadline if too little time is left
// for its work, ReasonQueueLong if its wait would probably be too long, ReasonShed if the queue is full of work with
// precedence over it. evicted lists the tickets that were removed to make room,
// also when t is refused; the dispatcher must refuse them with ReasonShed.
func (q *Queue) Offer(now time.Time, t Ticket) (ok bool, reason outcome.Reason, evicted []Ticket) {
	if _, found := q.entries[t.ID]; found {
		panic(fmt.Sprintf("admission: ticket %d is already queued", t.ID))
	}
	r := q.rank(t.Level)
	e := q.newEntry(now, r, t)
	pressure := q.pressure(now, e)
	if pressure > 1 {
		pressure = refusedPressure
	}
	if t.isNew() {
		r.controller.recordOffer(now, pressure)
	}
	switch {
	case e.latestStart.Before(now):
		return false, outcome.ReasonDeadline, nil
	case pressure > 1:
		return false, outcome.ReasonQueueLong, nil
	}
	for len(q.entries) >= q.options.MaxLength {
		v := q.victim(e)
		if v == nil {
			q.recordDrop(now, &e.ticket)
			return false, outcome.ReasonShed, evicted
		}
		q.recordDrop(now, &v.ticket)
		q.drop(v)
		evicted = append(evicted, v.ticket)
	}
	q.add(e)
	return true, outcome.ReasonNone, evicted
}

// Next removes and returns the next ticket to run, if the rate limit allows one now. It is called
// when a slot is free; each ticket that it returns must be passed to Done later. expired lists the
// tickets that were removed because their maximum wait is over; the dispatcher must
// refuse them with the ExpiryReason.
func (q *Queue) Next(now time.Time) (t Ticket, expired []Ticket, ok bool) {
	expired = q.Expire(now)
	r := q.nextRank()
	for r != nil && r.isLate(now, r.head()) {
		expired = append(expired, q.dropLate(now, r.head()))
		r = q.nextRank()
	}
	if r == nil || q.limit.wait(now) > 0 {
		return Ticket{}, expired, false
	}
	e := r.head()
	q.limit.take(now)
	r.serve(now, e, float64(e.cost)/q.Capacity())
	q.charge(now, r, e)
	q.drop(e)
	q.inService++
	return e.ticket, expired, true
}

// Remove removes a ticket from the queue, for instance because its caller has
// disconnected. It reports whether the ticket was queued.
func (q *Queue) Remove(id uint64) bool {
	e, found := q.entries[id]
	if found {
		q.drop(e)
	}
	return found
}

// Done records the end of the service of a ticket that Next returned. service is
// how long its work occupied the slot, or 0 if the work was not done. A service time
// of 0 is left out of the averages: it says nothing about how long work takes, and
// would let more tickets into the queue than can be served in time.
func (q *Queue) Done(now time.Time, t Ticket, service time.Duration) {
	q.inService = max(q.inService-1, 0)
	if service > 0 {
		q.rank(t.Level).recordService(t.Expected, service)
		updateMean(&q.meanService, service)
	}
}

func (q *Queue) newEntry(now time.Time, r *rank, t Ticket) *entry {
	q.sequence++
	e := &entry{ticket: t, rank: r, sequence: q.sequence, cost: r.estimate(t.Expected)}
	// After runs that were cut, the estimate may exceed the time that any ticket has. One that need not wait
	// is served nevertheless, since without a run nothing would show that the estimate is wrong.
	e.maxCost = t.Deadline.Sub(now)
	e.latestStart = t.Deadline.Add(-min(e.cost, e.maxCost))
	e.turn = e.latestStart.Add(workWeight * e.cost)
	e.turnDelay = e.turn.Sub(now)
	e.expiresAt = now.Add(maxWait(&t, e.latestStart.Sub(now)))
	return e
}

func (q *Queue) add(e *entry) {
	e.queued = true
	q.entries[e.ticket.ID] = e
	e.rank.add(e)
	q.expiry.push(e)
}

func (q *Queue) drop(e *entry) {
	e.queued = false
	delete(q.entries, e.ticket.ID)
	e.rank.remove(e)
	q.expiry.remove(e)
}

// rank returns the rank of a level, creating it if needed.
func (q *Queue) rank(level int) *rank {
	i := 0
	for i < len(q.ranks) && q.ranks[i].level < level {
		i++
	}
	if i < len(q.ranks) && q.ranks[i].level == level {
		return q.ranks[i]
	}
	r := newRank(level)
	q.ranks = append(q.ranks, nil)
	copy(q.ranks[i+1:], q.ranks[i:])
	q.ranks[i] = r
	return r
}

// nextRank returns the rank to serve next: the one with the most credit among those
// whose credit covers their next first attempt, otherwise the most urgent rank that
// has tickets. It returns nil if the queue is empty.
func (q *Queue) nextRank() *rank {
	var mostCredit, mostUrgent *rank
	for _, r := range q.ranks {
		if r.len() == 0 {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
		if r.hasCredit() && (mostCredit == nil || r.credit > mostCredit.credit) {
			mostCredit = r
		}
	}
	if mostCredit != nil {
		return mostCredit
	}
	return mostUrgent
}

// charge accounts for the slot time that e is about to use, in the usage of its
// rank and in the credit of all ranks.
func (q *Queue) charge(now time.Time, r *rank, e *entry) {
	r.usage.add(now, float64(e.cost)/q.Capacity())
	if e.ticket.isCall() {
		used := float64(e.cost) / q.Capacity()
		r.callUsage.add(now, used)
		if e.ticket.CompletedCalls > 0 {
			r.laterCallUsage.add(now, used)
		}
	}
	largest := time.Duration(0)
	for _, o := range q.ranks {
		largest = max(largest, o.estimate(0))
	}
	for _, o := range q.ranks {
		o.addCredit(e.cost, max(largest, e.cost))
	}
	r.spendCredit(e.cost)
}

// recordDrop tells the shed controller of a ticket's rank that the ticket was refused or evicted because
// the queue is full, has expired, or was displaced. Retries and trials don't count, since they give way
// to first attempts by design, and neither do calls, which ingresses send regardless of
// the threshold.
func (q *Queue) recordDrop(now time.Time, t *Ticket) {
	if t.isNew() {
		q.rank(t.Level).controller.recordDrop(now)
	}
}

// victim returns the queued entry to evict in favor of e, or nil if e must be
// refused. Retries and trials are evicted first and never displace first attempts.
// Otherwise the choice falls on the entry that is last in the fair order of the least
// urgent rank that exceeds its guaranteed length.
func (q *Queue) victim(e *entry) *entry {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		r := q.ranks[i]
		v := r.retriesAndTrials.last()
		if v != nil && r == e.rank && e.ticket.retryOrTrial() {
			v = r.retriesAndTrials.victim(e)
		}
		if v != nil && (!e.ticket.retryOrTrial() || r.level >= e.rank.level) {
			return v
		}
	}
	if e.ticket.retryOrTrial() {
		return nil
	}
	belowGuarantee := e.rank.len() < q.guaranteedLength(e.rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		r := q.ranks[i]
		if r == e.rank {
			if v := r.victim(e); v != nil {
				return v
			}
			if !belowGuarantee {
				return nil
			}
			continue
		}
		if r.len() > q.guaranteedLength(r) {
			return r.lastCallOrFirstAttempt()
		}
	}
	return nil
}

// guaranteedLength returns how many places in the queue are reserved for the rank.
func (q *Queue) guaranteedLength(r *rank) int {
	return int(math.Ceil(r.share * float64(q.options.MaxLength)))
}
