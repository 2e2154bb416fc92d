package gossip

import (
	"math/rand/v2"
	"time"
)

// seedRetry schedules exchanges with seeds that are not known as live members, with exponential
// backoff.
type seedRetry struct {
	next time.Time
	wait time.Duration
}

// Bounds of the wait between exchanges with unknown seeds. The minimum is short because nodes that
// start together may each find a different seed, and would form separate fleets until a periodic
// exchange. The maximum is long so that a seed that is gone for good is rarely tried.
const (
	minSeedRetry = 500 * time.Millisecond
	maxSeedRetry = 30 * time.Second
)

// seedHedgeDelay is how long a node that joins waits for a seed before it asks another one as well. It allows for
// a connection and an exchange between regions.
const seedHedgeDelay = 250 * time.Millisecond

func newSeedRetry() *seedRetry { return &seedRetry{wait: minSeedRetry} }

// due reports whether an exchange is due at now. If so, it schedules the next one and doubles the
// wait.
func (r *seedRetry) due(now time.Time) bool {
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(r.wait/2 + rand.N(r.wait))
	r.wait = min(maxSeedRetry, 2*r.wait)
	return true
}

// missingSeed returns a random seed whose address belongs to no known live member.
func (g *Gossip) missingSeed() (addr string, ok bool) {
	if len(g.cfg.Seeds) == 0 {
		return "", false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.core.liveLinkAddrs()
	missing := make([]string, 0, len(g.cfg.Seeds))
	for _, s := range g.cfg.Seeds {
		if !known[s] {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return "", false
	}
	return missing[rand.IntN(len(missing))], true
}
