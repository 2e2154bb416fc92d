// Package ingress takes requests from callers over HTTP, finds their request
// kind, and makes attempts at upstreams through the dispatchers beside them.
package ingress

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/metrics"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Config holds what an Ingress needs. All fields are required but CrossRegion, Record and Claims.
type Config struct {
	Log    *slog.Logger
	View   func() *board.View
	Dialer link.Dialer
	// CrossRegion decides whether work of a level may be sent to another region
	// with answers of about that many bytes. Nil: always.
	CrossRegion func(level int, answerBytes int64) bool
	// Record takes the end of each request, for reports. It must not block.
	Record func(Finished)
	// Claims fences attempts whose dispatcher was lost. Nil: none are.
	Claims idempotency.Claims
	// Callers names the headers of requests. The zero value is OwnProtocol.
	Callers Protocol
	// Origin is the service of this VM, if upstreams are told where requests
	// came in.
	Origin string
	// RetryLimits returns the limits of the retry budget of each service. Nil:
	// those of package retry.
	RetryLimits func() retry.Limits
	// LameDuck says that requests are served while the node leaves, until its
	// listener is closed. Otherwise they are refused.
	LameDuck bool
}

// Ingress is the HTTP handler for callers. It is safe for concurrent use.
type Ingress struct {
	cfg   Config
	log   *slog.Logger
	loads *loadTable
	paths *pathTable
	cross *crossingTable
	trace *traceLog

	mu      sync.Mutex
	budgets map[string]*lockedBudget
	limits  map[string]*callerLimit

	started time.Time
	active  sync.WaitGroup
	// ending ends when requests in hand have to be answered as they are.
	ending    context.Context
	interrupt context.CancelFunc
	stats     stats
}

type stats struct {
	requests, attempts, retries, resends, relays, answered, notRun, unknown, shedEarly expvar.Int
	// ended counts requests by service, rank level, outcome and reason.
	ended expvar.Map
	// latency is the time to the end of a request, by service, level and outcome.
	latency metrics.Latencies
}

type lockedBudget struct {
	mu sync.Mutex
	b  retry.Budget
}

type callerLimit struct {
	limiter *rate.Limiter
	rate    float64
	burst   int
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	if cfg.Callers == (Protocol{}) {
		cfg.Callers = OwnProtocol()
	}
	ending, interrupt := context.WithCancel(context.Background())
	return &Ingress{
		ending: ending, interrupt: interrupt,
		started: time.Now(),
		cfg:     cfg,
		log:     cfg.Log,
		loads:   newLoadTable(),
		paths:   newPathTable(),
		cross:   newCrossingTable(),
		trace:   newTraceLog(),
		budgets: map[string]*lockedBudget{},
		limits:  map[string]*callerLimit{},
	}
}

// budget returns the retry budget of a service.
func (in *Ingress) budget(service string) *lockedBudget {
	in.mu.Lock()
	defer in.mu.Unlock()
	b := in.budgets[service]
	if b == nil {
		b = &lockedBudget{}
		in.budgets[service] = b
	}
	return b
}

// first counts a first attempt, and takes over the limits of the budget.
func (b *lockedBudget) first(now time.Time, limits func() retry.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limits != nil {
		b.b.Limits = limits()
	}
	b.b.First(now)
}

// ChargeCalls counts that an upstream of this VM runs a request of service once
// more. The calls that it makes come in here and are repeats for the services
// that they go to. Which these are is not known, so all others are charged.
func (in *Ingress) ChargeCalls(service string) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, b := range in.budgets {
		if name != service {
			b.charge(now)
		}
	}
}

func (b *lockedBudget) left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Left(now)
}

func (b *lockedBudget) charge(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Charge(now)
}

// maxCallerLimits bounds the rate limiters kept. Limiters of callers seen
// earlier are dropped beyond it and start anew.
const maxCallerLimits = 100_000

