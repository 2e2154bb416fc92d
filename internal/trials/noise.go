package trials

import (
	"math/rand/v2"
	"time"
)

// Parameters of the disturbances that Trace.Noise adds.
const (
	noiseFailureRate  = 0.003
	noiseStallRate    = 0.001
	noiseSpeedSpread  = 0.15
	meanPauseInterval = 5 * time.Minute
)

// noise generates the disturbances of one healthy upstream.
type noise struct {
	speed  float64 // factor of service times
	pauses []pause
	// pauseArrivals counts the requests that arrived during the current pause.
	pauseArrivals int
}

type pause struct{ from, to time.Duration }

func newNoise(r *rand.Rand, length time.Duration) *noise {
	n := &noise{speed: 1 + noiseSpeedSpread*(2*r.Float64()-1)}
	for at := time.Duration(0); at < length; {
		at += time.Duration(r.ExpFloat64() * float64(meanPauseInterval))
		n.pauses = append(n.pauses, pause{at, at + 300*time.Millisecond + time.Duration(r.Float64()*float64(700*time.Millisecond))})
	}
	return n
}

// serviceTime returns the service time of a request that starts at a time. stallDraw decides
// whether its slot stalls, lengthDraw for how long; both are between 0 and 1.
func (n *noise) serviceTime(at, nominal time.Duration, stallDraw, lengthDraw float64) time.Duration {
	d := time.Duration(float64(nominal) * n.speed)
	if stallDraw < noiseStallRate {
		d += time.Duration((0.2 + 0.3*lengthDraw) * float64(time.Second))
	}
	if n.paused(at) {
		d += n.pauses[0].to - at
	}
	return d
}

// paused reports whether the upstream is paused at a time. Calls may go back in time by a second at
// most, because pauses that ended earlier are dropped.
func (n *noise) paused(at time.Duration) bool {
	for len(n.pauses) > 0 && n.pauses[0].to+time.Second <= at {
		n.pauses = n.pauses[1:]
		n.pauseArrivals = 0
	}
	return len(n.pauses) > 0 && n.pauses[0].from <= at && at < n.pauses[0].to
}

// admitDuringPause counts a request that arrives during a pause and reports whether a slot was free
// for it.
func (n *noise) admitDuringPause(slots int) bool {
	n.pauseArrivals++
	return n.pauseArrivals <= slots
}
