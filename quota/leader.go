package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// LimitsFunc returns the limits of a customer. known is false if the configuration has no such customer.
type LimitsFunc func(customer string) (l Limits, known bool)

// spareOfBurst is the part of a bucket that is not granted for reserves, since other holders may need it
// for requests that wait.
const spareOfBurst = 0.5

// The requests of some time without a leader reach the new one together, and its buckets are nearly empty.
// For recoveryTime it therefore grants tokens up to recoveryAhead before it has them, so that requests within
// the quota wait and are not refused. A change of leader takes 1 to 1.6 s, so that the times of tokens that a
// former leader granted ahead have nearly passed when the next one begins.
const (
	recoveryTime  = 4 * time.Second
	recoveryAhead = 1250 * time.Millisecond
)

// unknownWait is the wait that is told for a customer that the configuration does not have.
const unknownWait = time.Second

// Leader holds the token buckets of all customers while one replica leads the control group. It is not
// safe for concurrent use.
//
// In any period of length t, it grants at most burst + rate x t tokens of a customer beyond those that
// were given back.
type Leader struct {
	bounds     Bounds
	generation uint64
	began      time.Time
	buckets    map[string]*bucket
	sequences  Sequences
}

// NewLeader returns the state of a leader that begins at now. generation is not 0 and
// differs between leaders.
func NewLeader(b Bounds, generation uint64, now time.Time) *Leader {
	return &Leader{bounds: b, generation: generation, began: now, buckets: map[string]*bucket{}, sequences: Sequences{}}
}

// Generation returns the generation of the leader.
func (l *Leader) Generation() uint64 { return l.generation }

// Answer grants tokens for a demand. now must be a time at which this replica was the leader, which a read
// barrier that began later has confirmed; a later time could belong to the next leader.
func (l *Leader) Answer(now time.Time, d *Demand, limits LimitsFunc) *Grant {
	acceptReturns := l.acceptsReturns(d)
	g := &Grant{Generation: l.generation, Items: make([]GrantItem, len(d.Items))}
	for i := range d.Items {
		g.Items[i] = l.answerItem(now, &d.Items[i], acceptReturns, limits)
	}
	return g
}

// acceptsReturns reports whether tokens that the demand returns are added to the buckets. A demand that
// arrives twice or after a later one must not add its tokens again.
func (l *Leader) acceptsReturns(d *Demand) bool {
	return l.sequences.Accept(d.Sender, d.Sequence) && d.Generation == l.generation
}

func (l *Leader) answerItem(now time.Time, item *Item, acceptReturns bool, limits LimitsFunc) GrantItem {
	lim, known := limits(item.Customer)
	switch {
	case !known:
		return NewGrantItem(0, 0, unknownWait)
	case lim.Unlimited():
		delete(l.buckets, item.Customer)
		return NewGrantItem(item.Want, 0, 0)
	}
	b := l.bucket(now, item.Customer, lim)
	if acceptReturns && item.Returned > 0 {
		b.putBack(item.Returned)
		b.usage.returned += uint64(item.Returned)
	}
	granted := b.take(item.Want, 0)
	missing := item.Want - granted
	if missing == 0 {
		granted += b.take(item.Spare, spareOfBurst*lim.capacity())
		b.usage.count(now, granted, 0, l.bounds.Window)
		return NewGrantItem(granted, 0, 0)
	}
	var later uint32
	var wait time.Duration
	if now.Sub(l.began) < recoveryTime {
		later, wait = b.takeAhead(missing, recoveryAhead)
	}
	if later == 0 {
		wait = b.promise(now, missing, l.bounds.Window)
	}
	b.usage.count(now, granted+later, missing-later, l.bounds.Window)
	return NewGrantItem(granted, later, wait)
}

// bucket returns the bucket of a customer, filled up to now. One that was not used since the leader
// began has been filled since then.
func (l *Leader) bucket(now time.Time, customer string, lim Limits) *bucket {
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{limits: lim, tokens: l.bounds.startTokens(lim), at: l.began}
		b.usage.period = now
		l.buckets[customer] = b
	}
	b.refill(now, lim)
	return b
}

// Expire drops the buckets that were not used for the time idle and that would be created as full again.
func (l *Leader) Expire(now time.Time, idle time.Duration) {
	for name, b := range l.buckets {
		filled := b.tokens + b.limits.Rate*now.Sub(b.at).Seconds()
		if now.Sub(b.at) >= idle && filled >= b.limits.capacity() && now.Sub(l.began).Seconds()*b.limits.Rate >= b.limits.capacity() {
			delete(l.buckets, name)
		}
	}
}

// Usage is the state of a customer's quota, for operators.
type Usage struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"ratePerSecond"`
	Burst    float64 `json:"burst"`
	Tokens   float64 `json:"tokens"`
	// UsedPerSecond and RefusedPerSecond are means over about one window.
	UsedPerSecond    float64 `json:"usedPerSecond"`
	RefusedPerSecond float64 `json:"refusedPerSecond"`
	// Granted, Refused and Returned count tokens since the leader began or the customer was last idle.
	Granted  uint64 `json:"granted"`
	Refused  uint64 `json:"refused"`
	Returned uint64 `json:"returned"`
}

// Report holds the quotas of the customers that were active lately, those with the most refusals first.
type Report struct {
	Customers []Usage `json:"customers"`
}

// Usage returns the state of up to limit customers, those with the most refusals first.
func (l *Leader) Usage(now time.Time, limit int) []Usage {
	out := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		out = append(out, b.report(name, now, l.bounds.Window))
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.RefusedPerSecond, a.RefusedPerSecond), cmp.Compare(b.UsedPerSecond, a.UsedPerSecond), cmp.Compare(a.Customer, b.Customer))
	})
	return out[:min(limit, len(out))]
}

func (b *bucket) report(name string, now time.Time, period time.Duration) Usage {
	u := b.usage
	u.roll(now, period)
	seconds := (now.Sub(u.period) + period).Seconds()
	tokens := min(b.limits.capacity(), b.tokens+b.limits.Rate*max(0, now.Sub(b.at).Seconds()))
	return Usage{
		Customer: name, Rate: b.limits.Rate, Burst: b.limits.Burst, Tokens: math.Floor(tokens*100) / 100,
		UsedPerSecond: float64(u.current.granted+u.previous.granted) / seconds, RefusedPerSecond: float64(u.current.refused+u.previous.refused) / seconds,
		Granted: u.granted, Refused: u.refused, Returned: u.returned,
	}
}
