package controld

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/quota/pool"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	// leaderAskInterval is the shortest time between two demands of a broker to the leader. Bytes between
	// regions are expensive.
	leaderAskInterval = 60 * time.Millisecond
	// leaderAskTimeout bounds one demand to the leader: twice the way to another region and back, and the
	// wait for an earlier read barrier.
	leaderAskTimeout = 500 * time.Millisecond
	// answerMargin is the time for the answer of the leader to reach a broker in another region.
	answerMargin = 60 * time.Millisecond
	// countBrokersInterval is the interval at which the members are counted. Each member is a broker, and the
	// limit of its reserve depends on their number.
	countBrokersInterval = time.Second
)

// quotas serves demands for tokens: those of nodes as their broker, and those of brokers as the leader.
type quotas struct {
	bounds  quota.Bounds
	machine *control.Machine
	dialer  link.Dialer
	locator LeaderLocator
	leader  *tokenLeader
	pool    *pool.Pool
	broker  *pool.Broker
	members func() []control.Member
	brokers atomic.Int32 // the number of members, each of which is a broker
}

func newQuotas(p Parts, r Replication) *quotas {
	q := &quotas{bounds: p.Settings.quotaBounds(), machine: p.Machine, dialer: p.Dialer}
	var ok bool
	if q.locator, ok = r.(LeaderLocator); !ok {
		q.locator = alwaysLeader{time.Now()}
	}
	if m, ok := r.(server.MemberChanger); ok {
		q.members = m.Members
	}
	q.leader = &tokenLeader{bounds: q.bounds, limits: q.enforced, locator: q.locator, barrier: r.ReadBarrier}
	q.pool = pool.New(pool.Config{
		Sender: p.Settings.NodeID, Interval: leaderAskInterval, Timeout: leaderAskTimeout,
		Limits: q.limits, ReserveLimit: q.reserveLimit, AwaitSent: true, Ask: q.askLeader,
	})
	q.broker = pool.NewBroker(q.pool)
	p.Mux.Handle(wire.FrameQuotaDemand, q.handleDemand)
	p.Mux.Handle(wire.FrameQuotaLeader, q.handleLeader)
	return q
}

// quotaBounds returns the bounds of quotas in the settings.
func (s *Settings) quotaBounds() quota.Bounds {
	return quota.Bounds{Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Tolerance: s.QuotaTolerance}
}

// limits implements quota.LimitsFunc.
func (q *quotas) limits(customer string) (quota.Limits, bool) {
	c, ok := q.machine.Get(resource.Key{Type: resource.TypeCustomer, Name: customer}).(*resource.Customer)
	if !ok {
		return quota.Limits{}, false
	}
	return quota.Limits{Rate: c.RatePerSecond, Burst: c.Burst}, true
}

// enforced implements quota.LimitsFunc for the leader.
func (q *quotas) enforced(customer string) (quota.Limits, bool) {
	l, known := q.limits(customer)
	return q.bounds.Enforced(l), known
}

// reserveLimit returns the limit of this broker's reserve. The leader has the buckets themselves.
func (q *quotas) reserveLimit(l quota.Limits) int {
	if _, leads := q.locator.LeaderTerm(); leads {
		return 0
	}
	return q.bounds.BrokerReserveLimit(l, int(q.brokers.Load()))
}

// handleDemand answers a demand of a node.
func (q *quotas) handleDemand(ctx context.Context, s link.Stream, first link.Frame) {
	var d quota.Demand
	if wire.Decode(first.Payload, &d) != nil {
		s.Reset()
		return
	}
	ctx, stop := whilePeerWaits(ctx, s)
	g, err := q.broker.Answer(ctx, &d, func() { s.WriteFrame(wire.FrameQuotaPending, nil) })
	stop()
	if err != nil {
		s.Reset()
		return
	}
	writeGrant(s, g)
}

// whilePeerWaits returns a context that ends when the peer closes the stream. The peer must not send frames meanwhile.
// stop must be called before the answer is sent, after which the peer may begin another exchange on the connection.
func whilePeerWaits(ctx context.Context, s link.Stream) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ReadFrame()
		cancel()
	}()
	return ctx, func() {
		s.SetReadDeadline(time.Now())
		<-done
		s.SetReadDeadline(time.Time{})
	}
}

// handleLeader answers a demand of another member, if this one is the leader.
func (q *quotas) handleLeader(ctx context.Context, s link.Stream, first link.Frame) {
	var d quota.Demand
	if wire.Decode(first.Payload, &d) != nil {
		s.Reset()
		return
	}
	// An answer that comes too late would lose its tokens.
	ctx, cancel := context.WithTimeout(ctx, min(leaderAskTimeout, d.Timeout())-answerMargin)
	defer cancel()
	g, err := q.leader.answer(ctx, &d)
	if err != nil {
		s.Reset()
		return
	}
	writeGrant(s, g)
}

func writeGrant(s link.Stream, g *quota.Grant) {
	if err := wire.Write(s, wire.FrameQuotaGrant, g); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

// askLeader asks the leader for tokens, which may be this process.
func (q *quotas) askLeader(ctx context.Context, d *quota.Demand) (*quota.Grant, error) {
	if _, leads := q.locator.LeaderTerm(); leads {
		return q.leader.answer(ctx, d)
	}
	addr, ok := q.locator.LeaderLink()
	if !ok {
		return nil, errNoQuotaLeader
	}
	timeoutCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go q.cancelOnChange(ctx, cancel, addr)
	g := &quota.Grant{}
	err := link.Call(ctx, q.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameQuotaLeader, d); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameQuotaGrant, g)
	})
	if err != nil && timeoutCtx.Err() != nil {
		// The connection may be dead without an error.
		q.dialer.Replace(addr)
	}
	return g, err
}

// cancelOnChange calls cancel if the leader is no longer at addr. The former one may not respond, while the next
// one does.
func (q *quotas) cancelOnChange(ctx context.Context, cancel context.CancelFunc, addr string) {
	for sleep(ctx, leaderPollInterval) {
		now, ok := q.locator.LeaderLink()
		if _, leads := q.locator.LeaderTerm(); leads || ok && now != addr {
			cancel()
		}
	}
}

// countBrokers counts the members until ctx ends.
func (q *quotas) countBrokers(ctx context.Context) {
	if q.members == nil {
		return
	}
	for {
		q.brokers.Store(int32(len(q.members())))
		if !sleep(ctx, countBrokersInterval) {
			return
		}
	}
}

// run serves demands until ctx ends.
func (q *quotas) run(ctx context.Context) {
	go q.countBrokers(ctx)
	go q.leader.expirePeriodically(ctx)
	q.pool.Run(ctx)
}

// maxCustomerMetrics bounds the customers in metrics.
const maxCustomerMetrics = 128

// quotaMetrics are the metrics of quotas at a control member.
type quotaMetrics struct {
	Broker pool.Stats `json:"broker"`
	// Customers holds the customers with the most refusals and uses. Only the leader has them.
	Customers []quota.Usage `json:"customers"`
}

func (q *quotas) metrics() any {
	m := quotaMetrics{Broker: q.pool.Stats(), Customers: []quota.Usage{}}
	m.Customers = append(m.Customers, q.leader.usage(maxCustomerMetrics)...)
	return m
}
