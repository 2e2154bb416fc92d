// Package quota decides how many requests of a customer may run over all nodes. The leader of the
// control group keeps a token bucket for each customer. Other members of the group and the nodes ask
// it for tokens and hold small reserves of them.
//
// The package does no I/O, reads no clock and starts no goroutines.
package quota

import (
	"math"
	"time"
)

// Limits are the quota of a customer: a token bucket that fills at Rate tokens per second and holds up
// to Burst. A Rate of 0 means that there is no limit.
type Limits struct {
	Rate, Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limits) Unlimited() bool { return l.Rate <= 0 }

// capacity returns how many tokens a bucket holds. One that held less than a token would never grant
// any.
func (l Limits) capacity() float64 { return max(1, l.Burst) }

// Interval returns the time in which one token is added.
func (l Limits) Interval() time.Duration { return time.Duration(float64(time.Second) / l.Rate) }

// Bounds are how far the requests that run may exceed a quota: in each window, at most
// (rate x Window + burst) x (1 + Overshoot) + Tolerance requests of a customer may run.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Tolerance float64
}

// DefaultBounds returns the bounds that are used if the settings name none.
func DefaultBounds() Bounds { return Bounds{Window: 5 * time.Second, Overshoot: 0.1, Tolerance: 20} }

// The excess that the bounds allow is divided between a higher rate, the tokens with which a new leader
// starts, and the reserves: reserveShare is that of all brokers, and again that of all nodes. A request that runs late needs no part, since its token was
// granted after it was sent.
const (
	rateShare    = 0.4
	startShare   = 0.25
	reserveShare = 0.125
	// minBrokers is the number of brokers between which the reserves are divided if there are fewer. Members
	// that have not yet learned of an added one thus stay within the bounds, up to that number.
	minBrokers = 8
	// reserveOfBurst bounds the reserves of all holders relative to the burst, since a bucket from which
	// they took more would refuse others.
	reserveOfBurst = 0.25
)

// excess returns how many requests above a quota may run in a window.
func (b Bounds) excess(l Limits) float64 {
	return b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) + b.Tolerance
}

// Enforced returns the limits that the leader enforces for a quota. A customer that stays within its quota
// at the places where its requests begin may exceed it by some where the tokens are counted, as demands
// overtake each other, so the rate is higher by a part of the excess that the bounds allow.
func (b Bounds) Enforced(l Limits) Limits {
	if l.Unlimited() {
		return l
	}
	l.Rate += rateShare * b.excess(l) / b.Window.Seconds()
	return l
}

// startTokens returns how many tokens a bucket holds when a new leader begins, which does not know what
// the former one has granted.
func (b Bounds) startTokens(l Limits) float64 {
	return min(l.capacity(), startShare*b.excess(l))
}

// ReserveLimit returns how many unused tokens of a customer each of a number of holders may keep. It is 0
// for a small quota, since the tokens would be missing elsewhere. The tolerance is not divided: it is the
// same for all customers, and thus large relative to a small quota.
func (b Bounds) ReserveLimit(l Limits, holders int) int {
	if l.Unlimited() || holders < 1 {
		return 0
	}
	total := min(reserveShare*b.Overshoot*l.Rate*b.Window.Seconds(), reserveOfBurst*l.Burst)
	return int(total / float64(holders))
}

// BrokerReserveLimit returns how many unused tokens of a customer each of a number of brokers may keep.
func (b Bounds) BrokerReserveLimit(l Limits, brokers int) int {
	return b.ReserveLimit(l, max(minBrokers, brokers))
}

// Demand asks for tokens, on behalf of all requests that wait for them at the sender.
type Demand struct {
	_ struct{} `cbor:",toarray"`
	// Sender and Sequence identify the demand. Sequence increases with each demand of a sender, also over
	// its restarts.
	Sender   string
	Sequence uint64
	// Generation is that of the returned tokens. They count only at the leader that granted them.
	Generation uint64
	// TimeoutMs is how long the sender waits for the grant, in milliseconds.
	TimeoutMs uint32
	Items     []Item
}

// WithDeadline returns a copy of d with the timeout that remains until deadline at the time now.
func (d *Demand) WithDeadline(now, deadline time.Time) *Demand {
	c := *d
	c.TimeoutMs = uint32(max(0, deadline.Sub(now).Milliseconds()))
	return &c
}

// Timeout returns TimeoutMs as a duration.
func (d *Demand) Timeout() time.Duration { return time.Duration(d.TimeoutMs) * time.Millisecond }

// Sequences holds the highest sequence number of each sender.
type Sequences map[string]uint64

// Accept reports whether a demand is later than all earlier demands of its sender. Tokens that any other demand
// returns must not be counted, since it may be a duplicate.
func (s Sequences) Accept(sender string, sequence uint64) bool {
	if sequence <= s[sender] {
		return false
	}
	s[sender] = sequence
	return true
}

// Item is the part of a Demand for one customer.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Want     uint32 // requests that wait for a token
	Spare    uint32 // tokens for the sender's reserve
	Returned uint32 // unused tokens that the sender gives back
}

// Grant answers a Demand. Its items are in the order of the demand's items.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Generation is that of the granted tokens, or MixedGenerations.
	Generation uint64
	Items      []GrantItem
}

// GrantItem is the part of a Grant for one customer.
type GrantItem struct {
	_       struct{} `cbor:",toarray"`
	Granted uint32
	// WaitMs is when the next token will be there for the first request that got none, in milliseconds.
	// Each further request has to wait for another Limits.Interval.
	WaitMs uint32
	// Later is how many of these requests may run then, without asking again.
	Later uint32
}

// Wait returns WaitMs as a duration.
func (i GrantItem) Wait() time.Duration { return time.Duration(i.WaitMs) * time.Millisecond }

// NewGrantItem returns an item. The wait is rounded up to milliseconds.
func NewGrantItem(granted, later uint32, wait time.Duration) GrantItem {
	ms := (wait + time.Millisecond - 1) / time.Millisecond
	return GrantItem{Granted: granted, WaitMs: uint32(min(max(0, ms), math.MaxUint32)), Later: later}
}

// MixedGenerations is the generation of tokens that several leaders have granted. They can be used, but not
// returned, since each leader counts only its own.
const MixedGenerations uint64 = 0

// Tokens are a number of tokens of one customer, with the generation of the leader that granted them.
type Tokens struct {
	Count      uint32
	Generation uint64
}

// Plus returns the tokens of t and u together.
func (t Tokens) Plus(u Tokens) Tokens {
	switch {
	case t.Count == 0:
		return u
	case u.Count == 0:
		return t
	}
	sum := Tokens{t.Count + u.Count, t.Generation}
	if t.Generation != u.Generation {
		sum.Generation = MixedGenerations
	}
	return sum
}

// Decision says whether a request may run.
type Decision struct {
	Allowed bool
	// Generation is that of the token of a request that may run.
	Generation uint64
	// RetryAfter is when a request that may not run can be sent again.
	RetryAfter time.Duration
}
