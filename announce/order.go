package announce

import (
	"log/slog"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// retentionPeriod is how long an upstream is remembered after its last announcement or
// withdrawal. Delayed announcements arrive within seconds of being sent.
const retentionPeriod = 2 * time.Minute

// IncarnationSink receives announcements of upstreams that report when they started.
type IncarnationSink interface {
	Announce(Announcement)
	// Withdraw reports that an upstream is gone. startMs is as in Announcement; 0
	// stands for the latest known incarnation, or for all that have started by now if
	// none is known.
	Withdraw(id fleet.UpstreamID, startMs int64)
}

// Ordered passes announcements on in the order in which upstreams made them. It drops an
// announcement if a later one of the same upstream has arrived, if its incarnation has ended,
// or if a later upstream uses its address. It is safe for concurrent use.
type Ordered struct {
	next Sink
	log  *slog.Logger

	mu    sync.Mutex
	known map[fleet.UpstreamID]*incarnation
}

// incarnation holds the latest announcement of one start of an upstream.
type incarnation struct {
	Announcement
	withdrawn bool
	lastHeard time.Time
	warmMs    int64 // as first announced by the incarnation
}

// NewOrdered returns an Ordered in front of next.
func NewOrdered(next Sink, log *slog.Logger) *Ordered {
	return &Ordered{next: next, log: log, known: map[fleet.UpstreamID]*incarnation{}}
}

// Announce implements IncarnationSink.
func (o *Ordered) Announce(a Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.forgetOld(now)
	if reason := o.outdatedReason(&a); reason != "" {
		o.log.Info("announcement dropped", "upstream", a.ID, "cause", reason, "born", a.StartMs, "sequence", a.Sequence)
		return
	}
	o.withdrawOthersAt(&a)
	old := o.known[a.ID]
	inc := &incarnation{Announcement: a, lastHeard: now, warmMs: a.WarmMs}
	switch {
	case old == nil || old.withdrawn:
	case old.StartMs != a.StartMs:
		o.log.Info("upstream has restarted", "upstream", a.ID, "born", a.StartMs)
		o.next.Withdraw(a.ID)
	default:
		inc.warmMs = old.warmMs
	}
	o.known[a.ID] = inc
	// The cold start counts from the first announcement of an incarnation.
	a.WarmMs = inc.warmMs
	o.next.Announce(a)
}

// outdatedReason returns why an announcement is outdated, or "" if it is not. o.mu is held.
func (o *Ordered) outdatedReason(a *Announcement) string {
	if inc := o.known[a.ID]; inc != nil {
		switch {
		case a.StartMs < inc.StartMs:
			return "an earlier incarnation"
		case a.StartMs == inc.StartMs && inc.withdrawn:
			return "the upstream was withdrawn"
		case a.StartMs == inc.StartMs && a.Sequence <= inc.Sequence:
			return "overtaken"
		}
	}
	for id, inc := range o.known {
		if id != a.ID && inc.Addr == a.Addr && !inc.withdrawn && inc.StartMs > a.StartMs {
			return "a later upstream uses the address"
		}
	}
	return ""
}

// withdrawOthersAt withdraws the other upstreams at the address of a, which started earlier or
// at the same time. o.mu is held.
func (o *Ordered) withdrawOthersAt(a *Announcement) {
	for id, inc := range o.known {
		if id != a.ID && inc.Addr == a.Addr && !inc.withdrawn {
			inc.withdrawn = true
			o.next.Withdraw(id)
		}
	}
}

// Withdraw implements IncarnationSink.
func (o *Ordered) Withdraw(id fleet.UpstreamID, startMs int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	inc := o.known[id]
	if inc == nil {
		inc = &incarnation{Announcement: Announcement{ID: id, StartMs: startMs}}
		o.known[id] = inc
	}
	if startMs != 0 && startMs < inc.StartMs {
		o.log.Info("withdrawal of an earlier incarnation dropped", "upstream", id, "born", startMs)
		return
	}
	if startMs == 0 && inc.StartMs == 0 {
		// This process may have restarted after the upstream had announced itself, and a delayed
		// announcement may be on its way. Every incarnation that has started by now is gone.
		startMs = time.Now().UnixMilli()
	}
	inc.StartMs = max(inc.StartMs, startMs)
	inc.withdrawn, inc.lastHeard = true, time.Now()
	o.next.Withdraw(id)
}

// forgetOld removes upstreams that have not been heard of for retentionPeriod. o.mu is held.
func (o *Ordered) forgetOld(now time.Time) {
	for id, inc := range o.known {
		if now.Sub(inc.lastHeard) > retentionPeriod {
			delete(o.known, id)
		}
	}
}
