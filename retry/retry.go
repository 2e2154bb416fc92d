// Package retry decides whether a request gets another attempt. It reads no
// clock: time is a parameter.
package retry

import (
	"cmp"
	"time"

	"github.com/godwithub/godwithub/outcome"
)

const (
	// Ratio is the number of retries allowed per first attempt.
	Ratio = 0.1
	// Window is the time over which Ratio is measured.
	Window = 10 * time.Second
	// Reserve is the number of retries allowed beyond Ratio, for services with
	// few requests. One is restored every ReserveInterval.
	Reserve = 3
	// ReserveInterval is long enough that attempts stay under 1.2 per request
	// in the long run from 0.2 requests/s on.
	ReserveInterval = time.Minute
	// MaxAttempts is the number of attempts at one request, with those that
	// came to no upstream.
	MaxAttempts = 6
	// MaxRuns is the number of upstreams that may run one request of a kind
	// that states none.
	MaxRuns = 3

	buckets = 10
	bucket  = Window / buckets
)

// Limits bound the retries of one service at one ingress within Window.
type Limits struct {
	Ratio   float64 // retries per first attempt
	Reserve float64 // retries beyond Ratio
}

const (
	// ratioShare and slackShare are the parts of the fleet's allowance that
	// ingresses spend. The rest is for calls that repeated runs make after the
	// budget of the called service is used up; see Charge.
	ratioShare = 0.6
	slackShare = 0.6
)

// FleetLimits returns the limits of one of several ingresses, so that together
// they keep within ratio retries per request and slack beyond, in any Window.
func FleetLimits(ratio, slack float64, ingresses int) Limits {
	return Limits{Ratio: ratioShare * ratio, Reserve: slackShare * slack / float64(max(ingresses, 1))}
}

// Budget limits the retries of one service at one ingress, so that retries
// don't multiply the load when most attempts fail. The zero value is ready to
// use. It is not safe for concurrent use.
type Budget struct {
	// Limits replace Ratio, Reserve and ReserveInterval unless they are zero.
	Limits  Limits
	counts  [buckets]counts
	current int64 // number of the newest bucket, counted from the Unix epoch
	firsts  int   // in the window
	retries int   // in the window, without those from the reserve

	used       float64 // part of the reserve that is used
	restoredAt time.Time
}

type counts struct{ firsts, retries int }

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.advance(now)
	b.counts[b.index()].firsts++
	b.firsts++
}

// Charge counts a retry that is made whatever the budget says: a call of a
// repeated run, which is a repeat for the service that is called.
func (b *Budget) Charge(now time.Time) {
	b.advance(now)
	b.counts[b.index()].retries++
	b.retries++
}

// Allow reports whether the budget has a retry left, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	switch {
	case b.within():
		b.counts[b.index()].retries++
		b.retries++
		return true
	case b.reserveLeft():
		b.used++
		return true
	}
	return false
}

// Left reports whether Allow would report true.
func (b *Budget) Left(now time.Time) bool {
	b.advance(now)
	return b.within() || b.reserveLeft()
}

// within reports whether the window has room for a retry.
func (b *Budget) within() bool {
	allowed := Ratio * float64(b.firsts)
	if b.Limits != (Limits{}) {
		allowed = b.Limits.Ratio*float64(b.firsts) + b.Limits.Reserve
	}
	return float64(b.retries+1) <= allowed
}

// reserveLeft reports whether a budget without limits of its own has a part of
// the reserve left.
func (b *Budget) reserveLeft() bool { return b.Limits == (Limits{}) && b.used+1 <= Reserve }

func (b *Budget) index() int { return int(b.current % buckets) }

// advance drops the buckets that left the window and restores the reserve. A
// time before the newest bucket counts as that bucket.
func (b *Budget) advance(now time.Time) {
	if b.restoredAt.IsZero() {
		b.restoredAt = now
	}
	if elapsed := now.Sub(b.restoredAt); elapsed > 0 {
		b.used = max(b.used-elapsed.Seconds()/ReserveInterval.Seconds(), 0)
		b.restoredAt = now
	}
	to := now.UnixNano() / int64(bucket)
	for steps := 0; b.current < to && steps < buckets; steps++ {
		b.current = max(b.current+1, to-buckets+1)
		c := &b.counts[b.index()]
		b.firsts -= c.firsts
		b.retries -= c.retries
		*c = counts{}
	}
}

// Attempt describes a request whose latest attempt has ended.
type Attempt struct {
	Ended      outcome.Ended
	Idempotent bool
	Attempts   int // made so far, with the one that ended
	// Free says that the latest attempt neither loaded an upstream nor was
	// refused for lack of capacity. Another one then takes nothing from the
	// budget: what earlier attempts cost has been taken already.
	Free bool
	// Runs is how many of the attempts an upstream may have run, and MaxRuns
	// bounds it. 0: the constant MaxRuns.
	Runs, MaxRuns int
	Deadline      time.Time
	// Expected is the usual time of another attempt.
	Expected time.Duration
}

// Refusal says why there is no other attempt.
type Refusal string

// Refusals. Allowed means there is another attempt.
const (
	Allowed         Refusal = ""
	RefusedOutcome  Refusal = "outcome"  // answered, final, or it may have run
	RefusedAttempts Refusal = "attempts" // MaxAttempts or MaxRuns were made
	RefusedDeadline Refusal = "deadline" // another attempt would end too late
	RefusedBudget   Refusal = "budget"   // the service's budget is used up
)

// Decide reports whether the request may be attempted again. Only a retry that
// everything else allows is taken from the budget.
func Decide(now time.Time, b *Budget, a Attempt) Refusal {
	switch {
	case !a.Ended.RetryAllowed(a.Idempotent):
		return RefusedOutcome
	case a.Attempts >= MaxAttempts, a.Runs >= cmp.Or(a.MaxRuns, MaxRuns):
		return RefusedAttempts
	case now.Add(a.Expected).After(a.Deadline):
		return RefusedDeadline
	case !a.Free && !b.Allow(now):
		return RefusedBudget
	}
	return Allowed
}
