package admission

import (
	"math"
	"time"
)

// rateBurst is how much of its limit an upstream may get at once after an idle time. A longer time
// uses more of the limit when work arrives unevenly, and exceeds it by more for a moment.
const rateBurst = 500 * time.Millisecond

// rateLimit bounds the tickets that an upstream gets by the rate that it accepts. It is a token bucket
// in the form of the generic cell rate algorithm. The zero value does not limit.
type rateLimit struct {
	interval time.Duration // mean time between two tickets; 0: no limit
	// nextAt is when the bucket holds rateBurst worth of tokens again, plus one.
	nextAt time.Time
}

// set changes the limit to a rate per second. The bucket of a new limit is empty: the upstream has
// just been getting more work than it accepts.
func (l *rateLimit) set(now time.Time, perSecond float64) {
	if perSecond <= 0 || math.IsInf(perSecond, 1) {
		l.interval = 0
		return
	}
	isNew := l.interval == 0
	l.interval = time.Duration(float64(time.Second) / perSecond)
	if empty := now.Add(l.interval + rateBurst); isNew || l.nextAt.After(empty) {
		l.nextAt = empty
	}
}

// perSecond returns the rate, or +Inf without a limit.
func (l *rateLimit) perSecond() float64 {
	if l.interval == 0 {
		return math.Inf(1)
	}
	return float64(time.Second) / float64(l.interval)
}

// wait returns the time until the limit allows the next ticket.
func (l *rateLimit) wait(now time.Time) time.Duration {
	if l.interval == 0 {
		return 0
	}
	return max(0, l.nextAt.Add(-rateBurst).Sub(now))
}

// take counts a ticket.
func (l *rateLimit) take(now time.Time) {
	if l.interval == 0 {
		return
	}
	if l.nextAt.Before(now) {
		l.nextAt = now
	}
	l.nextAt = l.nextAt.Add(l.interval)
}
