// Package ingress accepts HTTP requests from callers, matches them to a request kind, and sends
// attempts to upstreams through the dispatchers on the upstreams' nodes. It chooses the upstream,
// retries within the retry budget, and reports to the caller whether the request has run.
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
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/metrics"
	"github.com/godwithub/godwithub/reqbody"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Config holds the settings and dependencies of an Ingress. Log, View and Dialer are required.
type Config struct {
	Log    *slog.Logger
	View   func() *board.View
	Dialer link.Dialer
	// CrossRegion reports whether a request of the given rank level, whose body and answer together
	// have about the given number of bytes, may be sent to another region. If nil, it always may.
	CrossRegion func(level int, bytes int64) bool
	// WouldCrossRegion reports what CrossRegion would, and charges no budget. If nil, a request always may.
	WouldCrossRegion func(level int, bytes int64) bool
	// Record is called when a request that got past parsing and rate limits ends, for reports. It
	// must not block. It may be nil.
	Record func(Finished)
	// Failed is called when a request that is not recognized as a call and began at a time has failed, before
	// its caller is answered. It must not block. It may be nil.
	Failed func(began time.Time)
	// Claims fences attempts whose dispatcher stopped responding, so that they can no longer run.
	// If nil, no attempt is fenced.
	Claims idempotency.Claims
	// CallerProtocol names the headers of callers' requests. The zero value means OwnProtocol.
	CallerProtocol Protocol
	// Origin is the service that runs on this VM. Upstreams are told it as the origin of a request.
	// If empty, they are told none.
	Origin string
	// DispatchersLimitRetries says that the dispatchers keep a retry budget for the fleet; see
	// dispatch.Config. Otherwise the ingress keeps one of its own for each service.
	DispatchersLimitRetries bool
	// ConfirmConfig returns the version of the newest configuration, which View shows soon after. It is
	// called before a request is refused for want of a route or kind. If nil, the request is refused
	// at once. confirmed is false if it is not known whether a newer one exists.
	ConfirmConfig func(ctx context.Context) (v resource.Version, confirmed bool)
	// Freshness tells whether requests with keys may be served. If nil, they always may.
	Freshness Freshness
	// Quotas limits the requests of customers over all nodes. If nil, they are not limited.
	Quotas Quotas
	// Parent returns the request with an ID if an upstream of this VM runs it, or nil; see
	// Protocol.CallSeparator. If it is nil, calls are not recognized.
	Parent func(requestID string) *dispatch.RunningRequest
	// RefuseForRoom makes the ingress refuse new requests whose calls would probably find no room.
	RefuseForRoom bool
	// LameDuck makes a leaving node serve new requests until RefuseNew is called or its listener is closed. Otherwise
	// it refuses them, except for calls.
	LameDuck bool
	// StopTime is how long nodes run after they have begun to leave, at least if they have work. Requests that
	// end within it are sent to the upstreams of leaving nodes as well. 0: none.
	StopTime time.Duration
}

// heldBodyBytes bounds the memory of the request bodies that are held, beyond a small part of each.
const heldBodyBytes = 24 << 20

// Ingress is the HTTP handler for callers. It is safe for concurrent use.
type Ingress struct {
	cfg         Config
	log         *slog.Logger
	loads       *loadTable
	paths       *pathTable
	crossRegion *crossRegionTable
	trace       *traceLog
	bodies      *reqbody.Budget
	room        roomGuard

	mu      sync.Mutex
	retries map[string]*serviceRetries
	limits  map[string]*callerLimit

	started  time.Time
	inFlight inFlight
	// interruptCtx is canceled by Interrupt.
	interruptCtx context.Context
	interrupt    context.CancelFunc
	stats        stats
}

type stats struct {
	requests, calls, attempts, retries, resends, relays, answered, notRun, unknown, shedEarly, malformed, unread, unknownKeys, notFresh, panics expvar.Int
	// noRoom counts requests that were refused because their calls would probably find no room, by kind
	// and the service that is short. callsFailed counts calls that were not answered, by the kinds of
	// the parent and the call, outcome and reason.
	noRoom, callsFailed expvar.Map
	// ended counts requests by service, rank level, outcome and reason.
	ended expvar.Map
	// latency is the time from the arrival of a request to its end, by service, rank level and
	// outcome.
	latency metrics.Latencies
}

type callerLimit struct {
	limiter *rate.Limiter
	rate    float64
	burst   int
}

