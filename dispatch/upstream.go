package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/dispatch/httpconn"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

type rankShare = admission.RankShare

// upstream is an upstream of this VM, with its slots and its queue.
type upstream struct {
	id      fleet.UpstreamID
	service string
	addr    string
	client  *httpconn.Client
	// startMs identifies the incarnation; see announce.Announcement.
	startMs int64

	mu       sync.Mutex
	slots    int
	inUse    int
	draining bool
	// leaving is set once the upstream has said in an answer that it leaves. Its announcements may
	// say so later or not at all.
	leaving bool
	closed  bool
	suspect bool
	queue   *admission.Queue
	waiting map[uint64]waiter
	nextID  uint64
	// running holds the requests at the upstream, by ticket ID.
	running map[uint64]InFlight
	// rankLevels holds the levels of the configured ranks.
	rankLevels []int
	// gray estimates whether the upstream is failing its requests. If it is, the upstream gets a
	// probe at nextProbe, and then every probeInterval.
	gray          health.Gray
	nextProbe     time.Time
	probeInterval time.Duration
	// reportedFailing is the state that was last reported to Config.Failing, and recoveryTimer runs
	// while that is true.
	reportedFailing bool
	recoveryTimer   *time.Timer
	// ejectable says that the service has an idempotency group, which also grants ejection permits.
	ejectable bool
	// rateLimit is how many requests per second the upstream accepts, as it said last; 0: no limit.
	rateLimit float64
	// rateTimer runs while attempts wait for the rate limit.
	rateTimer *time.Timer
	// answered is set once the upstream has answered a request of this dispatcher.
	answered bool
	// retries is the retry budget; retryLimits returns its limits by service, or is nil without one.
	retries     retry.Budget
	retryLimits func(service string) retry.Limits
	// slowFailureAt is when a request last failed later than earlySuccessDelay after it was sent.
	slowFailureAt time.Time
}

func newUpstream(a announce.Announcement, p *Protocol) *upstream {
	u := &upstream{
		id:      a.ID,
		service: a.Service,
		addr:    a.Addr,
		startMs: a.StartMs,
		queue:   admission.New(admission.Options{Slots: a.Slots}),
		waiting: map[uint64]waiter{},
		running: map[uint64]InFlight{},
	}
	// A connection that is being closed still counts towards the limit for a moment, so the limit is
	// higher than the number of slots, as far as the upstream allows.
	u.client = httpconn.New(httpconn.Config{
		Addr: a.Addr, MaxConns: a.ConnectionsUpTo(2 * a.Slots), IDHeader: p.RequestID, IDRequired: p.EchoRequired,
	})
	return u
}

func (u *upstream) update(a announce.Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots = a.ConnectionsUpTo(a.Slots)
	u.queue.SetSlots(u.slots)
	u.draining = a.Draining || u.leaving
	if u.draining {
		u.refuseQueue(outcome.ReasonDraining)
	}
}

// configure applies the configuration of the upstream's service and the shares of the ranks. c may
// be nil.
func (u *upstream) configure(c *resource.Config, ranks []rankShare) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c != nil {
		s := c.Services[u.service]
		u.ejectable = s != nil && s.Group != ""
	}
	u.queue.SetRanks(ranks)
	u.rankLevels = u.rankLevels[:0]
	for _, r := range ranks {
		u.rankLevels = append(u.rankLevels, r.Level)
	}
}

// close refuses all waiting attempts. Running requests continue.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.refuseQueue(outcome.ReasonUpstreamGone)
	u.client.Close()
}

// refuseQueue refuses all waiting attempts. u.mu is held.
func (u *upstream) refuseQueue(reason outcome.Reason) {
	for id := range u.waiting {
		u.queue.Remove(id)
		u.wake(id, outcome.HasNotRun(reason))
	}
}

// wake ends the wait of a ticket with slotGranted or a refusal. u.mu is held.
func (u *upstream) wake(id uint64, e outcome.Ended) {
	if w, ok := u.waiting[id]; ok {
		delete(u.waiting, id)
		w.result <- e
	}
}

// refuseEvicted refuses the attempts of tickets that were evicted from the queue. u.mu is held.
func (u *upstream) refuseEvicted(tickets []admission.Ticket) {
	for i := range tickets {
		u.wake(tickets[i].ID, outcome.HasNotRun(outcome.ReasonShed))
	}
}

// refuseExpired refuses the attempts of tickets that have waited for too long. u.mu is held.
func (u *upstream) refuseExpired(now time.Time, tickets []admission.Ticket) {
	for i := range tickets {
		u.wake(tickets[i].ID, outcome.HasNotRun(tickets[i].ExpiryReason(now)))
	}
}

// slotGranted tells a waiter that it has a slot. An attempt that still waits cannot end as Answered.
var slotGranted = outcome.Ended{Outcome: outcome.Answered}

// acquire waits for a slot. It returns true and the ticket to release, or how the attempt ended
// without a slot.
func (u *upstream) acquire(ctx context.Context, t admission.Ticket, head *wire.AttemptHead) (admission.Ticket, outcome.Ended, bool) {
	ch, t, ended, ok := u.enqueue(t, head)
	if !ok {
		return t, ended, false
	}
	select {
	case ended = <-ch:
	case <-ctx.Done():
		ended = u.cancelWait(t.ID, ch, ctx)
	}
	return t, ended, ended == slotGranted
}

