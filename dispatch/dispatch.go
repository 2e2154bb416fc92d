// Package dispatch runs attempts at the upstreams of this VM. Nothing else connects to them, so the
// dispatcher alone manages their slots, connections, queues and drains, and it alone knows whether
// an attempt was started.
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
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Config holds the dependencies of a Dispatcher. Log, Dialer, Configuration, Observe and Gone are
// required.
type Config struct {
	Log *slog.Logger
	// Dialer opens streams to other dispatchers, for relays.
	Dialer link.Dialer
	// Configuration returns the configuration in force, or nil.
	Configuration func() *resource.Config
	// Observe receives the result of each exchange with an upstream. It must not block.
	Observe func(Observation)
	// Claims grants claims on idempotency keys. If nil, requests that need a claim are refused.
	Claims idempotency.Claims
	// Gone is called for an upstream that refuses connections, with its start time (see
	// announce.Announcement). It is withdrawn until it announces itself again. Gone must not block.
	Gone func(id fleet.UpstreamID, startMs int64)
	// Leaving is called for an upstream that has said in an answer that it leaves, with its start time.
	// It may be nil and must not block.
	Leaving func(id fleet.UpstreamID, startMs int64)
	// Crashes tracks requests that crash upstreams. If nil, they are not tracked.
	Crashes Crashes
	// Failing is called when an upstream begins to fail its requests, and when it has recovered, with
	// its start time. It may be nil and must not block.
	Failing func(id fleet.UpstreamID, startMs int64, failing bool)
	// RetryLimits returns the limits of the retry budget of each upstream of a service. If nil, the
	// dispatcher does not limit retries.
	RetryLimits func(service string) retry.Limits
	// Repeated is called when an upstream runs a request of a service that may have run before. It
	// may be nil and must not block.
	Repeated func(service string)
	// Protocol is the protocol between the dispatcher and upstreams. If its Refusal is nil,
	// OwnProtocol is used.
	Protocol Protocol
}

// Crashes tracks requests that were in flight when upstreams crashed.
type Crashes interface {
	// Refused reports whether requests with this fingerprint must not run.
	Refused(fingerprint uint64) bool
	// Crashed records the requests in flight when an upstream crashed.
	Crashed(upstream fleet.UpstreamID, service string, inFlight []InFlight)
	// Completed records that an upstream of the service answered a request with this fingerprint.
	Completed(service string, fingerprint uint64)
}

// InFlight is a request at an upstream.
type InFlight struct {
	Fingerprint uint64
	Began       time.Time
}

// Result classifies the exchange of one attempt with its upstream, as evidence of its health.
type Result uint8

// Results of an attempt.
const (
	ResultOK      Result = iota
	ResultError          // answered with status 500 or above, except 504
	ResultTimeout        // no answer by the deadline, or answered with status 504
	ResultBroken         // connection lost, or answer truncated or belonging to another request
	ResultRefused        // shed, canceled, not connected, or the upstream crashed; no evidence
)

// Observation is the result of the exchange of one attempt with its upstream.
type Observation struct {
	Upstream fleet.UpstreamID
	Service  string
	Kind     string
	Result   Result
	// Latency is the time at the upstream, without queueing.
	Latency time.Duration
	// At is when the exchange began.
	At time.Time
	// Fingerprint identifies the request's content; see wire.AttemptHead.
	Fingerprint uint64
}

// Dispatcher runs the attempts that ingresses send to the upstreams of its VM. Its methods are safe
// for concurrent use.
type Dispatcher struct {
	cfg      Config
	log      *slog.Logger
	attempts *registry
	// incarnation identifies this start of the process in acknowledgements; see wire.Ack.
	incarnation uint64

	mu        sync.RWMutex
	upstreams map[fleet.UpstreamID]*upstream
	leaving   bool
	// leavingSince is when the node has begun to leave, and stopAt when it ends at the latest. Zero: it does not leave.
	leavingSince, stopAt time.Time
	// interruptCtx is canceled by Interrupt.
	interruptCtx context.Context
	interrupt    context.CancelFunc
	// ranks holds the shares of the ranks in ranksConfig, the last configuration that was applied.
	ranks       []rankShare
	ranksConfig *resource.Config

	ahead       *readAheadBudget
	failedCalls failedCalls
	running     runningRequests
	kinds       kindModel
	active      sync.WaitGroup
	stats       stats
}