// New returns an ingress.
func New(cfg Config) *Ingress {
	if cfg.CallerProtocol == (Protocol{}) {
		cfg.CallerProtocol = OwnProtocol()
	}
	interruptCtx, interrupt := context.WithCancel(context.Background())
	return &Ingress{
		interruptCtx: interruptCtx, interrupt: interrupt,
		started:     time.Now(),
		cfg:         cfg,
		log:         cfg.Log,
		loads:       newLoadTable(),
		paths:       newPathTable(),
		crossRegion: newCrossRegionTable(),
		trace:       newTraceLog(),
		bodies:      reqbody.NewBudget(heldBodyBytes),
		retries:     map[string]*serviceRetries{},
		limits:      map[string]*callerLimit{},
	}
}

// maxCallerLimits bounds the number of rate limiters. When it is reached, all limiters are dropped
// and callers start with a full burst again.
const maxCallerLimits = 100_000

// withinRate reports whether a new request of caller is within the caller's rate limit.
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

// Timing of the tests of a failed path.
const (
	pathTestInterval = 500 * time.Millisecond
	// pathTestLimit is how long a failed path is tested before the ingress gives up and treats it
	// as working again. The next failure starts the tests again.
	pathTestLimit = 10 * time.Minute
)

// pathFailed marks the path to a node as failed, and tests it in the background until it works.
func (in *Ingress) pathFailed(node fleet.NodeID, addr string) {
	if !in.paths.markFailed(node) {
		return
	}
	in.log.Warn("path to node failed", "node", node, "addr", addr)
	go func() {
		defer in.paths.markRecovered(node)
		for end := time.Now().Add(pathTestLimit); time.Now().Before(end); {
			time.Sleep(pathTestInterval)
			if in.ping(addr) == nil {
				in.log.Info("path to node works again", "node", node, "addr", addr)
				return
			}
		}
	}()
}

// ping tests the path to the node at addr over a new connection.
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

// Metrics returns the counters and latencies of the ingress for expvar.
func (in *Ingress) Metrics() *expvar.Map {
	m := metrics.Counters(map[string]*expvar.Int{
		"requests":   &in.stats.requests,
		"calls":      &in.stats.calls,
		"attempts":   &in.stats.attempts,
		"retries":    &in.stats.retries,
		"resends":    &in.stats.resends,
		"relays":     &in.stats.relays,
		"answered":   &in.stats.answered,
		"not_run":    &in.stats.notRun,
		"unknown":    &in.stats.unknown,
		"shed_early": &in.stats.shedEarly,
		"unread":     &in.stats.unread,    // answers ended since their callers did not read
		"malformed":  &in.stats.malformed, // answers outside HTTP that a dispatcher passed on

		"unknown_keys": &in.stats.unknownKeys,
		"not_fresh":    &in.stats.notFresh,
		"panics":       &in.stats.panics, // requests whose handler panicked
	})
	m.Set("ended", &in.stats.ended)
	m.Set("refused_no_room", &in.stats.noRoom)
	m.Set("admitted_for_room", expvar.Func(func() any { return in.admittedShares() }))
	m.Set("calls_failed", &in.stats.callsFailed)
	m.Set("latency", &in.stats.latency)
	return m
}

var _ http.Handler = (*Ingress)(nil)

// candidates returns the upstreams of the service of a request, and in the same order their state as
// balance.Pick needs it for the request.
func (in *Ingress) candidates(v *board.View, rq *request, now time.Time) ([]balance.Candidate, []board.Upstream) {
	list := v.Upstreams[rq.service.Name]
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
			LoadKnown:     load.known,
			Failing:       load.failing,
			Queued:        load.queued(rq.level),
			Suspect:       u.Suspect || load.suspect || in.paths.hasFailed(u.Node),
			Ejected:       u.Ejected,
			Trial:         u.Trial,
			Draining:      u.State == fleet.UpstreamDraining || load.leaving || !in.endsBeforeStop(v, u, rq),
			Weight:        warmWeight(u, now) * load.capacityShare,
			RateLimited:   load.rateLimited,
		}
	}
	return out, list
}

// coldWeight is the share of an upstream's capacity that is used at the beginning of its warm-up.
const coldWeight = 0.1

// warmWeight returns the weight of an upstream: 1, or while it warms up a value that grows
// linearly from coldWeight to 1 over the last rampTime of the warm-up.
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

// rampTime is the length of the last part of a warm-up, in which the weight grows.
const rampTime = 10 * time.Second
