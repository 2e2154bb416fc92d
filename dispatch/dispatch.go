// Package dispatch runs attempts at the upstreams of this VM. It is the only
// part that talks to them, so it alone owns their slots, connections, queues
// and drains, and it alone knows whether an attempt was started.
package dispatch

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/metrics"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Config holds what a Dispatcher needs. Log, Dialer, Configuration, Observe and Gone
// are required.
type Config struct {
	Log *slog.Logger
	// Dialer opens streams to other dispatchers, for relays.
	Dialer link.Dialer
	// Configuration returns the configuration in force, or nil.
	Configuration func() *resource.Config
	// Observe takes evidence on upstreams. It must not block.
	Observe func(Observation)
	// Claims holds idempotency keys. Nil: requests that need a claim are refused.
	Claims idempotency.Claims
	// Gone is told of upstreams that refuse connections. They are withdrawn until
	// they announce themselves again. It must not block.
	Gone func(fleet.UpstreamID)
	// Crashes keeps account of requests that crash upstreams. Nil: none is kept.
	Crashes Crashes
	// Failing is told when an upstream begins to fail its work at present, and
	// when it has recovered. May be nil. It must not block.
	Failing func(id fleet.UpstreamID, failing bool)
	// Repeated is told when an upstream runs a request of a service that may have
	// run before. May be nil. It must not block.
	Repeated func(service string)
	// Upstreams is how upstreams are spoken to. Without a Refusal it is
	// OwnProtocol.
	Upstreams Protocol
}

// Crashes keeps account of requests that were in flight when upstreams crashed.
type Crashes interface {
	// Refused reports whether a request with this fingerprint must not run.
	Refused(fingerprint uint64) bool
	// Crashed reports the requests in flight at a crash of an upstream.
	Crashed(upstream fleet.UpstreamID, service string, inFlight []uint64)
	// Completed reports that a request was answered.
	Completed(fingerprint uint64)
}

// Result is how an upstream dealt with one attempt.
type Result uint8

// Results.
const (
	ResultOK      Result = iota
	ResultError          // answered with status 500 or above
	ResultTimeout        // no answer by the deadline
	ResultBroken         // connection lost, or answer short or crossed
	ResultRefused        // shed, not connected, or the upstream crashed; no evidence
)

// Observation is evidence from one attempt.
type Observation struct {
	Upstream fleet.UpstreamID
	Service  string
	Kind     string
	Result   Result
	// Latency is the time at the upstream, without queueing.
	Latency time.Duration
	At      time.Time
	// Fingerprint identifies the request's content, see wire.AttemptHead.
	Fingerprint uint64
}

// Dispatcher serves attempts. Its methods are safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	log      *slog.Logger
	attempts *registry
	// lifetime identifies this process in acknowledgements; see wire.Ack.
	lifetime uint64

	mu        sync.RWMutex
	upstreams map[fleet.UpstreamID]*upstream
	leaving   bool
	ranks     []rankShare
	ranksFrom *resource.Config

	active sync.WaitGroup
	stats  stats
}

type stats struct {
	attempts, duplicates, foreign, relayed, answered, notRun, unknown expvar.Int
	// ended counts attempts that were taken by outcome and reason, and declined
	// those that were not, by reason.
	ended, declined expvar.Map
	// queued and served are the times in the queue and at the upstream, by service.
	queued, served metrics.Latencies
}

// New returns a dispatcher without upstreams.
func New(cfg Config) *Dispatcher {
	if cfg.Upstreams.Refusal == nil {
		cfg.Upstreams = OwnProtocol()
	}
	return &Dispatcher{
		cfg:       cfg,
		log:       cfg.Log,
		attempts:  newRegistry(),
		lifetime:  rand.Uint64() | 1,
		upstreams: map[fleet.UpstreamID]*upstream{},
	}
}

// Register adds the dispatcher's handlers to m.
func (d *Dispatcher) Register(m *link.Mux) {
	m.Handle(wire.FrameAttempt, d.serveAttempt)
	m.Handle(wire.FrameRelay, d.serveRelay)
	m.Handle(wire.FramePing, servePing)
}

// Announce adds or updates an upstream. Once it drains, attempts that come or
// wait in its queue are refused.
func (d *Dispatcher) Announce(a announce.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[a.ID]
	if u != nil && (u.service != a.Service || u.addr != a.Addr) {
		u.close()
		u = nil
	}
	if u == nil {
		u = newUpstream(a, time.Now())
		d.upstreams[a.ID] = u
		u.configure(d.ranksFrom, d.ranks)
		d.log.Info("upstream joined", "upstream", a.ID, "service", a.Service, "addr", a.Addr, "slots", a.Slots)
	}
	u.update(a)
}

// Withdraw removes an upstream. Attempts that run at it go on; attempts in its
// queue are refused.
func (d *Dispatcher) Withdraw(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return
	}
	delete(d.upstreams, id)
	u.close()
	d.log.Info("upstream left", "upstream", id)
}

// Leave refuses new attempts from now on and waits until those in hand have
// ended, or ctx ends.
func (d *Dispatcher) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() { d.active.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin finds the upstream of an attempt and counts the attempt as active
// until the returned function is called. A nil upstream is not registered here.
func (d *Dispatcher) begin(id fleet.UpstreamID) (u *upstream, leaving bool, end func()) {
	d.refreshRanks()
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.leaving {
		return nil, true, func() {}
	}
	d.active.Add(1)
	return d.upstreams[id], false, d.active.Done
}

// Metrics returns the dispatcher's counters for expvar.
func (d *Dispatcher) Metrics() *expvar.Map {
	m := metrics.Counters(map[string]*expvar.Int{
		"attempts":   &d.stats.attempts,
		"duplicates": &d.stats.duplicates,
		"foreign":    &d.stats.foreign, // first sent to an earlier process of this VM
		"relayed":    &d.stats.relayed,
		"answered":   &d.stats.answered,
		"not_run":    &d.stats.notRun,
		"unknown":    &d.stats.unknown,
	})
	m.Set("ended", &d.stats.ended)
	m.Set("declined", &d.stats.declined)
	m.Set("queued", &d.stats.queued)
	m.Set("served", &d.stats.served)
	m.Set("upstreams", expvar.Func(func() any { return d.describe() }))
	return m
}

// UpstreamStatus is the state of one upstream of this VM.
type UpstreamStatus struct {
	ID       fleet.UpstreamID `json:"id"`
	Service  string           `json:"service"`
	Draining bool             `json:"draining"`
	InUse    int              `json:"inUse"`
	Slots    int              `json:"slots"`
	Queued   int              `json:"queued"`
}

func (d *Dispatcher) describe() []UpstreamStatus {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]UpstreamStatus, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		out = append(out, u.status())
	}
	return out
}