type stats struct {
	attempts, calls, duplicates, foreign, relayed, answered, notRun, unknown, failedByCall expvar.Int
	// ended counts accepted attempts by outcome and reason; declined counts the others by reason.
	// callsEnded counts the accepted attempts at calls as ended does.
	ended, declined, callsEnded expvar.Map
	// unusable counts answers of upstreams that were not passed on, by cause.
	unusable expvar.Map
	// queued and served hold the times in the queue and at the upstream, by service.
	queued, served metrics.Latencies
}

// New returns a dispatcher without upstreams.
func New(cfg Config) *Dispatcher {
	if cfg.Protocol.Refusal == nil {
		cfg.Protocol = OwnProtocol()
	}
	interruptCtx, interrupt := context.WithCancel(context.Background())
	return &Dispatcher{
		interruptCtx: interruptCtx, interrupt: interrupt,
		cfg:         cfg,
		log:         cfg.Log,
		attempts:    newRegistry(),
		incarnation: rand.Uint64() | 1,
		upstreams:   map[fleet.UpstreamID]*upstream{},
		ahead:       &readAheadBudget{free: readAheadBytes},
		failedCalls: failedCalls{window: callFailureWindow},
	}
}

// Register adds the dispatcher's handlers to m.
func (d *Dispatcher) Register(m *link.Mux) {
	m.Handle(wire.FrameAttempt, d.serveAttempt)
	m.Handle(wire.FrameRelay, d.serveRelay)
	m.Handle(wire.FramePing, servePing)
}

// Announce adds or updates an upstream. If it is draining, new attempts and those in its queue are
// refused.
func (d *Dispatcher) Announce(a announce.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[a.ID]
	if u != nil && (u.service != a.Service || u.addr != a.Addr) {
		u.close()
		u = nil
	}
	if u == nil {
		u = newUpstream(a, &d.cfg.Protocol)
		u.retryLimits = d.cfg.RetryLimits
		d.upstreams[a.ID] = u
		u.configure(d.ranksConfig, d.ranks)
		d.log.Info("upstream joined", "upstream", a.ID, "service", a.Service, "addr", a.Addr, "slots", a.Slots)
	}
	u.update(a)
}

// Withdraw removes an upstream. Attempts that are running there continue; attempts in its queue are
// refused.
func (d *Dispatcher) Withdraw(id fleet.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		d.remove(u)
	}
}

// remove removes a registered upstream. d.mu is held.
func (d *Dispatcher) remove(u *upstream) {
	delete(d.upstreams, u.id)
	u.close()
	d.log.Info("upstream left", "upstream", u.id)
}

// lookUp returns the upstream of an attempt, or nil if no such upstream is registered here.
func (d *Dispatcher) lookUp(id fleet.UpstreamID) (u *upstream, leaving bool) {
	d.refreshRanks()
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.upstreams[id], d.leaving
}

// beginExchange counts an exchange with another node as active until end is called, so that Leave waits
// for it from its first frame on. ok is false if the dispatcher is leaving; it is then not counted.
func (d *Dispatcher) beginExchange() (end func(), ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.leaving {
		return func() {}, false
	}
	d.active.Add(1)
	return d.active.Done, true
}

// Metrics returns the dispatcher's counters for expvar.
func (d *Dispatcher) Metrics() *expvar.Map {
	m := metrics.Counters(map[string]*expvar.Int{
		"attempts":   &d.stats.attempts,
		"calls":      &d.stats.calls, // attempts at calls of running requests
		"duplicates": &d.stats.duplicates,
		"foreign":    &d.stats.foreign, // acknowledged by an earlier incarnation of the dispatcher
		"relayed":    &d.stats.relayed,
		"answered":   &d.stats.answered,
		"not_run":    &d.stats.notRun,
		"unknown":    &d.stats.unknown,
		// failed runs that are put down to a failed call of the upstream
		"failed_by_call": &d.stats.failedByCall,
	})
	m.Set("ended", &d.stats.ended)
	m.Set("declined", &d.stats.declined)
	m.Set("unusable", &d.stats.unusable)
	m.Set("calls_ended", &d.stats.callsEnded)
	m.Set("kinds", expvar.Func(func() any { return d.kinds.statuses(time.Now()) }))
	// bytes of large answers that are held until their ingresses read them
	m.Set("read_ahead_bytes", expvar.Func(func() any { return d.ahead.held() }))
	m.Set("queued", &d.stats.queued)
	m.Set("served", &d.stats.served)
	m.Set("upstreams", expvar.Func(func() any { return d.upstreamStatuses() }))
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
	// RateLimit is how many requests per second the upstream accepts; 0: no limit.
	RateLimit float64 `json:"rateLimit,omitempty"`
}

func (d *Dispatcher) upstreamStatuses() []UpstreamStatus {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]UpstreamStatus, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		out = append(out, u.status())
	}
	return out
}
