package admission

import (
	"math"
	"time"
)

// Threshold tells ingresses which work to refuse before they send it. The zero
// value admits only level 0; AdmitAll is the one to start with.
type Threshold struct {
	// Level is the least urgent level of which some work is admitted.
	Level int
	// Share is the part of that level's callers that is refused, 0 to 1.
	Share float64
	// Refused holds the refused part of each known level, the most urgent
	// first. Level and Share can't express a flood of an urgent rank beside
	// less urgent ranks that keep their shares; Refused can.
	Refused []RefusedShare
}

// RefusedShare is the part of a level's callers that is refused, 0 to 1.
type RefusedShare struct {
	Level int     `cbor:"1,keyasint"`
	Share float64 `cbor:"2,keyasint"`
}

// Refuses reports whether work of a level from a caller with the given hash is
// to be refused. The hash must be spread over all 64 bits.
func (t Threshold) Refuses(level int, callerHash uint64) bool {
	part := float64(callerHash>>11) / (1 << 53)
	for _, r := range t.Refused {
		if r.Level == level {
			return part < r.Share
		}
	}
	switch {
	case level < t.Level:
		return false
	case level == t.Level:
		return part < t.Share
	}
	return true
}

// AdmitAll is the threshold of a dispatcher that refuses nothing.
func AdmitAll() Threshold { return Threshold{Level: math.MaxInt32} }

// Threshold returns what ingresses should refuse.
func (q *Queue) Threshold(now time.Time) Threshold {
	t := AdmitAll()
	t.Refused = make([]RefusedShare, 0, len(q.ranks))
	for _, r := range q.ranks {
		share := r.shed.share(now)
		t.Refused = append(t.Refused, RefusedShare{r.level, share})
		if len(t.Refused) == 1 || share < maxRefused || r.share > 0 {
			t.Level, t.Share = r.level, share
		}
	}
	return t
}

const (
	// shedInterval is how often the admitted share moves.
	shedInterval = 100 * time.Millisecond
	// shedTarget is the pressure that the control aims at: a queue that is half
	// as long as the dispatcher allows, so that the upstream stays busy and the
	// dispatcher refuses little itself.
	shedTarget = 0.5
	// The gains apply to the logarithm of the admitted share, per interval.
	// shedGain is slow because an ingress hears of a new threshold only with its
	// next response, about a second later when it sends little. shedRise is for
	// pressure above 1, when the dispatcher refuses work: then responses are
	// frequent. shedFall is for a rank that waits for work: without it, work is
	// refused for a quarter of a minute after an overload. shedDamping answers
	// to changes of the pressure.
	shedGain    = 0.02
	shedRise    = 0.1
	shedFall    = 0.5
	shedDamping = 0.2
	// idlePressure is the pressure below which a rank waits for work.
	idlePressure = 0.2
	// refusedPressure is the pressure that a refusal counts as.
	refusedPressure = 2.0
	// minAdmitted keeps a few callers of every rank as a measure of its load.
	minAdmitted = 1 - maxRefused
	maxRefused  = 0.98
	// maxIntervals bounds the intervals that are made up for after a quiet time.
	maxIntervals = 50
)

// shedding derives the part of a rank that ingresses should refuse from the
// pressure on it: the estimated wait of offered first attempts as a part of the
// longest wait with which they are admitted. It is a proportional-integral
// control as in active queue management.
type shedding struct {
	value    float64 // refused part; the zero value refuses nothing
	since    time.Time
	sum      float64
	offers   int
	pressure float64 // of the last interval
}

// offered takes in the pressure at which a ticket was offered.
func (s *shedding) offered(now time.Time, pressure float64) {
	s.update(now)
	s.sum += min(pressure, refusedPressure)
	s.offers++
}

// refused takes in that an admitted ticket expired or gave way to another.
func (s *shedding) refused(now time.Time) {
	s.update(now)
	s.sum += refusedPressure
	s.offers++
}

func (s *shedding) share(now time.Time) float64 {
	s.update(now)
	return s.value
}

// update moves the share at the end of each interval.
func (s *shedding) update(now time.Time) {
	if s.since.IsZero() {
		s.since = now
		return
	}
	intervals := int(now.Sub(s.since) / shedInterval)
	if intervals < 1 {
		return
	}
	pressure := 0.0
	if s.offers > 0 {
		pressure = s.sum / float64(s.offers)
	}
	change := shedGain*(pressure-shedTarget) + shedRise*max(pressure-1, 0) - shedFall*max(idlePressure-pressure, 0)
	change = change*float64(min(intervals, maxIntervals)) + shedDamping*(pressure-s.pressure)
	admitted := (1 - s.value) * math.Exp(-change)
	s.value = 1 - min(max(admitted, minAdmitted), 1)
	s.pressure, s.since, s.sum, s.offers = pressure, now, 0, 0
}
