package ingress

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/wire"
)

const (
	// loadFresh is how long a report of load is believed. Older reports would
	// keep work away from an upstream that has recovered.
	loadFresh = 2 * time.Second
	// shedFresh is how long an admission threshold is believed. It is short, so
	// that some requests go on to find out whether the overload is over.
	shedFresh = 250 * time.Millisecond
)

// load is what this ingress knows of the load of an upstream.
type load struct {
	inUse     int
	ahead     []wire.LevelQueue
	suspect   bool
	threshold admission.Threshold
	at        time.Time
	known     bool // from a report that is still believed
	// failing is the probability that the upstream fails its work.
	failing float64
}

// loadTable holds the load of upstreams as answers reported it, plus the
// attempts of this ingress that are on their way.
type loadTable struct {
	mu      sync.RWMutex
	entries map[fleet.UpstreamID]*loadEntry
}

type loadEntry struct {
	mu       sync.Mutex
	reported load
	pending  int // own attempts without an answer yet
	atReport int // pending when the report came
}

func newLoadTable() *loadTable { return &loadTable{entries: map[fleet.UpstreamID]*loadEntry{}} }

func (t *loadTable) entry(id fleet.UpstreamID) *loadEntry {
	t.mu.RLock()
	e := t.entries[id]
	t.mu.RUnlock()
	if e != nil {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e = t.entries[id]; e == nil {
		e = &loadEntry{}
		t.entries[id] = e
	}
	return e
}

// get returns the load of an upstream. Old reports count as no load, except
// for this ingress's own attempts.
func (t *loadTable) get(id fleet.UpstreamID, now time.Time) load {
	t.mu.RLock()
	e := t.entries[id]
	t.mu.RUnlock()
	if e == nil {
		return load{threshold: admission.AdmitAll()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.reported
	l.known = true
	age := now.Sub(l.at)
	if age > loadFresh {
		return load{inUse: e.pending, threshold: admission.AdmitAll()}
	}
	if age > shedFresh {
		l.threshold = admission.AdmitAll()
	}
	l.inUse += max(0, e.pending-e.atReport)
	return l
}

// queued returns how many requests wait ahead of one of a level.
func (l *load) queued(level int) int {
	for _, q := range l.ahead {
		if q.Level == level {
			return q.Ahead
		}
	}
	return 0
}

// refuses reports whether the upstream's queue would refuse the request.
func (t *loadTable) refuses(id fleet.UpstreamID, rq *request, now time.Time) bool {
	l := t.get(id, now)
	return l.threshold.Refuses(rq.level, rq.shedHash)
}

// begin counts an attempt on its way.
func (e *loadEntry) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending++
}

// finish counts an attempt that ended, with the load that its end reported. end
// is nil if none came.
func (e *loadEntry) finish(end *wire.AnswerEnd, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending--
	if end == nil || end.Load.Slots == 0 {
		return
	}
	l := &end.Load
	e.atReport = e.pending
	e.reported = load{
		inUse:     l.SlotsInUse,
		ahead:     l.Ahead,
		suspect:   l.Suspect,
		failing:   float64(l.FailingPercent) / 100,
		threshold: l.Threshold(),
		at:        now,
	}
}

// forget drops entries without a recent report or pending attempt.
func (t *loadTable) forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		e.mu.Lock()
		if e.pending == 0 && now.Sub(e.reported.at) > time.Minute {
			delete(t.entries, id)
		}
		e.mu.Unlock()
	}
}

// remoteBusy is how long an ingress keeps from asking the upstreams of a service
// in other regions after one there has declined. Upstreams of a region fill up
// together, and each question costs bytes on a narrow link.
const remoteBusy = 6 * time.Second

// crossingTable holds when other regions last declined work of a service.
type crossingTable struct {
	mu       sync.Mutex
	declined map[string]time.Time // by service
}

func newCrossingTable() *crossingTable { return &crossingTable{declined: map[string]time.Time{}} }

// note records that an upstream of another region has declined work.
func (t *crossingTable) note(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.declined[service] = now
}

// open reports whether other regions may be asked.
func (t *crossingTable) open(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.declined[service]) >= remoteBusy
}

// pathTable holds what this ingress knows of the paths to other nodes.
type pathTable struct {
	mu    sync.RWMutex
	paths map[fleet.NodeID]*path
}

type path struct {
	// rtt is the smoothed time from sending an attempt to its acknowledgement.
	rtt time.Duration
	// troubled says that the path failed and no test of it has succeeded since.
	troubled bool
	// lifetime is that of the dispatcher that acknowledged last.
	lifetime uint64
}

func newPathTable() *pathTable { return &pathTable{paths: map[fleet.NodeID]*path{}} }

// Bounds of the wait for an acknowledgement. The lower one stands for a few
// round trips with room for a busy scheduler; the upper one applies to paths
// that have not been measured yet and covers regions 30 ms apart.
const (
	minAckTimeout = 100 * time.Millisecond
	maxAckTimeout = 400 * time.Millisecond
	// ackTimeoutRTTs is the wait in smoothed round trips.
	ackTimeoutRTTs = 4
)

func (t *pathTable) ackTimeout(node fleet.NodeID) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.paths[node]
	if p == nil || p.rtt == 0 {
		return maxAckTimeout
	}
	return min(maxAckTimeout, max(minAckTimeout, ackTimeoutRTTs*p.rtt))
}

// met records the lifetime of the dispatcher at a node.
func (t *pathTable) met(node fleet.NodeID, lifetime uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(node).lifetime = lifetime
}

// lifetime returns that of the dispatcher that acknowledged last, or 0.
func (t *pathTable) lifetime(node fleet.NodeID) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if p := t.paths[node]; p != nil {
		return p.lifetime
	}
	return 0
}

// acked records the time to an acknowledgement.
func (t *pathTable) acked(node fleet.NodeID, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(node)
	if p.rtt == 0 {
		p.rtt = rtt
	}
	p.rtt += (rtt - p.rtt) / 8
	p.troubled = false
}

// failed records that no acknowledgement came on any direct connection. It
// reports whether the path was not in trouble before.
func (t *pathTable) failed(node fleet.NodeID) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(node)
	first = !p.troubled
	p.troubled = true
	return first
}

// recovered records that the path works again.
func (t *pathTable) recovered(node fleet.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(node).troubled = false
}

// path returns the entry of a node. t.mu is held.
func (t *pathTable) path(node fleet.NodeID) *path {
	p := t.paths[node]
	if p == nil {
		p = &path{}
		t.paths[node] = p
	}
	return p
}

// troubled reports whether the path to a node has failed and not recovered.
func (t *pathTable) troubled(node fleet.NodeID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.paths[node]
	return p != nil && p.troubled
}

// keepOnly drops paths to nodes that are not in use any more.
func (t *pathTable) keepOnly(used func(fleet.NodeID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.paths {
		if !used(id) {
			delete(t.paths, id)
		}
	}
}
