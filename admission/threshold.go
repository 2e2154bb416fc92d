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
	// shedInterval is how long refusals are counted before the share moves.
	shedInterval = 100 * time.Millisecond
	// shedMinimum is the number of offers that an interval needs. With 10, the
	// noise of the refused part pushed the share above the true excess.
	shedMinimum = 30
	// Refusals at the dispatcher between shedLow and shedHigh leave the share as
	// it is. Ingresses then leave a small excess over, so that capacity is used
	// and the dispatcher still sees the overload; the band stops oscillation.
	shedLow  = 0.02
	shedHigh = 0.15
	// shedDecay is the time constant at which the share falls.
	shedDecay = 5 * time.Second
	// maxRefused keeps a few callers of every rank as a measure of its load.
	maxRefused = 0.98
	// minRefused is a share too small to be worth applying.
	minRefused = 0.01
)

// shedding measures how much of a rank the dispatcher refuses and derives the
// part that ingresses should refuse.
type shedding struct {
	value    float64
	since    time.Time
	offers   int
	refusals int
}

func (s *shedding) offered(now time.Time) {
	s.update(now)
	s.offers++
}

func (s *shedding) refused(now time.Time) {
	s.update(now)
	s.refusals++
}

func (s *shedding) share(now time.Time) float64 {
	s.update(now)
	return s.value
}

// update moves the share at the end of each interval: up at once to the part
// that leaves refusals in the band, down slowly.
func (s *shedding) update(now time.Time) {
	if s.since.IsZero() {
		s.since = now
		return
	}
	elapsed := now.Sub(s.since)
	if elapsed < shedInterval || s.offers < shedMinimum && elapsed < shedDecay {
		return
	}
	rate := 0.0
	if s.offers > 0 {
		rate = min(float64(s.refusals)/float64(s.offers), 1)
	}
	switch {
	case rate > shedHigh:
		passed := (1 - s.value) * (1 - rate) / (1 - shedHigh)
		s.value = min(1-passed, maxRefused)
	case rate < shedLow:
		s.value *= math.Exp(-elapsed.Seconds() / shedDecay.Seconds())
		if s.value < minRefused {
			s.value = 0
		}
	}
	s.since, s.offers, s.refusals = now, 0, 0
}
