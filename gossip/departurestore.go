package gossip

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// DepartureStore keeps departures on a disk. With it they outlive a moment at which all processes of the fleet
// end together.
type DepartureStore interface {
	// LoadDepartures returns what was saved last.
	LoadDepartures() ([]fleet.KeptDeparture, error)
	// SaveDepartures replaces what was saved before. It may block, and returns once the departures are on the disk.
	SaveDepartures([]fleet.KeptDeparture) error
}

// saveDelay is how long changes are collected before they are saved.
const saveDelay = 20 * time.Millisecond

// loadDepartures takes over the departures that an earlier process of this member has saved.
func (g *Gossip) loadDepartures() {
	if g.cfg.Departures == nil {
		return
	}
	kept, err := g.cfg.Departures.LoadDepartures()
	if err != nil {
		g.log.Warn("departures of upstreams were not loaded", "err", err)
		return
	}
	g.core.loadDepartures(time.Now(), kept)
}

// saveDepartures saves the departures of all members whenever that is due, until ctx ends.
func (g *Gossip) saveDepartures(ctx context.Context) {
	if g.cfg.Departures == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.storeDue:
		}
		time.Sleep(saveDelay)
		g.mu.Lock()
		kept, version := g.core.keptDepartures(time.Now()), g.core.storing.version
		g.mu.Unlock()
		if err := g.cfg.Departures.SaveDepartures(kept); err != nil {
			g.log.Warn("departures of upstreams were not saved", "err", err)
			g.updateCore(func(c *core, _ time.Time) { c.storeFailed() })
			continue
		}
		g.updateCore(func(c *core, _ time.Time) { c.departuresStored(version) })
	}
}
