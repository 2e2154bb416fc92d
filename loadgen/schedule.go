package loadgen

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Step is a rate that applies from a time on.
type Step struct {
	From time.Duration // since the start of the load
	Rate float64       // requests per second
}

// Schedule is a rate that changes over time. Its steps are in order of time; the first is at 0.
type Schedule []Step

// ParseSchedule parses "RATE" or "RATE@FROM/RATE@FROM/...", for instance "200/2000@5s/200@15s".
// A step without FROM starts at 0.
func ParseSchedule(s string) (Schedule, error) {
	var out Schedule
	for part := range strings.SplitSeq(s, "/") {
		rateText, fromText, hasFrom := strings.Cut(part, "@")
		rate, err := strconv.ParseFloat(rateText, 64)
		if err != nil || rate < 0 {
			return nil, fmt.Errorf("loadgen: rate %q is not a number of requests per second", rateText)
		}
		var from time.Duration
		if hasFrom {
			if from, err = time.ParseDuration(fromText); err != nil {
				return nil, fmt.Errorf("loadgen: rate %q: %w", part, err)
			}
		}
		if len(out) > 0 && from <= out[len(out)-1].From {
			return nil, fmt.Errorf("loadgen: step %q does not start after the step before it", part)
		}
		out = append(out, Step{from, rate})
	}
	if out[0].From != 0 {
		return nil, fmt.Errorf("loadgen: schedule %q does not start at 0", s)
	}
	return out, nil
}

// Rate returns the rate at time t, and the start of the next step, or a negative time if there is
// none.
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

// Arrivals generates the planned send times of a schedule.
type Arrivals struct {
	schedule Schedule
	// interval returns the time to the next request in units of the mean interval: 1 for constant
	// intervals, exponentially distributed for a Poisson process.
	interval func() float64
	now      time.Duration // time reached so far
}

// NewArrivals returns the arrivals of a schedule.
func NewArrivals(s Schedule, interval func() float64) *Arrivals {
	return &Arrivals{schedule: s, interval: interval}
}

// Next returns the next planned time, or false if the rate is 0 until the end of the schedule.
func (a *Arrivals) Next() (time.Duration, bool) {
	// remaining is the rest of the interval in units of the mean interval. A change of the rate
	// during the interval stretches or shortens the rest.
	remaining := a.interval()
	for {
		rate, next := a.schedule.Rate(a.now)
		if rate == 0 && next < 0 {
			return 0, false
		}
		arrivalsInStep := float64(next-a.now) / float64(time.Second) * rate
		if next >= 0 && arrivalsInStep < remaining {
			remaining -= arrivalsInStep
			a.now = next
			continue
		}
		a.now += time.Duration(remaining / rate * float64(time.Second))
		return a.now, true
	}
}
