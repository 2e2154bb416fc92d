package announce

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// retentionPeriod is how long an upstream is remembered after its last announcement or
	// withdrawal. Delayed announcements arrive within seconds of being sent.
	retentionPeriod = 2 * time.Minute
	// maxDelay is the longest time for which an announcement may be on its way, or a leaving upstream may
	// take to end. One that arrives later than this after a withdrawal was sent by an upstream that stays.
	maxDelay = 30 * time.Second
	// recallTimeout bounds the wait for what other nodes know of the upstreams of this VM. A node that
	// reaches no other one serves its own callers after that.
	recallTimeout = 2 * time.Second
	// recordTimeout bounds the wait for other nodes to keep a departure. Upstreams wait for the
	// acknowledgement of an announcement for about a second.
	recordTimeout = 600 * time.Millisecond
)

// IncarnationSink receives announcements of upstreams that report when they started. An error means that the
// announcement is not acknowledged, so that the upstream repeats it.
type IncarnationSink interface {
	Announce(Announcement) error
	// Withdraw reports that an upstream is gone. startMs is as in Announcement; 0
	// stands for the latest known incarnation, or for all that have started by now if
	// none is known. As it may be late and come from an earlier one, the latest is back once it goes on to
	// announce itself.
	Withdraw(id fleet.UpstreamID, startMs int64) error
}

// Departures keeps at other nodes what upstreams of this VM say about their end. This process would forget it
// with a restart, and a delayed announcement would bring the upstream back.
type Departures interface {
	// RecordDeparture returns once other nodes keep d, also if all processes of the fleet end at that moment.
	RecordDeparture(ctx context.Context, d fleet.Departure) error
	// RecallDepartures calls f for each departure that other nodes have kept for an earlier process of this
	// node. The returned channel is closed once the first ones have been passed to f.
	RecallDepartures(f func(fleet.Departure)) <-chan struct{}
}

// NoDepartures is the Departures of a node without other nodes.
type NoDepartures struct{}

// RecordDeparture implements Departures.
func (NoDepartures) RecordDeparture(context.Context, fleet.Departure) error { return nil }

// RecallDepartures implements Departures.
func (NoDepartures) RecallDepartures(func(fleet.Departure)) <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// Ordered passes announcements on in the order in which upstreams made them. It drops an
// announcement if a later one of the same upstream has arrived, if its incarnation has ended,
// or if a later upstream uses its address. One whose service is not configured waits until it is, and one of a service
// that is not the VM's takes nothing from an upstream of the VM's service, see trust. A departure is acknowledged once other nodes keep it, and
// after a restart of this process nothing is passed on before it has been recalled. Ordered is safe for
// concurrent use.
type Ordered struct {
	next       Sink
	departures Departures
	vm         VM
	log        *slog.Logger

	mu    sync.Mutex
	known map[fleet.UpstreamID]*incarnation
	// waiting holds the latest announcement of each upstream until departures have been recalled. It is
	// nil afterwards.
	waiting map[fleet.UpstreamID]Announcement
	// unconfigured holds the latest announcement of each upstream whose service is not configured.
	unconfigured map[fleet.UpstreamID]unconfiguredUpstream
}

// incarnation holds the latest announcement of one start of an upstream.
type incarnation struct {
	Announcement
	withdrawn bool
	// displaced is set while another upstream uses the address.
	displaced bool
	// unnamed is set if the withdrawal named no start time, so that it may have come from an earlier
	// process of the upstream.
	unnamed   bool
	lastHeard time.Time
	warmMs    int64 // as first announced by the incarnation
	// recorded is the departure that other nodes keep.
	recorded fleet.Departure
}

// departure returns what the upstream has said about its end. ok is false if it has said nothing.
func (inc *incarnation) departure() (d fleet.Departure, ok bool) {
	d = fleet.Departure{Upstream: inc.ID, StartMs: inc.StartMs, Sequence: inc.Sequence, Gone: inc.withdrawn}
	return d, inc.Draining || inc.withdrawn
}

// NewOrdered returns an Ordered in front of next, for the upstreams of vm. Without vm.Services, all services count as configured.
func NewOrdered(next Sink, departures Departures, vm VM, log *slog.Logger) *Ordered {
	if vm.Services == nil {
		vm.Services = anyService{}
	}
	o := &Ordered{
		next: next, departures: departures, vm: vm, log: log,
		known: map[fleet.UpstreamID]*incarnation{}, waiting: map[fleet.UpstreamID]Announcement{},
		unconfigured: map[fleet.UpstreamID]unconfiguredUpstream{},
	}
	vm.Services.Subscribe(o.applyConfiguration)
	recalled := departures.RecallDepartures(o.recall)
	select {
	case <-recalled:
		o.finishRecall()
	default:
		go o.awaitRecall(recalled)
	}
	return o
}

func (o *Ordered) awaitRecall(recalled <-chan struct{}) {
	select {
	case <-recalled:
	case <-time.After(recallTimeout):
		o.log.Warn("no other node was reached; announcements are accepted without recall")
	}
	o.finishRecall()
}

// finishRecall passes the waiting announcements on.
func (o *Ordered) finishRecall() {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.waiting
	o.waiting = nil
	for _, a := range waiting {
		o.accept(a)
	}
}

