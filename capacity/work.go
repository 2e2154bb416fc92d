// Package capacity learns what requests need along their call trees and what callers lose when a request
// is refused. It does no I/O, reads no clock and starts no goroutine. Its types are not safe for
// concurrent use.
package capacity

import (
	"math"
	"time"
)

// minGain is the weight of a new observation in the moving averages after the first few, which are
// averaged with equal weights.
const minGain = 0.05

// Work is a moving estimate of the slot time of runs of one kind: from the start of a run to its end,
// including the time in which it waits for its calls. The zero value has no observation.
type Work struct {
	mean   float64 // ns
	spread float64 // mean absolute deviation, ns
	runs   int
}

// Record adds the slot time of a run. cut says that the run was ended before its work was done, so that
// the time is a lower bound. Below the mean, it says nothing. Above, it counts as if the run had gone on
// for the usual spread; without the cut runs, the estimate would fall the more runs are cut.
func (w *Work) Record(slotTime time.Duration, cut bool) {
	x := float64(slotTime)
	if cut {
		if x < w.mean {
			return
		}
		x += w.spread
	}
	w.runs++
	gain := max(minGain, 1/float64(w.runs))
	deviation := x - w.mean
	w.mean += gain * deviation
	if w.runs > 1 {
		w.spread += gain * (math.Abs(deviation) - w.spread)
	}
}

// Mean returns the mean slot time; 0 without an observation.
func (w *Work) Mean() time.Duration { return time.Duration(w.mean) }

// Spread returns the mean absolute deviation from the mean.
func (w *Work) Spread() time.Duration { return time.Duration(w.spread) }
