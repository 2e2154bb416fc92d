package announce

import (
	"log/slog"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// rememberGone is how long an upstream that has gone is remembered. Delayed
// announcements come within seconds of being sent.
const rememberGone = 2 * time.Minute

// LifetimeSink takes announcements of upstreams that tell when they started.
type LifetimeSink interface {
	Announce(Announcement)
	// Withdraw says that an upstream has gone. born is as in Announcement; 0
	// stands for the lifetime that is known.
	Withdraw(id fleet.UpstreamID, born int64)
}

// Ordered passes announcements on in the order in which upstreams made them. It
// drops those that were overtaken, of a lifetime that has ended, or of an
// upstream whose address belongs to a later one. It is safe for concurrent use.
type Ordered struct {
	next Sink
	log  *slog.Logger

	mu    sync.Mutex
	known map[fleet.UpstreamID]*lifetime
}

// lifetime is what was last heard of one start of an upstream.
type lifetime struct {
	Announcement
	gone   bool
	heard  time.Time
	warmMs int64 // as first announced
}

// NewOrdered returns an Ordered in front of next.
func NewOrdered(next Sink, log *slog.Logger) *Ordered {
	return &Ordered{next: next, log: log, known: map[fleet.UpstreamID]*lifetime{}}
}

// Announce implements LifetimeSink.
func (o *Ordered) Announce(a Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.forget(now)
	if reason := o.outdated(&a); reason != "" {
		o.log.Info("announcement dropped", "upstream", a.ID, "cause", reason, "born", a.Born, "sequence", a.Sequence)
		return
	}
	o.endOthers(&a)
	old := o.known[a.ID]
	l := &lifetime{Announcement: a, heard: now, warmMs: a.WarmMs}
	switch {
	case old == nil || old.gone:
	case old.Born != a.Born:
		o.log.Info("upstream has started again", "upstream", a.ID, "born", a.Born)
		o.next.Withdraw(a.ID)
	default:
		l.warmMs = old.warmMs
	}
	o.known[a.ID] = l
	// The cold start counts from the first announcement of a lifetime.
	a.WarmMs = l.warmMs
	o.next.Announce(a)
}

// outdated returns why an announcement says nothing new, or "". o.mu is held.
func (o *Ordered) outdated(a *Announcement) string {
	if l := o.known[a.ID]; l != nil {
		switch {
		case a.Born < l.Born:
			return "an earlier lifetime"
		case a.Born == l.Born && l.gone:
			return "the upstream has gone"
		case a.Born == l.Born && a.Sequence <= l.Sequence:
			return "overtaken"
		}
	}
	for id, l := range o.known {
		if id != a.ID && l.Addr == a.Addr && !l.gone && l.Born > a.Born {
			return "the address belongs to a later upstream"
		}
	}
	return ""
}

// endOthers withdraws earlier upstreams at the address of a. o.mu is held.
func (o *Ordered) endOthers(a *Announcement) {
	for id, l := range o.known {
		if id != a.ID && l.Addr == a.Addr && !l.gone {
			l.gone = true
			o.next.Withdraw(id)
		}
	}
}

// Withdraw implements LifetimeSink.
func (o *Ordered) Withdraw(id fleet.UpstreamID, born int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.known[id]
	if l == nil {
		l = &lifetime{Announcement: Announcement{ID: id, Born: born}}
		o.known[id] = l
	}
	if born != 0 && born < l.Born {
		o.log.Info("end of an earlier lifetime dropped", "upstream", id, "born", born)
		return
	}
	l.gone, l.heard = true, time.Now()
	o.next.Withdraw(id)
}

// forget drops upstreams that have not been heard of for long. o.mu is held.
func (o *Ordered) forget(now time.Time) {
	for id, l := range o.known {
		if now.Sub(l.heard) > rememberGone {
			delete(o.known, id)
		}
	}
}
