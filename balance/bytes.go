package balance

import (
	"time"

	"golang.org/x/time/rate"
)

// ByteBudget limits the bytes that a node's work sends between regions. Control
// traffic has its reserve outside the budget and doesn't ask it.
type ByteBudget struct {
	limiter *rate.Limiter
	burst   float64
	levels  int
}

// ByteOptions configure a ByteBudget.
type ByteOptions struct {
	// LinkBytesPerSecond is the node's part of the link.
	LinkBytesPerSecond float64
	// ControlReserve is the part of it that work never uses, 0 to 1.
	ControlReserve float64
	// Burst is how much unused budget can be saved.
	Burst time.Duration
	// Levels is the number of ranks, at least 1.
	Levels int
}

// DefaultByteOptions suit a link of 30 Mbit/s shared by nodes of a region.
func DefaultByteOptions(nodes int) ByteOptions {
	const linkBytesPerSecond = 30e6 / 8
	return ByteOptions{
		LinkBytesPerSecond: linkBytesPerSecond / float64(max(nodes, 1)),
		ControlReserve:     0.2,
		Burst:              time.Second,
		Levels:             3,
	}
}

// NewByteBudget returns a budget that starts full.
func NewByteBudget(o ByteOptions) *ByteBudget {
	perSecond := o.LinkBytesPerSecond * (1 - o.ControlReserve)
	burst := max(perSecond*o.Burst.Seconds(), 1)
	return &ByteBudget{
		limiter: rate.NewLimiter(rate.Limit(perSecond), int(burst)),
		burst:   burst,
		levels:  max(o.Levels, 1),
	}
}

// Enough reports whether Allow would succeed. It is for Request.CrossAllowed:
// the bytes are taken only if the choice crosses regions.
func (b *ByteBudget) Enough(now time.Time, level int, bytes int64) bool {
	level = min(max(level, 0), b.levels-1)
	reserve := b.burst * float64(level) / float64(b.levels)
	// An answer larger than the budget can hold passes when the budget is full.
	need := min(float64(bytes), b.burst-reserve)
	return b.limiter.TokensAt(now)-need >= reserve
}

// Allow takes the expected bytes of a request and its answer from the budget
// and reports whether there was enough. Less urgent levels must leave more of
// the budget over, so that it is the urgent ones that get the last of it.
func (b *ByteBudget) Allow(now time.Time, level int, bytes int64) bool {
	if !b.Enough(now, level, bytes) {
		return false
	}
	b.Correct(now, bytes)
	return true
}

// Correct takes bytes beyond those that Allow was asked for. The budget can go
// into debt, which later requests wait for.
func (b *ByteBudget) Correct(now time.Time, extra int64) {
	for extra > 0 {
		part := min(extra, max(int64(b.burst), 1))
		b.limiter.ReserveN(now, int(part))
		extra -= part
	}
}
