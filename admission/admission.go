// Package admission decides which queued work an upstream runs next and which
// work is refused. A Queue belongs to one upstream. It does no I/O and reads
// no clock: the dispatcher passes the time to each call, and calls Queue from
// one goroutine at a time.
//
// Costs are slot time: a ticket that holds a slot for 20 ms costs 20 ms.
package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/godwithub/godwithub/outcome"
)

// Ticket is one attempt that waits for a slot.
type Ticket struct {
	ID     uint64 // unique among queued tickets
	Level  int    // rank, 0 is the most urgent
	Caller string
	Weight int // of the caller; below 1 counts as 1
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Retry marks a second or later attempt at a request.
	Retry bool
	// Trial marks work sent to an upstream to test it after an ejection.
	Trial bool
	// Expected is the usual slot time of the ticket's kind. 0: not known, the
	// measured mean of its rank is used.
	Expected time.Duration
}

// extra reports whether the ticket must not displace first attempts.
func (t *Ticket) extra() bool { return t.Retry || t.Trial }

// RankShare is the part of the slot time that a rank keeps while others flood.
type RankShare struct {
	Level int
	Share float64 // 0 to 1; all shares add up to 1 at most
}

// Options configure a Queue. Zero fields take the defaults.
type Options struct {
	Slots     int // requests that the upstream runs at once; default 1
	MaxLength int // tickets that wait at most; default 512
}

const (
	defaultMaxLength = 512
	// defaultCost is assumed for a ticket of a rank without measurements.
	defaultCost = 20 * time.Millisecond
	// waitFraction is the part of a ticket's slack that its estimated wait may
	// use. The estimate is a mean, so a wait that fills the whole slack would
	// miss the deadline about half of the time.
	waitFraction = 0.5
	// maxWaitFraction is the part of a ticket's slack that it waits at most. While
	// more work comes than can be served, some of it has to go. Work that has
	// waited for long would be late for its caller, and a refusal is worth more
	// to the caller the earlier it comes.
	maxWaitFraction = 0.5
	// shortWait is a wait that any ticket may use up to its whole slack. Calls
	// between services have short deadlines, and the request that makes one fails
	// with it.
	shortWait = 500 * time.Millisecond
	// usageWindow averages the slot time that each rank uses.
	usageWindow = 2 * time.Second
	// costGain is the weight of a new service time in the moving averages.
	costGain = 0.1
	// minRate bounds the estimated wait of a rank that gets no service.
	minRate = 0.01
)

// Queue orders the work of one upstream: the most urgent rank first, except
// that each rank with a share is served as soon as it is owed that share, and
// fairly between callers inside a rank. It is not safe for concurrent use.
type Queue struct {
	options   Options
	ranks     []*rank // sorted by level
	entries   map[uint64]*entry
	expiry    entryHeap // by latest start
	sequence  uint64
	inService int
}

// New returns an empty queue without guaranteed shares.
func New(o Options) *Queue {
	if o.MaxLength <= 0 {
		o.MaxLength = defaultMaxLength
	}
	q := &Queue{options: o, entries: map[uint64]*entry{}}
	q.expiry = newEntryHeap(byGiveUp, expirySlot)
	q.SetSlots(o.Slots)
	return q
}

// SetSlots changes how many requests the upstream runs at once.
func (q *Queue) SetSlots(slots int) { q.options.Slots = max(slots, 1) }

// SetRanks sets the guaranteed shares. Queued tickets stay. A rank that is not
// listed keeps no share.
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

// Ahead returns how long a new ticket of a level would wait, as the number of
// its rank's tickets that the upstream would serve in that time. Ingresses
// compare upstreams by it: the whole length says little about one rank, since
// an urgent rank passes the others and a rank with a share doesn't wait for
// the more urgent ones.
func (q *Queue) Ahead(now time.Time, level int) int {
	r := q.rank(level)
	mean := r.estimate(0)
	wait := q.wait(now, r, &entry{rank: r, cost: mean})
	return int(float64(wait) * float64(q.options.Slots) / float64(mean))
}

