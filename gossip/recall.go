package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// confirmInterval is the time between two requests to acknowledge a departure. It exceeds the
// round-trip time between regions.
const confirmInterval = 100 * time.Millisecond

// recall delivers the departures of this node that other members have kept.
type recall struct {
	mu          sync.Mutex
	departures  []fleet.Departure
	subscribers []func(fleet.Departure)
	// done is closed once the first departures, if any, have been delivered.
	done     chan struct{}
	doneOnce sync.Once
}

func newRecall() *recall { return &recall{done: make(chan struct{})} }

// deliver passes departures to the subscribers, in the order of its calls.
func (r *recall) deliver(list []fleet.Departure) {
	if len(list) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departures = append(r.departures, list...)
	for _, d := range list {
		for _, f := range r.subscribers {
			f(d)
		}
	}
}

func (r *recall) subscribe(f func(fleet.Departure)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	for _, d := range r.departures {
		f(d)
	}
}

func (r *recall) finish() { r.doneOnce.Do(func() { close(r.done) }) }

// RecordDeparture makes other members keep a departure of one of this node's upstreams, so that a later
// process of this node learns of it. It returns once enough of them have acknowledged that and
// Config.DepartureDisks control VMs have it on their disks, or the error of ctx.
func (g *Gossip) RecordDeparture(ctx context.Context, d fleet.Departure) error {
	var number uint64
	g.updateCore(func(c *core, now time.Time) { number = c.recordDeparture(now, d) })
	defer g.updateCore(func(c *core, now time.Time) { delete(c.confirming, number) })
	poll := time.NewTicker(confirmInterval / 20)
	defer poll.Stop()
	for asked := time.Now(); !g.isConfirmed(number); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
		if time.Since(asked) >= confirmInterval {
			asked = time.Now()
			g.updateCore(func(c *core, now time.Time) { c.askForConfirmation(number) })
		}
	}
	return nil
}

func (g *Gossip) isConfirmed(number uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.confirmed(number)
}

// RecallDepartures calls f for each departure that an earlier process of this node has recorded, as they
// become known. f must not block. The returned channel is closed once those that other members know at the
// start have been passed to f.
func (g *Gossip) RecallDepartures(f func(fleet.Departure)) <-chan struct{} {
	g.recall.subscribe(f)
	return g.recall.done
}
