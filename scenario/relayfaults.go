package scenario

import (
	"net/netip"
	"sync"
	"time"
)

// direction is one of the two directions through a relay.
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
	return nil, scriptErrorf("direction %q is not one of to, from and both", s)
}

// cut drops the traffic of one direction, for one client or for all.
type cut struct {
	dir    direction
	client netip.Addr // the zero Addr for all clients
}

// pathFaults holds the cuts and delays of a relay.
type pathFaults struct {
	mu      sync.Mutex
	cuts    map[cut]bool
	delays  [2]time.Duration
	changed chan struct{} // closed when cuts change
}

func newPathFaults() *pathFaults {
	return &pathFaults{cuts: map[cut]bool{}, changed: make(chan struct{})}
}

func (f *pathFaults) setCut(dir direction, client netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[cut{dir, client}] = true
	f.signal()
}

func (f *pathFaults) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	f.signal()
}

// signal wakes all waiters. The caller holds f.mu.
func (f *pathFaults) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *pathFaults) setDelay(dir direction, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays[dir] = d
}

func (f *pathFaults) delay(dir direction) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays[dir]
}

// isCut reports whether the direction is cut for the client, and returns a channel
// that is closed when this may have changed.
func (f *pathFaults) isCut(dir direction, client netip.Addr) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[cut{dir, client}] || f.cuts[cut{dir, netip.Addr{}}], f.changed
}

// waitHealed waits until the direction is not cut for the client. It returns false if
// stop is closed first.
func (f *pathFaults) waitHealed(dir direction, client netip.Addr, stop <-chan struct{}) bool {
	for {
		isCut, changed := f.isCut(dir, client)
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}