// InService returns the number of tickets that Next returned and Done has not
// seen.
func (q *Queue) InService() int { return q.inService }

// Offer queues t, or refuses it with a reason: ReasonDeadline if it would
// probably miss its deadline, ReasonShed if the queue is full of work that
// goes before it. evicted tickets left the queue to make room; they are to be
// refused with ReasonShed.
func (q *Queue) Offer(now time.Time, t Ticket) (ok bool, reason outcome.Reason, evicted []Ticket) {
	if _, found := q.entries[t.ID]; found {
		panic(fmt.Sprintf("admission: ticket %d is queued already", t.ID))
	}
	r := q.rank(t.Level)
	e := q.newEntry(now, r, t)
	pressure := q.pressure(now, e)
	if pressure > 1 {
		pressure = refusedPressure
	}
	if !t.extra() {
		r.shed.offered(now, pressure)
	}
	if pressure > 1 {
		return false, outcome.ReasonDeadline, nil
	}
	for len(q.entries) >= q.options.MaxLength {
		v := q.victim(e)
		if v == nil {
			q.lost(now, e)
			return false, outcome.ReasonShed, evicted
		}
		q.lost(now, v)
		q.drop(v)
		evicted = append(evicted, v.ticket)
	}
	q.add(e)
	return true, outcome.ReasonNone, evicted
}

// Next takes the next ticket to run. It is called when a slot is free, and
// each ticket it returns is given back by Done. expired tickets left the queue
// because they can't meet their deadline; they are to be refused with
// ReasonDeadline.
func (q *Queue) Next(now time.Time) (t Ticket, expired []Ticket, ok bool) {
	expired = q.Expire(now)
	r := q.choose()
	if r == nil {
		return Ticket{}, expired, false
	}
	e := r.head()
	r.serve(e)
	q.charge(now, r, e)
	q.drop(e)
	q.inService++
	return e.ticket, expired, true
}

// Expire removes the tickets that can't meet their deadline even if they start
// now. They are to be refused with ReasonDeadline. Next does the same; Expire
// is for an upstream whose slots stay busy.
func (q *Queue) Expire(now time.Time) []Ticket {
	var expired []Ticket
	for q.expiry.len() > 0 && q.expiry.min().giveUp.Before(now) {
		e := q.expiry.min()
		q.lost(now, e)
		q.drop(e)
		expired = append(expired, e.ticket)
	}
	return expired
}

// NextExpiry returns when Expire will next find a ticket.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	if q.expiry.len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.min().giveUp, true
}

// Remove takes a queued ticket out, for instance because its caller went away.
// It reports whether the ticket was queued.
func (q *Queue) Remove(id uint64) bool {
	e, found := q.entries[id]
	if found {
		q.drop(e)
	}
	return found
}

// Done ends the service of a ticket that Next returned. service is how long its
// work held the slot. 0 means that the work was not done: that tells nothing of
// the time which work takes, and would let more into the queue than can be
// served in time.
func (q *Queue) Done(now time.Time, t Ticket, service time.Duration) {
	q.inService = max(q.inService-1, 0)
	if service > 0 {
		q.rank(t.Level).measure(t.Expected, service)
	}
}

func (q *Queue) newEntry(now time.Time, r *rank, t Ticket) *entry {
	q.sequence++
	e := &entry{ticket: t, rank: r, sequence: q.sequence, cost: r.estimate(t.Expected)}
	e.latestStart = t.Deadline.Add(-e.cost)
	e.giveUp = now.Add(longestWait(e.latestStart.Sub(now)))
	r.tag(e)
	return e
}

// longestWait returns how long a ticket with the given slack waits at most.
func longestWait(slack time.Duration) time.Duration {
	part := time.Duration(maxWaitFraction * float64(slack))
	return max(part, min(slack, shortWait))
}

func (q *Queue) add(e *entry) {
	q.entries[e.ticket.ID] = e
	e.rank.add(e)
	q.expiry.push(e)
}

