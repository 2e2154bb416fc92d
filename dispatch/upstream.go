package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	// idleConnTimeout closes connections to an upstream that carry nothing. An
	// idle connection that has gone silent cannot be told from a good one, so
	// they are not kept long.
	idleConnTimeout = 15 * time.Second
	// connectTimeout bounds a new connection to an upstream on this VM.
	connectTimeout = time.Second
)

type rankShare = admission.RankShare

// upstream is one upstream with its slots and its queue.
type upstream struct {
	id      fleet.UpstreamID
	service string
	addr    string
	client  *http.Transport

	mu       sync.Mutex
	slots    int
	inUse    int
	draining bool
	closed   bool
	suspect  bool
	queue    *admission.Queue
	waiting  map[uint64]place
	nextID   uint64
	// running holds the fingerprints of the requests at the upstream.
	running map[uint64]uint64
	// levels are the rank levels that exist.
	levels []int
	// gray tells whether the upstream fails its work at present. If so, it gets
	// a request to find out at nextProbe, and then every probeInterval.
	gray          health.Gray
	nextProbe     time.Time
	probeInterval time.Duration
	// toldFailing is what the node was told last of whether it fails its work.
	toldFailing bool
	// ejectable says that the service has a group that grants ejections.
	ejectable bool
	// slowFailureAt is when a request last failed after survivalTime.
	slowFailureAt time.Time
}

func newUpstream(a announce.Announcement, now time.Time) *upstream {
	u := &upstream{
		id:      a.ID,
		service: a.Service,
		addr:    a.Addr,
		queue:   admission.New(admission.Options{Slots: a.Slots}),
		waiting: map[uint64]place{},
		running: map[uint64]uint64{},
	}
	// A connection that is being closed still counts for a moment, so there are
	// more connections than slots, as far as the upstream allows.
	u.client = newTransport(a.ConnectionsUpTo(2 * a.Slots))
	return u
}

func (u *upstream) update(a announce.Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots = a.ConnectionsUpTo(a.Slots)
	u.queue.SetSlots(u.slots)
	u.draining = a.Draining
	if u.draining {
		u.refuseQueue(outcome.ReasonDraining)
	}
}

// configure takes over what a configuration says of the upstream and its work.
// c may be nil.
func (u *upstream) configure(c *resource.Config, ranks []rankShare) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c != nil {
		s := c.Services[u.service]
		u.ejectable = s != nil && s.Group != ""
	}
	u.queue.SetRanks(ranks)
	u.levels = u.levels[:0]
	for _, r := range ranks {
		u.levels = append(u.levels, r.Level)
	}
}

// close refuses the queue. Running requests go on.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.refuseQueue(outcome.ReasonUpstreamGone)
	u.client.CloseIdleConnections()
}

// refuseQueue refuses all waiting attempts. u.mu is held.
func (u *upstream) refuseQueue(reason outcome.Reason) {
	for id := range u.waiting {
		u.queue.Remove(id)
		u.wake(id, outcome.HasNotRun(reason))
	}
}

// wake ends the wait of a ticket. An Answered outcome stands for a slot. u.mu is held.
func (u *upstream) wake(id uint64, e outcome.Ended) {
	if p, ok := u.waiting[id]; ok {
		delete(u.waiting, id)
		p.granted <- e
	}
}

// wakeAll refuses tickets that left the queue. u.mu is held.
func (u *upstream) wakeAll(tickets []admission.Ticket, reason outcome.Reason) {
	for _, t := range tickets {
		u.wake(t.ID, outcome.HasNotRun(reason))
	}
}

var slotGranted = outcome.Ended{Outcome: outcome.Answered}

// acquire waits for a slot. It returns the ticket to release, or how the
// attempt ended without one.
func (u *upstream) acquire(ctx context.Context, t admission.Ticket, head *wire.AttemptHead) (admission.Ticket, outcome.Ended, bool) {
	ch, t, ended, ok := u.offer(t, head)
	if !ok {
		return t, ended, false
	}
	select {
	case ended = <-ch:
	case <-ctx.Done():
		ended = u.giveUp(t.ID, ch, ctx)
	}
	return t, ended, ended == slotGranted
}

