// Package pool collects the requests for tokens at a broker or node into few demands, and divides the
// tokens that are granted among them.
package pool

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/quota"
)

// ErrUnavailable means that no answer to a demand arrived in time.
var ErrUnavailable = errors.New("pool: no tokens were granted or refused in time")

const (
	// expireInterval is the time between checks for tokens that were kept for too long.
	expireInterval = 50 * time.Millisecond
	// maxInFlight bounds the demands without an answer.
	maxInFlight = 64
)

// Config holds the settings and dependencies of a Pool. All fields but AwaitSent are required.
type Config struct {
	// Sender is the name of this process in demands.
	Sender string
	// Interval is the shortest time between two demands.
	Interval time.Duration
	// Timeout is how long the answer to a demand may take.
	Timeout time.Duration
	// Limits returns the limits of a customer.
	Limits quota.LimitsFunc
	// ReserveLimit returns how many unused tokens of a customer may be kept.
	ReserveLimit func(quota.Limits) int
	// AwaitSent makes Acquire wait for demands that are in flight when its context ends, so that tokens which
	// they are granted are not lost.
	AwaitSent bool
	// Ask sends a demand and returns the answer.
	Ask func(context.Context, *quota.Demand) (*quota.Grant, error)
}

// Want is what a request asks for: tokens for the requests that wait, and spare ones.
type Want struct {
	Customer     string
	Count, Spare uint32
}

// Result is the answer to a Want; see quota.GrantItem.
type Result struct {
	Granted uint32 // tokens that may be used at once
	Later   uint32 // tokens that may be used from Wait on, one per Limits.Interval
	// Generation is that of all these tokens, or quota.MixedGenerations.
	Generation uint64
	// Wait is how long the first request that got no token at once has to wait until it may run, if Later is
	// above 0, or ask again.
	Wait time.Duration
}

// Pool collects demands for tokens. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	wake chan struct{}

	mu       sync.Mutex
	reserves *quota.Reserves
	queue    map[string][]*entry
	returns  map[string]uint32 // tokens to give back with the next demand, all of generation
	sequence uint64            // of the latest demand
	// generation is that of the grant for the latest demand that was answered, whose sequence number is
	// generationAt.
	generation   uint64
	generationAt uint64
	inFlight     int  // demands without an answer
	holding      bool // the reserves may hold tokens
	nextSend     time.Time
	nextExpiry   time.Time
	stats        Stats
}

// Stats counts what a Pool has done.
type Stats struct {
	Demands     uint64 `json:"demands"`     // messages sent
	Failed      uint64 `json:"failed"`      // messages without an answer in time
	Granted     uint64 `json:"granted"`     // tokens granted by the next level
	Returned    uint64 `json:"returned"`    // tokens given back to it
	Dropped     uint64 `json:"dropped"`     // returned tokens of a former leader
	FromReserve uint64 `json:"fromReserve"` // tokens taken from the reserve
	Unavailable uint64 `json:"unavailable"` // requests that got no answer in time
}

// entry is one Want that waits for tokens.
type entry struct {
	w       *waiter
	index   int
	missing uint32
	sent    bool // part of a demand without an answer
}

// waiter is a call of Acquire.
type waiter struct {
	results []Result
	entries []*entry
	open    int           // entries without a result
	done    chan struct{} // closed when open is 0
	failed  chan struct{} // receives a value when a demand failed after the end of the context
	ended   bool          // the context has ended
	gone    bool          // the call has returned
}

// New returns a pool. Run serves it.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, wake: make(chan struct{}, 1), reserves: quota.NewReserves(), queue: map[string][]*entry{}, returns: map[string]uint32{},
		// Greater than all numbers before a restart, unless the clock was set back. In that case, returned
		// tokens are not counted until the numbers exceed the former ones.
		sequence: uint64(time.Now().UnixMicro()),
	}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Generation returns the generation of the latest grant.
func (p *Pool) Generation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation
}

// Acquire returns the results of wants, in their order. It waits until ctx ends, or longer with AwaitSent, and then
// returns ErrUnavailable. If the wait exceeds slow, onSlow is called once.
func (p *Pool) Acquire(ctx context.Context, wants []Want, slow time.Duration, onSlow func()) ([]Result, error) {
	w, served := p.enqueue(time.Now(), wants)
	if served {
		return w.results, nil
	}
	p.signal()
	timer := time.NewTimer(slow)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return w.results, nil
		case <-timer.C:
			onSlow()
		case <-ctx.Done():
			if p.cfg.AwaitSent && p.awaitSent(w) {
				return w.results, nil
			}
			return p.abandon(w, wants)
		}
	}
}

// enqueue serves wants from the reserves and queues the rest. served reports whether there is no rest.
func (p *Pool) enqueue(now time.Time, wants []Want) (w *waiter, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	w = &waiter{results: make([]Result, len(wants)), done: make(chan struct{}), failed: make(chan struct{}, 1)}
	for i, want := range wants {
		limit := 0
		if l, ok := p.cfg.Limits(want.Customer); ok {
			limit = p.cfg.ReserveLimit(l)
		}
		taken := p.reserves.Take(now, want.Customer, want.Count, limit)
		p.stats.FromReserve += uint64(taken.Count)
		if taken.Count < want.Count {
			w.open++
			e := &entry{w: w, index: i, missing: want.Count - taken.Count}
			w.entries = append(w.entries, e)
			p.queue[want.Customer] = append(p.queue[want.Customer], e)
		} else {
			taken = taken.Plus(p.reserves.Surplus(want.Customer, want.Spare))
		}
		w.results[i].Granted, w.results[i].Generation = taken.Count, taken.Generation
	}
	return w, w.open == 0
}

// awaitSent waits until w has all results or one of its demands fails, if any of them is in flight. It reports
// whether w got all results.
func (p *Pool) awaitSent(w *waiter) bool {
	p.mu.Lock()
	w.ended = true
	sent := slices.ContainsFunc(w.entries, func(e *entry) bool { return e.sent })
	p.mu.Unlock()
	if !sent {
		return false
	}
	select {
	case <-w.done:
		return true
	case <-w.failed:
		return false
	}
}

// abandon ends a call that has waited for too long. Tokens that it got for some of its wants are kept.
func (p *Pool) abandon(w *waiter, wants []Want) ([]Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.open == 0 {
		return w.results, nil
	}
	w.gone = true
	p.stats.Unavailable++
	p.reclaimAll(time.Now(), wants, w.results)
	return nil, ErrUnavailable
}

// signal wakes Run up, without blocking.
func (p *Pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends demands until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		if next, ok := p.step(ctx, time.Now()); ok {
			timer.Reset(next)
		}
	}
}

// step sends a demand if one is due. It returns after which time it has to be called again; ok is false if there is
// no need to before the next signal.
func (p *Pool) step(ctx context.Context, now time.Time) (next time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if p.hasWork() && !now.Before(p.nextSend) && p.inFlight < maxInFlight {
		if b := p.newBatch(now); b != nil {
			p.nextSend = now.Add(p.cfg.Interval)
			if len(b.entries) == maxItems {
				p.nextSend = now // the rest did not fit
			}
			p.inFlight++
			p.stats.Demands++
			go p.send(ctx, b)
		}
	}
	switch {
	case p.hasWork():
		return max(time.Millisecond, p.nextSend.Sub(now)), true
	case p.holding:
		return p.nextExpiry.Sub(now), true
	}
	return 0, false
}

// hasWork reports whether there is something to send. p.mu is held.
func (p *Pool) hasWork() bool { return len(p.queue) > 0 || len(p.returns) > 0 }