// withinRate reports whether a request of caller is within its rate.
func (in *Ingress) withinRate(v *board.View, caller string) bool {
	c := v.Config.Callers[caller]
	if c == nil || c.RatePerSecond == 0 {
		return true
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	l := in.limits[caller]
	if l == nil || l.rate != c.RatePerSecond || l.burst != c.Burst {
		if len(in.limits) >= maxCallerLimits {
			clear(in.limits)
		}
		l = &callerLimit{rate.NewLimiter(rate.Limit(c.RatePerSecond), max(1, c.Burst)), c.RatePerSecond, c.Burst}
		in.limits[caller] = l
	}
	return l.limiter.Allow()
}

// Intervals of the test of a path in trouble.
const (
	pathTestInterval = 500 * time.Millisecond
	// pathTestLimit ends the test of a path to a node that has not come back.
	// The next failure starts it again.
	pathTestLimit = 10 * time.Minute
)

// pathFailed notes that the path to a node failed, and tests it until it works.
func (in *Ingress) pathFailed(node fleet.NodeID, addr string) {
	if !in.paths.failed(node) {
		return
	}
	in.log.Warn("path to node failed", "node", node, "addr", addr)
	go func() {
		defer in.paths.recovered(node)
		for end := time.Now().Add(pathTestLimit); time.Now().Before(end); {
			time.Sleep(pathTestInterval)
			if in.ping(addr) == nil {
				in.log.Info("path to node works again", "node", node, "addr", addr)
				return
			}
		}
	}()
}

// ping tests the path to a node over a new connection.
func (in *Ingress) ping(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	in.cfg.Dialer.Replace(addr)
	return link.Call(ctx, in.cfg.Dialer, addr, func(s link.Stream) error {
		if err := s.WriteFrame(wire.FramePing, nil); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameDone, nil)
	})
}

// Metrics returns the ingress's counters for expvar.
func (in *Ingress) Metrics() *expvar.Map {
	m := metrics.Counters(map[string]*expvar.Int{
		"requests":   &in.stats.requests,
		"attempts":   &in.stats.attempts,
		"retries":    &in.stats.retries,
		"resends":    &in.stats.resends,
		"relays":     &in.stats.relays,
		"answered":   &in.stats.answered,
		"not_run":    &in.stats.notRun,
		"unknown":    &in.stats.unknown,
		"shed_early": &in.stats.shedEarly,
	})
	m.Set("ended", &in.stats.ended)
	m.Set("latency", &in.stats.latency)
	return m
}

var _ http.Handler = (*Ingress)(nil)

// candidates describes the upstreams of a service to balance.Pick, as they are
// for work of a level.
func (in *Ingress) candidates(v *board.View, service string, level int, now time.Time) ([]balance.Candidate, []board.Upstream) {
	list := v.Upstreams[service]
	out := make([]balance.Candidate, len(list))
	for i := range list {
		u := &list[i]
		load := in.loads.get(u.ID, now)
		out[i] = balance.Candidate{
			Node:          u.Node,
			Upstream:      u.ID,
			Region:        u.Region,
			FailureDomain: u.FailureDomain,
			Slots:         u.Slots,
			InUse:         load.inUse,
			Known:         load.known,
			Failing:       load.failing,
			Queued:        load.queued(level),
			Suspect:       u.Suspect || load.suspect || in.paths.troubled(u.Node),
			Ejected:       u.Ejected,
			Trial:         u.Trial,
			Draining:      u.State == fleet.UpstreamDraining,
			Weight:        warmWeight(u, now),
		}
	}
	return out, list
}

// coldWeight is the part of its capacity that an upstream gets at the start of
// its cold start.
const coldWeight = 0.1

// warmWeight grows from coldWeight to 1 in the course of a cold start.
func warmWeight(u *board.Upstream, now time.Time) float64 {
	if u.State != fleet.UpstreamWarming {
		return 1
	}
	left := u.WarmUntil.Sub(now)
	switch {
	case left <= 0:
		return 1
	case left >= rampTime:
		return coldWeight
	}
	return 1 - (1-coldWeight)*float64(left)/float64(rampTime)
}

// rampTime is the last part of a cold start, in which the weight grows.
const rampTime = 10 * time.Second
