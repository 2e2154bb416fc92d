package dispatch

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// minRateLimit is the lowest rate limit that is kept, in requests per second. An upstream that names a
// lower one still gets a request from time to time, since only an answer can end its limit.
const minRateLimit = 0.1

// rateLimit returns the rate limit that the head of an answer names, or 0 if it names none.
func (p *Protocol) rateLimit(h http.Header) (perSecond float64, err error) {
	if p.RateLimit == "" || h.Get(p.RateLimit) == "" {
		return 0, nil
	}
	perSecond, err = strconv.ParseFloat(h.Get(p.RateLimit), 64)
	switch {
	case err != nil:
		return 0, fmt.Errorf("dispatch: %s: %.64q is not a number", p.RateLimit, h.Get(p.RateLimit))
	case math.IsNaN(perSecond), perSecond < 0:
		return 0, fmt.Errorf("dispatch: %s: %v is not a rate", p.RateLimit, perSecond)
	case math.IsInf(perSecond, 1):
		return 0, nil
	}
	return max(perSecond, minRateLimit), nil
}

// saysLeaving returns whether the head of an answer says that the upstream leaves.
func (p *Protocol) saysLeaving(h http.Header) bool {
	return p.Leaving != "" && h.Get(p.Leaving) == "1"
}

// readNotice records what u says of itself in the head of an answer. What cannot be read changes
// nothing.
func (d *Dispatcher) readNotice(u *upstream, h http.Header) {
	if d.cfg.Protocol.saysLeaving(h) && u.setLeaving() {
		d.reportLeaving(u, "answer")
	}
	limit, err := d.cfg.Protocol.rateLimit(h)
	if err != nil {
		d.log.Warn("answer with a malformed header", "upstream", u.id, "fault", err)
		return
	}
	if u.setRateLimit(time.Now(), limit) {
		d.log.Info("rate limit of upstream changed", "upstream", u.id, "service", u.service, "per_second", limit)
	}
}

// reportLeaving logs and reports that u leaves, as the source says: an answer, or a peer that has passed
// one on.
func (d *Dispatcher) reportLeaving(u *upstream, source string) {
	d.log.Info("upstream says that it leaves", "upstream", u.id, "service", u.service, "source", source)
	if d.cfg.Leaving != nil {
		d.cfg.Leaving(u.id, u.startMs)
	}
}

// setLeaving refuses new and queued attempts from now on. It returns whether the upstream was not known
// to leave.
func (u *upstream) setLeaving() (first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving {
		return false
	}
	u.leaving, u.draining = true, true
	u.refuseQueue(outcome.ReasonDraining)
	return true
}

// setRateLimit records the rate limit of the latest answer, 0 for none, and returns whether it differs
// from the one before.
func (u *upstream) setRateLimit(now time.Time, perSecond float64) (changed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered = true
	if perSecond == u.rateLimit {
		return false
	}
	u.limitRate(now, perSecond)
	u.grantSlots(now)
	return true
}

// adoptNotice takes over what an ingress knows from earlier answers, in case this dispatcher has restarted
// since.
func (d *Dispatcher) adoptNotice(u *upstream, n *wire.UpstreamNotice) {
	if n == nil || n.StartMs != u.startMs {
		return
	}
	// Without a start time, the answer may have come from an earlier process of the upstream.
	if n.Leaving && n.StartMs != 0 && u.setLeaving() {
		d.reportLeaving(u, "peer")
	}
	u.adoptRateLimit(time.Now(), n.RateLimit)
}

// adoptRateLimit applies a rate limit from an earlier answer, unless the upstream has answered this
// dispatcher since.
func (u *upstream) adoptRateLimit(now time.Time, perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.answered || perSecond <= 0 || perSecond == u.rateLimit {
		return
	}
	u.limitRate(now, max(perSecond, minRateLimit))
}

// limitRate applies a rate limit. Attempts in the queue that would now wait for too long are refused:
// they have not run, so another upstream can run them. u.mu is held.
func (u *upstream) limitRate(now time.Time, perSecond float64) {
	u.rateLimit = perSecond
	u.queue.SetRateLimit(now, perSecond)
	for _, t := range u.queue.Trim(now) {
		u.wake(t.ID, outcome.HasNotRun(outcome.ReasonLimited))
	}
	if u.rateTimer != nil {
		u.rateTimer.Stop()
		u.rateTimer = nil
	}
}

// rateWait returns the time until the rate limit allows a request besides those in the queue. u.mu is
// held.
func (u *upstream) rateWait(now time.Time) time.Duration {
	if u.rateLimit == 0 {
		return 0
	}
	queued := time.Duration(float64(len(u.waiting)) / u.rateLimit * float64(time.Second))
	return u.queue.RateWait(now) + queued
}

// awaitRate calls grantSlots again once the rate limit allows another request, if attempts wait for
// that. u.mu is held.
func (u *upstream) awaitRate(now time.Time) {
	wait := u.queue.RateWait(now)
	if wait == 0 || u.rateTimer != nil || u.inUse >= u.slots {
		return
	}
	expiry, ok := u.queue.NextExpiry()
	if !ok {
		return
	}
	// Attempts that have waited for too long are refused in time.
	wait = min(wait, max(expiry.Sub(now), 0)+time.Millisecond)
	u.rateTimer = time.AfterFunc(wait, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.rateTimer = nil
		u.grantSlots(time.Now())
	})
}

// countResend counts a request that was sent once more towards the rate limit and the retry budget.
func (u *upstream) countResend() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.queue.CountRun(now)
	if u.retryLimits != nil {
		u.retries.Charge(now)
	}
}

// notice returns what the upstream says of itself, or nil if that is nothing. u.mu is held.
func (u *upstream) notice() *wire.UpstreamNotice {
	if u.rateLimit == 0 && !u.leaving {
		return nil
	}
	return &wire.UpstreamNotice{StartMs: u.startMs, RateLimit: u.rateLimit, Leaving: u.leaving}
}