func (q *Queue) drop(e *entry) {
	delete(q.entries, e.ticket.ID)
	e.rank.remove(e)
	q.expiry.remove(e)
}

// rank returns the rank of a level and adds it if it is new.
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

// choose returns the rank to serve: of those that are owed a whole ticket, the
// one that is owed most; otherwise the most urgent.
func (q *Queue) choose() *rank {
	var owed, urgent *rank
	for _, r := range q.ranks {
		if r.len() == 0 {
			continue
		}
		if urgent == nil {
			urgent = r
		}
		if r.owed() && (owed == nil || r.credit > owed.credit) {
			owed = r
		}
	}
	if owed != nil {
		return owed
	}
	return urgent
}

// charge accounts for the slot time that e is about to use.
func (q *Queue) charge(now time.Time, r *rank, e *entry) {
	r.usage.add(now, float64(e.cost)/float64(q.options.Slots))
	largest := time.Duration(0)
	for _, o := range q.ranks {
		largest = max(largest, o.estimate(0))
	}
	for _, o := range q.ranks {
		o.earn(e.cost, max(largest, e.cost))
	}
	r.pay(e.cost)
}

// pressure returns the estimated wait of e as a part of the longest with which
// it is admitted.
func (q *Queue) pressure(now time.Time, e *entry) float64 {
	slack := e.latestStart.Sub(now)
	if slack < 0 {
		return refusedPressure
	}
	wait := q.wait(now, e.rank, e)
	if wait == 0 {
		return 0
	}
	return float64(wait) / (waitFraction * max(float64(slack), 1))
}

// lost takes in that a first attempt was refused for lack of room or expired.
// Retries and trials are expected to lose and don't count.
func (q *Queue) lost(now time.Time, e *entry) {
	if !e.ticket.extra() {
		e.rank.shed.refused(now)
	}
}

// wait estimates how long e would queue. The rank is served at the rate that
// the other ranks leave, but at its share at least.
func (q *Queue) wait(now time.Time, r *rank, e *entry) time.Duration {
	if len(q.entries) == 0 && q.inService < q.options.Slots {
		return 0
	}
	left, urgent := 1.0, time.Duration(0)
	for _, o := range q.ranks {
		switch used := o.usage.at(now); {
		case o.level < r.level:
			left -= used
			urgent += o.queued
		case o.level > r.level:
			left -= min(used, o.share)
		}
	}
	work := float64(r.ahead(e))
	if left > r.share {
		work += float64(urgent) * max(left, minRate)
	}
	slots := float64(q.options.Slots)
	wait := work / (slots * max(left, r.share, minRate))
	if q.inService >= q.options.Slots {
		wait += float64(r.estimate(0)) / slots
	}
	return time.Duration(wait)
}

// victim returns the queued entry that gives way to e, or nil if e is to be
// refused. Retries and trials go first and never displace first attempts.
// Otherwise the newest entry in fair order of the least urgent rank above its
// guaranteed length goes.
func (q *Queue) victim(e *entry) *entry {
	for i := len(q.ranks) - 1; i >= 0; i-- {
		r := q.ranks[i]
		v := r.extras.last()
		if v == nil {
			continue
		}
		if !e.ticket.extra() || r.level > e.rank.level || r == e.rank && e.before(v) {
			return v
		}
	}
	if e.ticket.extra() {
		return nil
	}
	under := e.rank.len() < q.guaranteed(e.rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		r := q.ranks[i]
		if r == e.rank {
			if v := r.firsts.last(); v != nil && e.before(v) {
				return v
			}
			if !under {
				return nil
			}
			continue
		}
		if r.len() > q.guaranteed(r) {
			return r.firsts.last()
		}
	}
	return nil
}

// guaranteed returns how many places of the queue the rank keeps.
func (q *Queue) guaranteed(r *rank) int {
	return int(math.Ceil(r.share * float64(q.options.MaxLength)))
}
