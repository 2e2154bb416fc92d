package gossip

import (
	"math/rand/v2"
	"time"
)

// seedRetry paces exchanges with seeds that membership does not know.
type seedRetry struct {
	next time.Time
	wait time.Duration
}

// Bounds of the wait between exchanges with unknown seeds. Nodes that start
// together find a seed each and would stay apart in several fleets until a
// periodic exchange; a seed that is gone for good is asked seldom.
const (
	minSeedRetry = 500 * time.Millisecond
	maxSeedRetry = 30 * time.Second
)

func newSeedRetry() *seedRetry { return &seedRetry{wait: minSeedRetry} }

// due reports whether an exchange is due at now, and doubles the wait if so.
func (r *seedRetry) due(now time.Time) bool {
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(r.wait/2 + rand.N(r.wait))
	r.wait = min(maxSeedRetry, 2*r.wait)
	return true
}

// missingSeed returns a random seed at whose address no live member is known.
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
