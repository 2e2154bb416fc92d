package capacity

import (
	"cmp"
	"math"
	"time"
)

// levelWeight is how much more the loss of a request costs than that of one of the next less urgent
// rank level. The queue orders ranks by itself; the weight applies where requests of several ranks are
// compared.
const levelWeight = 2.0

// lateWeight is the weight of a request that can no longer meet its latency objective: its caller still
// waits for it until the deadline.
const lateWeight = 0.5

// minNeeded bounds the slot time that a request still needs from below, so that the loss per slot time
// stays finite.
const minNeeded = time.Millisecond

// Request is a waiting request or call, as far as its loss depends on it.
type Request struct {
	Level int // rank level; 0 is the most urgent
	// UntilObjective and UntilDeadline are the times left to the latency objective and to the deadline.
	UntilObjective, UntilDeadline time.Duration
	// Done is the slot time that was spent along the call tree and is lost with the request.
	Done time.Duration
	// Needed is the slot time that is still needed along the call tree until its caller is answered.
	Needed time.Duration
}

// InTime reports whether the request can still meet its deadline.
func (r *Request) InTime() bool { return r.Needed <= r.UntilDeadline }

// Cost returns what its callers lose with the request, in units of one request of level 0 for which
// nothing was done. Work that was done has to be done again when a caller comes back, so the cost grows
// with its part of the whole work, up to the double.
func (r *Request) Cost() float64 {
	if !r.InTime() {
		return 0
	}
	cost := math.Pow(levelWeight, -float64(r.Level))
	if r.Needed > r.UntilObjective {
		cost *= lateWeight
	}
	return cost * (1 + float64(r.Done)/float64(r.Done+max(r.Needed, minNeeded)))
}

// Loss returns the cost relative to the slot time that the request still needs, per second.
func (r *Request) Loss() float64 { return r.Cost() / max(r.Needed, minNeeded).Seconds() }

// Compare orders requests by what is lost with them: it is negative if a has to be served before b.
func Compare(a, b *Request) int { return cmp.Compare(b.Loss(), a.Loss()) }
