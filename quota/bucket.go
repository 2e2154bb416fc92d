package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of a customer at the leader.
type bucket struct {
	limits Limits
	// tokens is negative while the bucket owes tokens; see takeAhead.
	tokens float64
	// returned holds the tokens that were given back while tokens was negative.
	returned float64
	at       time.Time // when tokens was computed
	// promisedUntil is the latest time at which a refused request was told to return.
	promisedUntil time.Time
	usage         usage
}

// refill adds the tokens for the time until now and adopts new limits. A lower burst takes effect at
// once: tokens above it are dropped.
func (b *bucket) refill(now time.Time, l Limits) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += b.limits.Rate * elapsed.Seconds()
		b.at = now
	}
	// The tokens of the past count at most up to the burst that was in force then.
	b.tokens = min(b.tokens, b.limits.capacity(), l.capacity())
	b.returned = min(b.returned, l.capacity()-1)
	b.limits = l
	if b.tokens >= 0 {
		b.tokens = min(b.tokens+b.returned, l.capacity())
		b.returned = 0
	}
}

// rounding compensates for the error of sums of fractions of tokens.
const rounding = 1e-6

// take takes up to n tokens and leaves those below keep.
func (b *bucket) take(n uint32, keep float64) uint32 {
	stock := &b.tokens
	if b.tokens < 0 {
		stock = &b.returned
	}
	available := max(0, math.Floor(*stock-keep+rounding))
	granted := uint32(min(float64(n), available))
	if granted > 0 {
		*stock = max(0, *stock-float64(granted))
	}
	return granted
}

// next returns when the bucket will hold a token.
func (b *bucket) next() time.Duration {
	return time.Duration(max(0, 1-b.tokens) * float64(b.limits.Interval()))
}

// takeAhead takes up to n tokens that the bucket will receive within ahead, and returns when it receives the
// first of them. The bucket owes them until then.
func (b *bucket) takeAhead(n uint32, ahead time.Duration) (taken uint32, first time.Duration) {
	first = b.next()
	taken = uint32(min(float64(n), max(0, math.Floor(b.tokens+b.limits.Rate*ahead.Seconds()))))
	b.tokens -= float64(taken)
	return taken, first
}

// putBack adds unused tokens. While the bucket is negative, they are kept apart and can be granted at once, at most one
// less than the burst, since a token that was granted in advance may be used at the same time.
func (b *bucket) putBack(n uint32) {
	if b.tokens < 0 {
		b.returned = min(b.limits.capacity()-1, b.returned+float64(n))
		return
	}
	b.tokens = min(b.limits.capacity(), b.tokens+float64(n))
}

// promise returns when the first of a number of refused requests may return. Each is promised a time of
// its own, so that they do not return together. Beyond maxWait the promises start again with the next
// token, as a customer far above its quota gives up or keeps sending in any case.
func (b *bucket) promise(now time.Time, refused uint32, maxWait time.Duration) time.Duration {
	interval := b.limits.Interval()
	next := b.next()
	wait := max(next, b.promisedUntil.Sub(now))
	if wait > max(maxWait, 2*interval) {
		wait = next
	}
	b.promisedUntil = now.Add(wait + time.Duration(refused)*interval)
	return wait
}

// usage counts tokens in periods of a fixed length.
type usage struct {
	granted, refused, returned uint64    // since the bucket exists
	period                     time.Time // start of the current period
	current, previous          periodCounts
}

type periodCounts struct{ granted, refused uint64 }

// count adds to the counts of the period that contains now.
func (u *usage) count(now time.Time, granted, refused uint32, period time.Duration) {
	u.roll(now, period)
	u.granted += uint64(granted)
	u.refused += uint64(refused)
	u.current.granted += uint64(granted)
	u.current.refused += uint64(refused)
}

// roll begins another period if the current one has ended.
func (u *usage) roll(now time.Time, period time.Duration) {
	switch elapsed := now.Sub(u.period); {
	case elapsed < period:
		return
	case elapsed < 2*period:
		u.previous = u.current
		u.period = u.period.Add(period)
	default:
		u.previous = periodCounts{}
		u.period = now
	}
	u.current = periodCounts{}
}