func (u *upstream) offer(t admission.Ticket, head *wire.AttemptHead) (chan outcome.Ended, admission.Ticket, outcome.Ended, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		return nil, t, outcome.HasNotRun(outcome.ReasonDraining), false
	}
	if u.closed {
		return nil, t, outcome.HasNotRun(outcome.ReasonUpstreamGone), false
	}
	now := time.Now()
	if !head.Insist && u.failing(now) {
		// It began to fail after the head was looked at.
		return nil, t, outcome.HasNotRun(outcome.ReasonUnhealthy), false
	}
	u.nextID++
	t.ID = u.nextID
	u.wakeAll(u.queue.Expire(now), outcome.ReasonDeadline)
	ok, reason, evicted := u.queue.Offer(now, t)
	u.wakeAll(evicted, outcome.ReasonShed)
	if !ok {
		return nil, t, outcome.HasNotRun(reason), false
	}
	ch := make(chan outcome.Ended, 1)
	u.waiting[t.ID] = place{ch, !head.Insist}
	u.fill(now)
	return ch, t, outcome.Ended{}, true
}

// fill hands free slots to the queue. u.mu is held.
func (u *upstream) fill(now time.Time) {
	for u.inUse < u.slots {
		t, expired, ok := u.queue.Next(now)
		u.wakeAll(expired, outcome.ReasonDeadline)
		if !ok {
			return
		}
		u.inUse++
		u.wake(t.ID, slotGranted)
	}
}

// giveUp withdraws a ticket whose context ended. A slot that was granted in
// the meantime is kept by the caller.
func (u *upstream) giveUp(id uint64, ch chan outcome.Ended, ctx context.Context) outcome.Ended {
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

// release gives a slot back. service is the time at the upstream, or 0 if the
// attempt did not run or its work was not done.
func (u *upstream) release(t admission.Ticket, service time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.inUse--
	delete(u.running, t.ID)
	u.queue.Done(now, t, service)
	u.fill(now)
}

// start notes that a request is about to be sent. It reports false if the
// upstream began to drain while the request waited for its claim.
func (u *upstream) start(t admission.Ticket, fingerprint uint64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		return false
	}
	u.running[t.ID] = fingerprint
	return true
}

// inFlight returns the fingerprints of the requests at the upstream.
func (u *upstream) inFlight() []uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]uint64, 0, len(u.running))
	for _, f := range u.running {
		out = append(out, f)
	}
	slices.Sort(out)
	return out
}

func (u *upstream) load() wire.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	threshold := u.queue.Threshold(now)
	var ahead []wire.LevelQueue
	if len(u.waiting) > 0 {
		for _, level := range u.levels {
			ahead = append(ahead, wire.LevelQueue{Level: level, Ahead: u.queue.Ahead(now, level)})
		}
	}
	return wire.Load{
		Ahead:      ahead,
		SlotsInUse: u.inUse,
		Slots:      u.slots,
		Queued:     len(u.waiting),
		ShedLevel:  threshold.Level,
		ShedShare:  threshold.Share,
		Refused:    threshold.Refused,
		Suspect:    u.suspect || u.failing(now),

		FailingPercent: int(100 * u.gray.Failing(now)),
	}
}

func (u *upstream) status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return UpstreamStatus{u.id, u.service, u.draining, u.inUse, u.slots, len(u.waiting)}
}

// SetSuspect marks an upstream of this VM, so that answers tell ingresses.
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

// refreshRanks passes the ranks of a new configuration on to the queues.
func (d *Dispatcher) refreshRanks() {
	c := d.cfg.Configuration()
	d.mu.RLock()
	fresh := c == d.ranksFrom
	d.mu.RUnlock()
	if fresh || c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ranksFrom = c
	d.ranks = sharesOf(c)
	for _, u := range d.upstreams {
		u.configure(c, d.ranks)
	}
}

func sharesOf(c *resource.Config) []rankShare {
	shares := make([]rankShare, 0, len(c.Ranks))
	for _, r := range c.Ranks {
		shares = append(shares, rankShare{Level: r.Level, Share: r.Share})
	}
	slices.SortFunc(shares, func(a, b rankShare) int { return a.Level - b.Level })
	return shares
}
