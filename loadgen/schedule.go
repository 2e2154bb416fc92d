package loadgen

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Step is a rate that holds from a time on.
type Step struct {
	From time.Duration // since the start of the load
	Rate float64       // requests per second
}

// Schedule is a rate that changes over time. Its steps are in order and the
// first is at 0.
type Schedule []Step

// ParseSchedule parses "RATE" or "RATE@FROM/RATE@FROM/...", for instance
// "200/2000@5s/200@15s". A step without FROM starts at 0.
func ParseSchedule(s string) (Schedule, error) {
	var out Schedule
	for part := range strings.SplitSeq(s, "/") {
		rateText, fromText, timed := strings.Cut(part, "@")
		rate, err := strconv.ParseFloat(rateText, 64)
		if err != nil || rate < 0 {
			return nil, fmt.Errorf("loadgen: rate %q is not a number of requests per second", rateText)
		}
		var from time.Duration
		if timed {
			if from, err = time.ParseDuration(fromText); err != nil {
				return nil, fmt.Errorf("loadgen: rate %q: %w", part, err)
			}
		}
		if len(out) > 0 && from <= out[len(out)-1].From {
			return nil, fmt.Errorf("loadgen: step %q does not follow the one before", part)
		}
		out = append(out, Step{from, rate})
	}
	if out[0].From != 0 {
		return nil, fmt.Errorf("loadgen: schedule %q does not start at 0", s)
	}
	return out, nil
}

// Rate returns the rate at time t, and when the next step starts. Without a
// next step, next is negative.
func (s Schedule) Rate(t time.Duration) (rate float64, next time.Duration) {
	next = -1
	for i, step := range s {
		if step.From > t {
			return rate, step.From
		}
		rate = s[i].Rate
	}
	return rate, next
}

// Arrivals yields planned send times.
type Arrivals struct {
	schedule Schedule
	// interval returns the time to the next request in units of the mean
	// interval: 1 for constant intervals, exponential for Poisson.
	interval func() float64
	now      time.Duration
}

// NewArrivals returns the arrivals of a schedule.
func NewArrivals(s Schedule, interval func() float64) *Arrivals {
	return &Arrivals{schedule: s, interval: interval}
}

// Next returns the next planned time, or false if the rate is 0 for good.
func (a *Arrivals) Next() (time.Duration, bool) {
	// left is what remains of the interval, in units of the mean interval. A
	// step change during the interval stretches or shortens the rest of it.
	left := a.interval()
	for {
		rate, next := a.schedule.Rate(a.now)
		if rate == 0 && next < 0 {
			return 0, false
		}
		span := float64(next-a.now) / float64(time.Second) * rate
		if next >= 0 && span < left {
			left -= span
			a.now = next
			continue
		}
		a.now += time.Duration(left / rate * float64(time.Second))
		return a.now, true
	}
}