// recall applies a departure that another node has kept.
func (o *Ordered) recall(d fleet.Departure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	inc := o.known[d.Upstream]
	if inc != nil {
		now, _ := inc.departure()
		if !d.Supersedes(now) {
			return
		}
	}
	o.log.Info("departure recalled", "upstream", d.Upstream, "born", d.StartMs, "sequence", d.Sequence, "gone", d.Gone)
	next := &incarnation{
		Announcement: Announcement{ID: d.Upstream, StartMs: d.StartMs, Sequence: d.Sequence, Draining: true},
		withdrawn:    d.Gone, lastHeard: time.Now(), recorded: d,
	}
	o.known[d.Upstream] = next
	if inc != nil && !inc.withdrawn {
		o.next.Withdraw(d.Upstream)
	}
}

// Announce implements IncarnationSink.
func (o *Ordered) Announce(a Announcement) error {
	if o.hold(a) {
		return nil
	}
	o.mu.Lock()
	waits := o.waitsForService(&a)
	_, known := o.vm.Services.Configured(a.Service)
	o.accept(a)
	o.mu.Unlock()
	switch {
	case !waits:
		return o.record(a.ID)
	case a.Draining && !known:
		return &unconfiguredError{a.ID}
	}
	// No request reaches an upstream whose service is not configured.
	return nil
}

// hold keeps an announcement until departures have been recalled. It reports false if it can be passed on: a
// draining upstream gets no work, so its announcement does no harm.
func (o *Ordered) hold(a Announcement) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting == nil {
		return false
	}
	held, ok := o.waiting[a.ID]
	later := !ok || a.isLaterThan(&held)
	if a.Draining {
		if later {
			delete(o.waiting, a.ID)
		}
		return false
	}
	if later {
		o.waiting[a.ID] = a
	}
	return true
}

// accept passes an announcement on unless it is outdated. o.mu is held.
func (o *Ordered) accept(a Announcement) {
	now := time.Now()
	o.forgetOld(now)
	if o.waitsForService(&a) {
		o.keepUnconfigured(a, now)
		return
	}
	if reason := o.outdatedReason(&a, now); reason != "" {
		o.log.Info("announcement dropped", "upstream", a.ID, "cause", reason, "born", a.StartMs, "sequence", a.Sequence)
		return
	}
	o.displaceOthersAt(&a)
	old := o.known[a.ID]
	inc := &incarnation{Announcement: a, lastHeard: now, warmMs: a.WarmMs}
	switch {
	case old == nil || !old.inUse() && old.StartMs != a.StartMs || old.withdrawn:
	case old.StartMs != a.StartMs:
		o.log.Info("upstream has restarted", "upstream", a.ID, "born", a.StartMs)
		o.next.Withdraw(a.ID)
	default:
		inc.warmMs, inc.recorded = old.warmMs, old.recorded
	}
	o.known[a.ID] = inc
	// The cold start counts from the first announcement of an incarnation.
	a.WarmMs = inc.warmMs
	o.next.Announce(a)
}

// record makes other nodes keep what an upstream has said about its end, unless they do already. It returns
// once they do.
func (o *Ordered) record(id fleet.UpstreamID) error {
	o.mu.Lock()
	inc := o.known[id]
	if inc == nil {
		o.mu.Unlock()
		return nil
	}
	d, ok := inc.departure()
	recorded := inc.recorded
	o.mu.Unlock()
	// The first announcement that says so is enough.
	if !ok || recorded.Upstream != "" && recorded.StartMs == d.StartMs && recorded.Gone == d.Gone {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := o.departures.RecordDeparture(ctx, d); err != nil {
		o.log.Warn("departure not acknowledged, as too few others keep it", "upstream", id, "fault", err)
		return fmt.Errorf("announce: too few others keep the departure of %s: %w", id, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	inc.recorded = d
	return nil
}

// outdatedReason returns why an announcement is outdated, or "" if it is not. o.mu is held.
func (o *Ordered) outdatedReason(a *Announcement, now time.Time) string {
	if inc := o.known[a.ID]; inc != nil {
		if reason := o.conflictWithin(a, inc, now); reason != "" {
			return reason
		}
	}
	return o.conflictAtAddr(a, now)
}

// Withdraw implements IncarnationSink.
func (o *Ordered) Withdraw(id fleet.UpstreamID, startMs int64) error {
	o.withdraw(id, startMs)
	return o.record(id)
}

func (o *Ordered) withdraw(id fleet.UpstreamID, startMs int64) {
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
	inc.withdrawn, inc.unnamed, inc.lastHeard = true, startMs == 0, time.Now()
	inc.StartMs = max(inc.StartMs, startMs)
	o.next.Withdraw(id)
}

// forgetOld removes upstreams that have not been heard of for retentionPeriod. o.mu is held.
func (o *Ordered) forgetOld(now time.Time) {
	for id, inc := range o.known {
		if now.Sub(inc.lastHeard) > retentionPeriod {
			delete(o.known, id)
		}
	}
	for id, u := range o.unconfigured {
		if now.Sub(u.lastHeard) > u.Lease() {
			delete(o.unconfigured, id)
		}
	}
}
