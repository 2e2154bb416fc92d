package scenario

import (
	"net/netip"
	"sync"
	"time"
)

// direction is one way through a relay.
type direction int

// Directions of a relay.
const (
	toTarget   direction = iota // from clients to the target
	fromTarget                  // from the target to clients
)

// directions parses "to", "from" or "both".
func directions(s string) ([]direction, error) {
	switch s {
	case "to":
		return []direction{toTarget}, nil
	case "from":
		return []direction{fromTarget}, nil
	case "both":
		return []direction{toTarget, fromTarget}, nil
	}
	return nil, misused("direction %q is none of to, from and both", s)
}

// cut drops what goes one way, for one client or for all.
type cut struct {
	way    direction
	client netip.Addr // invalid: all clients
}

// gate holds the faults of a relay's path.
type gate struct {
	mu      sync.Mutex
	cuts    map[cut]bool
	delays  [2]time.Duration
	changed chan struct{} // closed when cuts change
}

func newGate() *gate { return &gate{cuts: map[cut]bool{}, changed: make(chan struct{})} }

func (g *gate) setCut(way direction, client netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[cut{way, client}] = true
	g.signal()
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cuts)
	g.signal()
}

// signal wakes all waiters. g.mu is held.
func (g *gate) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) setDelay(way direction, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delays[way] = d
}

func (g *gate) delay(way direction) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delays[way]
}

// closed reports whether the way is cut for the client, and returns a channel
// that closes when this may have changed.
func (g *gate) closed(way direction, client netip.Addr) (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[cut{way, client}] || g.cuts[cut{way, netip.Addr{}}], g.changed
}

// waitOpen returns true when the way is open for the client, or false when
// stop closes first.
func (g *gate) waitOpen(way direction, client netip.Addr, stop <-chan struct{}) bool {
	for {
		closed, changed := g.closed(way, client)
		if !closed {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}