// enqueue adds a ticket to the queue. It returns the channel for the result of the wait and the
// ticket with its ID, or why the attempt is refused.
func (u *upstream) enqueue(t admission.Ticket, head *wire.AttemptHead) (chan outcome.Ended, admission.Ticket, outcome.Ended, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		return nil, t, outcome.HasNotRun(outcome.ReasonDraining), false
	}
	if u.closed {
		return nil, t, outcome.HasNotRun(outcome.ReasonUpstreamGone), false
	}
	now := time.Now()
	failing := u.failing(now)
	if !head.Insist && failing {
		// The upstream began to fail after decline had accepted the attempt.
		return nil, t, outcome.HasNotRun(outcome.ReasonUnhealthy), false
	}
	if !head.Insist && u.queue.RateWait(now) > 0 {
		// Another attempt came first after decline had accepted this one.
		return nil, t, outcome.HasNotRun(outcome.ReasonLimited), false
	}
	u.nextID++
	t.ID = u.nextID
	u.refuseExpired(now, u.queue.Expire(now))
	ok, reason, evicted := u.queue.Offer(now, t)
	u.refuseEvicted(evicted)
	if !ok {
		return nil, t, outcome.HasNotRun(reason), false
	}
	ch := make(chan outcome.Ended, 1)
	u.waiting[t.ID] = waiter{ch, !head.Insist || !failing}
	u.refuseExpired(now, u.queue.TrimDisplaced(now))
	u.grantSlots(now)
	return ch, t, outcome.Ended{}, true
}

// grantSlots grants free slots to the next tickets in the queue. u.mu is held.
func (u *upstream) grantSlots(now time.Time) {
	for u.inUse < u.slots {
		t, expired, ok := u.queue.Next(now)
		u.refuseExpired(now, expired)
		if !ok {
			break
		}
		u.inUse++
		u.wake(t.ID, slotGranted)
	}
	u.awaitRate(now)
}

// cancelWait removes a ticket whose context has ended from the queue. A slot that was granted in the
// meantime still belongs to the ticket.
func (u *upstream) cancelWait(id uint64, ch chan outcome.Ended, ctx context.Context) outcome.Ended {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case ended := <-ch:
		return ended
	default:
	}
	u.queue.Remove(id)
	delete(u.waiting, id)
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.HasNotRun(outcome.ReasonDeadline)
	}
	return outcome.HasNotRun(outcome.ReasonCanceled)
}

// release frees a slot. serviceTime is the time at the upstream, or 0 if the attempt did not run or
// the upstream did not do its work.
func (u *upstream) release(t admission.Ticket, serviceTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.inUse--
	delete(u.running, t.ID)
	u.queue.Done(now, t, serviceTime)
	u.grantSlots(now)
}

// start records that a request is about to be sent. It returns false if the upstream began to drain
// while the request waited for its claim.
func (u *upstream) start(t admission.Ticket, fingerprint uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		return false
	}
	u.running[t.ID] = InFlight{fingerprint, time.Now()}
	return true
}

// inFlight returns the requests at the upstream, the oldest first.
func (u *upstream) inFlight() []InFlight {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.SortedFunc(maps.Values(u.running), func(a, b InFlight) int { return a.Began.Compare(b.Began) })
}

func (u *upstream) load() wire.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	threshold := u.queue.Threshold(now)
	var ahead []wire.LevelQueue
	if len(u.waiting) > 0 {
		for _, level := range u.rankLevels {
			ahead = append(ahead, wire.LevelQueue{Level: level, Ahead: u.queue.TicketsAhead(now, level)})
		}
	}
	capacity := 0.0
	if u.rateLimit > 0 {
		capacity = u.queue.Capacity()
	}
	return wire.Load{
		Notice:     u.notice(),
		Capacity:   capacity,
		RateWaitMs: u.rateWait(now).Milliseconds(),
		Ahead:      ahead,
		SlotsInUse: u.inUse,
		Slots:      u.slots,
		Queued:     len(u.waiting),
		ShedLevel:  threshold.Level,
		ShedShare:  threshold.RefusedShare,
		Refused:    threshold.Refused,
		Suspect:    u.suspect || u.failing(now),

		FailingPercent: int(100 * u.gray.FailureProbability(now)),
	}
}

func (u *upstream) status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return UpstreamStatus{u.id, u.service, u.draining, u.inUse, u.slots, len(u.waiting), u.rateLimit}
}

// SetSuspect marks an upstream of this VM as suspect or not. Ingresses learn it from the load in
// answers.
func (d *Dispatcher) SetSuspect(id fleet.UpstreamID, suspect bool) {
	d.mu.RLock()
	u := d.upstreams[id]
	d.mu.RUnlock()
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.suspect = suspect
}

// refreshRanks applies a new configuration to all upstreams.
func (d *Dispatcher) refreshRanks() {
	c := d.cfg.Configuration()
	d.mu.RLock()
	upToDate := c == d.ranksConfig
	d.mu.RUnlock()
	if upToDate || c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranksConfig = c
	d.ranks = rankShares(c)
	for _, u := range d.upstreams {
		u.configure(c, d.ranks)
	}
}

func rankShares(c *resource.Config) []rankShare {
	shares := make([]rankShare, 0, len(c.Ranks))
	for _, r := range c.Ranks {
		shares = append(shares, rankShare{Level: r.Level, Share: r.Share})
	}
	slices.SortFunc(shares, func(a, b rankShare) int { return a.Level - b.Level })
	return shares
}
