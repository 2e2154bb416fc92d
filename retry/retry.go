// Package retry decides whether a request gets another attempt, and keeps the retry
// budgets. It reads no clock: time is a parameter.
package retry

import (
	"cmp"
	"time"

	"github.com/godwithub/godwithub/outcome"
)

const (
	// Ratio is the number of retries allowed per first attempt.
	Ratio = 0.1
	// Window is the sliding window over which Ratio is measured.
	Window = 10 * time.Second
	// Reserve is the number of retries allowed in addition to Ratio, for services with
	// few requests. One of them is restored every ReserveInterval.
	Reserve = 3
	// ReserveInterval is long enough that services with at least 0.2 requests/s average
	// fewer than 1.2 attempts per request in the long run.
	ReserveInterval = time.Minute
	// MaxAttempts is the maximum number of attempts at one request, including those that
	// reached no upstream.
	MaxAttempts = 6
	// MaxRuns is the maximum number of upstreams that may run one request, for request
	// kinds that don't set their own.
	MaxRuns = 3

	bucketCount  = 10
	bucketLength = Window / bucketCount
)

// Limits bound the retries of one Budget within Window.
type Limits struct {
	Ratio   float64 // retries per first attempt
	Reserve float64 // retries in addition to Ratio
}

const (
	// retryShare is the fraction of the fleet's retry budget that retries may use. callShare is the fraction
	// that retries and calls of repeated runs may use together. It is larger because a repeated run fails if
	// one of its calls is refused.
	retryShare = 0.7
	callShare  = 0.9
)

// FleetLimits returns the limits of one budget of several, so that together they stay
// within ratio retries per request plus slack retries in any Window.
func FleetLimits(ratio, slack float64, budgets int) Limits {
	return Limits{Ratio: retryShare * ratio, Reserve: retryShare * slack / float64(max(budgets, 1))}
}

// Budget is the retry budget of one service at one ingress, or of one upstream. It prevents retries from
// multiplying the load when most attempts fail. The zero value is ready to use. A Budget
// is not safe for concurrent use.
type Budget struct {
	// Limits replaces Ratio, Reserve and ReserveInterval unless it is zero.
	Limits        Limits
	counts        [bucketCount]bucketCounts
	currentBucket int64 // number of the newest bucket since the Unix epoch
	firstAttempts int   // in the window
	retries       int   // in the window, excluding those taken from the reserve

	reserveUsed      float64 // retries taken from the reserve and not restored yet
	reserveUpdatedAt time.Time
}

type bucketCounts struct{ firstAttempts, retries int }

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.counts[b.index()].firstAttempts++
	b.firstAttempts++
}

// Charge records a retry that is made regardless of the budget: a call made by a repeated
// run, which is a repeat for the called service too.
func (b *Budget) Charge(now time.Time) {
	b.advance(now)
	b.counts[b.index()].retries++
	b.retries++
}

// Allow takes a retry from the budget and reports whether there was one left.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	switch {
	case b.windowHasRoom():
		b.counts[b.index()].retries++
		b.retries++
		return true
	case b.reserveHasRoom():
		b.reserveUsed++
		return true
	}
	return false
}

// WouldAllow reports whether Allow would report true.
func (b *Budget) WouldAllow(now time.Time) bool {
	b.advance(now)
	return b.windowHasRoom() || b.reserveHasRoom()
}

// WouldAllowCall reports whether there is room for a call of a repeated run, which Charge then takes.
func (b *Budget) WouldAllowCall(now time.Time) bool {
	b.advance(now)
	return float64(b.retries+1) <= b.allowed()*callShare/retryShare
}

// allowed returns how many retries the window may have.
func (b *Budget) allowed() float64 {
	if b.Limits == (Limits{}) {
		return Ratio * float64(b.firstAttempts)
	}
	return b.Limits.Ratio*float64(b.firstAttempts) + b.Limits.Reserve
}

// windowHasRoom reports whether the window allows another retry.
func (b *Budget) windowHasRoom() bool { return float64(b.retries+1) <= b.allowed() }

// reserveHasRoom reports whether the reserve has a retry left. A budget with Limits has
// no separate reserve.
func (b *Budget) reserveHasRoom() bool { return b.Limits == (Limits{}) && b.reserveUsed+1 <= Reserve }

func (b *Budget) index() int { return int(b.currentBucket % bucketCount) }

// advance drops the buckets that are out of the window and restores the reserve. A time
// before the newest bucket counts toward that bucket.
func (b *Budget) advance(now time.Time) {
	if b.reserveUpdatedAt.IsZero() {
		b.reserveUpdatedAt = now
	}
	if elapsed := now.Sub(b.reserveUpdatedAt); elapsed > 0 {
		b.reserveUsed = max(b.reserveUsed-elapsed.Seconds()/ReserveInterval.Seconds(), 0)
		b.reserveUpdatedAt = now
	}
	to := now.UnixNano() / int64(bucketLength)
	for steps := 0; b.currentBucket < to && steps < bucketCount; steps++ {
		b.currentBucket = max(b.currentBucket+1, to-bucketCount+1)
		c := &b.counts[b.index()]
		b.firstAttempts -= c.firstAttempts
		b.retries -= c.retries
		*c = bucketCounts{}
	}
}

// RequestState describes a request whose latest attempt has ended.
type RequestState struct {
	Ended      outcome.Ended
	Idempotent bool
	Attempts   int // number made so far, including the one that ended
	// Free says that the latest attempt neither reached an upstream nor was refused
	// for lack of capacity. The next one then takes nothing from the budget, since the
	// cost of earlier attempts has already been taken.
	Free bool
	// Runs is the number of attempts that an upstream may have run. MaxRuns is its
	// limit; 0 means the constant MaxRuns.
	Runs, MaxRuns int
	Deadline      time.Time
	// Expected is the usual duration of another attempt.
	Expected time.Duration
}

// Refusal says why a request is not attempted again.
type Refusal string

// Refusals. Allowed means that the request may be attempted again.
const (
	Allowed         Refusal = ""
	RefusedOutcome  Refusal = "outcome"  // answered, final, or another run is not safe
	RefusedAttempts Refusal = "attempts" // MaxAttempts or MaxRuns is reached
	RefusedDeadline Refusal = "deadline" // another attempt would end after the deadline
	RefusedBudget   Refusal = "budget"   // the service's retry budget is exhausted
)

// Decide reports whether the request may be attempted again. A retry is taken from the
// budget only if all other conditions allow it.
func Decide(now time.Time, b *Budget, s RequestState) Refusal {
	switch {
	case !s.Ended.RetryAllowed(s.Idempotent):
		return RefusedOutcome
	case s.Attempts >= MaxAttempts, s.Runs >= cmp.Or(s.MaxRuns, MaxRuns):
		return RefusedAttempts
	case now.Add(s.Expected).After(s.Deadline):
		return RefusedDeadline
	case !s.Free && !b.Allow(now):
		return RefusedBudget
	}
	return Allowed
}
