package balance

import (
	"time"

	"golang.org/x/time/rate"
)

// ByteBudget limits the bytes that a node's requests send between regions. Control
// traffic uses a reserve outside the budget and doesn't count against it.
type ByteBudget struct {
	limiter *rate.Limiter
	burst   float64
	levels  int
}

// ByteOptions configure a ByteBudget.
type ByteOptions struct {
	// LinkBytesPerSecond is the node's share of the link's capacity.
	LinkBytesPerSecond float64
	// ControlReserve is the fraction of LinkBytesPerSecond that is reserved for
	// control traffic, 0 to 1.
	ControlReserve float64
	// Burst is the time over which unused budget accumulates.
	Burst time.Duration
	// Levels is the number of ranks, at least 1.
	Levels int
}

// DefaultByteOptions returns options for a link of 30 Mbit/s that is shared by the
// given number of nodes of a region.
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

// WouldAllow reports whether Allow would succeed, without taking the bytes. It serves to
// set Request.CrossAllowed: the bytes are taken only if the chosen upstream is in
// another region.
func (b *ByteBudget) WouldAllow(now time.Time, level int, bytes int64) bool {
	level = min(max(level, 0), b.levels-1)
	reserve := b.burst * float64(level) / float64(b.levels)
	// An answer larger than the maximum budget is allowed once the budget is full.
	need := min(float64(bytes), b.burst-reserve)
	return b.limiter.TokensAt(now)-need >= reserve
}

// Allow takes the expected bytes of a request and its answer from the budget and
// reports whether the budget was sufficient. Less urgent levels must leave a larger
// remainder, so that the last of the budget goes to the urgent ones.
func (b *ByteBudget) Allow(now time.Time, level int, bytes int64) bool {
	if !b.WouldAllow(now, level, bytes) {
		return false
	}
	b.Charge(now, bytes)
	return true
}

// Charge takes bytes from the budget in addition to those that Allow has taken. The
// budget can become negative; later requests have to wait until it has recovered.
func (b *ByteBudget) Charge(now time.Time, extra int64) {
	for extra > 0 {
		part := min(extra, max(int64(b.burst), 1))
		b.limiter.ReserveN(now, int(part))
		extra -= part
	}
}
