package trials

import (
	"math/rand/v2"
	"time"
)

// Ordinary trouble of a trace with noise.
const (
	noiseFailures = 0.003
	noiseStalls   = 0.001
	noiseSpeed    = 0.15
	noisePauses   = 5 * time.Minute // mean time between
)

// noise is the ordinary trouble of one upstream.
type noise struct {
	speed  float64 // factor of service times
	pauses []pause
	// delayed counts the requests that the pause under way delayed.
	delayed int
}

type pause struct{ from, to time.Duration }

func newNoise(r *rand.Rand, length time.Duration) *noise {
	n := &noise{speed: 1 + noiseSpeed*(2*r.Float64()-1)}
	for at := time.Duration(0); at < length; {
		at += time.Duration(r.ExpFloat64() * float64(noisePauses))
		n.pauses = append(n.pauses, pause{at, at + 300*time.Millisecond + time.Duration(r.Float64()*float64(700*time.Millisecond))})
	}
	return n
}

// service returns the time that a request takes which starts at a time. luck
// and size are between 0 and 1 and decide about a stall.
func (n *noise) service(at, usual time.Duration, luck, size float64) time.Duration {
	d := time.Duration(float64(usual) * n.speed)
	if luck < noiseStalls {
		d += time.Duration((0.2 + 0.3*size) * float64(time.Second))
	}
	if n.paused(at) {
		d += n.pauses[0].to - at
	}
	return d
}

// paused reports whether the upstream pauses at a time. Times must not fall by
// more than a second.
func (n *noise) paused(at time.Duration) bool {
	for len(n.pauses) > 0 && n.pauses[0].to+time.Second <= at {
		n.pauses = n.pauses[1:]
		n.delayed = 0
	}
	return len(n.pauses) > 0 && n.pauses[0].from <= at && at < n.pauses[0].to
}

// delay counts a request in a pause and reports whether there was a slot for
// it.
func (n *noise) delay(slots int) bool {
	n.delayed++
	return n.delayed <= slots
}
