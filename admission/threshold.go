package admission

import (
	"math"
	"time"
)

// Threshold tells ingresses which work to refuse before they send it. The zero
// value admits only level 0; the initial value to use is AdmitAll.
type Threshold struct {
	// Level is the least urgent level of which some work is admitted.
	Level int
	// RefusedShare is the fraction of that level's callers that is refused, 0 to 1.
	RefusedShare float64
	// Refused holds the refused fraction of each known level, the most urgent
	// first. It takes precedence over Level and RefusedShare, which can't express an
	// overload of an urgent rank beside less urgent ranks with guaranteed shares.
	Refused []RefusedShare
}

// RefusedShare is the fraction of a level's callers that is refused, 0 to 1.
type RefusedShare struct {
	Level int     `cbor:"1,keyasint"`
	Share float64 `cbor:"2,keyasint"`
}

// Refuses reports whether work of a level from a caller with the given hash must be
// refused. The hash must be uniformly distributed over all 64 bits.
func (t Threshold) Refuses(level int, callerHash uint64) bool {
	position := float64(callerHash>>11) / (1 << 53)
	return position < t.ShareRefused(level)
}

// ShareRefused returns the fraction of a level's callers that must be refused, 0 to 1.
func (t Threshold) ShareRefused(level int) float64 {
	for _, r := range t.Refused {
		if r.Level == level {
			return r.Share
		}
	}
	switch {
	case level < t.Level:
		return 0
	case level == t.Level:
		return t.RefusedShare
	}
	return 1
}

// AdmitAll returns a threshold that refuses nothing.
func AdmitAll() Threshold { return Threshold{Level: math.MaxInt32} }

// Threshold returns what ingresses should refuse.
func (q *Queue) Threshold(now time.Time) Threshold {
	t := AdmitAll()
	t.Refused = make([]RefusedShare, 0, len(q.ranks))
	for _, r := range q.ranks {
		share := r.controller.share(now)
		t.Refused = append(t.Refused, RefusedShare{r.level, share})
		if len(t.Refused) == 1 || share < maxRefused || r.share > 0 {
			t.Level, t.RefusedShare = r.level, share
		}
	}
	return t
}

const (
	// shedInterval is how often the refused share is adjusted.
	shedInterval = 100 * time.Millisecond
	// shedTarget is the pressure that the controller aims at: a queue half as long as
	// the dispatcher allows, so that the upstream stays busy and the dispatcher itself
	// refuses little.
	shedTarget = 0.5
	// The gains apply to the logarithm of the admitted share, per interval.
	//
	// shedIntegralGain is low because an ingress learns of a new threshold only with
	// its next response, about a second later when it sends little.
	//
	// shedOverloadGain applies to pressure above 1, when the dispatcher refuses work
	// and responses are frequent.
	//
	// shedIdleGain applies to pressure below idlePressure. Without it, work would still
	// be refused for about 15 s after an overload.
	//
	// shedProportionalGain applies to changes of the pressure.
	shedIntegralGain     = 0.02
	shedOverloadGain     = 0.1
	shedIdleGain         = 0.5
	shedProportionalGain = 0.2
	// idlePressure is the pressure below which a rank is underused.
	idlePressure = 0.2
	// refusedPressure is the pressure that a refused ticket counts as.
	refusedPressure = 2.0
	// minAdmitted is the share of every rank that is always admitted, so that its load
	// can still be measured.
	minAdmitted = 1 - maxRefused
	maxRefused  = 0.98
	// maxIntervals bounds how many elapsed intervals one update accounts for.
	maxIntervals = 50
)

// shedController computes the share of a rank's callers that ingresses should refuse
// from the pressure on the rank: the estimated wait of offered first attempts divided
// by the longest wait with which they are admitted. It is a proportional-integral (PI)
// controller as in active queue management.
type shedController struct {
	refusedShare  float64 // the zero value refuses nothing
	intervalStart time.Time
	pressureSum   float64
	offers        int
	lastPressure  float64 // of the last interval
}

// recordOffer records the pressure at the time a ticket was offered.
func (s *shedController) recordOffer(now time.Time, pressure float64) {
	s.update(now)
	s.pressureSum += min(pressure, refusedPressure)
	s.offers++
}

// recordDrop records that a ticket was refused or evicted because the queue is full,
// has expired, or was displaced.
func (s *shedController) recordDrop(now time.Time) {
	s.update(now)
	s.pressureSum += refusedPressure
	s.offers++
}

func (s *shedController) share(now time.Time) float64 {
	s.update(now)
	return s.refusedShare
}

// update adjusts the refused share once an interval has passed.
func (s *shedController) update(now time.Time) {
	if s.intervalStart.IsZero() {
		s.intervalStart = now
		return
	}
	intervals := int(now.Sub(s.intervalStart) / shedInterval)
	if intervals < 1 {
		return
	}
	pressure := 0.0
	if s.offers > 0 {
		pressure = s.pressureSum / float64(s.offers)
	}
	change := shedIntegralGain*(pressure-shedTarget) + shedOverloadGain*max(pressure-1, 0) - shedIdleGain*max(idlePressure-pressure, 0)
	change = change*float64(min(intervals, maxIntervals)) + shedProportionalGain*(pressure-s.lastPressure)
	admitted := (1 - s.refusedShare) * math.Exp(-change)
	s.refusedShare = 1 - min(max(admitted, minAdmitted), 1)
	s.lastPressure, s.intervalStart, s.pressureSum, s.offers = pressure, now, 0, 0
}
