package ingress

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/wire"
)

const (
	// maxLoadAge is how long a load report is used. Older ones would keep work away from an
	// upstream that has recovered.
	maxLoadAge = 2 * time.Second
	// maxThresholdAge is how long an admission threshold is used. It is short, so that some requests
	// are still sent and show whether the overload has ended.
	maxThresholdAge = 250 * time.Millisecond
)

// load is what this ingress knows about the load of an upstream.
type load struct {
	inUse      int
	ahead      []wire.LevelQueue
	suspect    bool
	threshold  admission.Threshold
	reportedAt time.Time
	known      bool // from a report not older than maxLoadAge
	// failing is the probability that the upstream fails a request.
	failing float64
}

// loadTable holds the load of upstreams as reported with answers, and the number of this ingress's
// attempts in flight.
type loadTable struct {
	mu      sync.RWMutex
	entries map[fleet.UpstreamID]*loadEntry
}

type loadEntry struct {
	mu              sync.Mutex
	reported        load
	pending         int // attempts of this ingress in flight
	pendingAtReport int // value of pending when the report arrived
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

// get returns the load of an upstream. If the report is too old, only this ingress's own attempts
// count.
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
	age := now.Sub(l.reportedAt)
	if age > maxLoadAge {
		return load{inUse: e.pending, threshold: admission.AdmitAll()}
	}
	if age > maxThresholdAge {
		l.threshold = admission.AdmitAll()
	}
	l.inUse += max(0, e.pending-e.pendingAtReport)
	return l
}

// queued returns the wait of a new request of the rank level, as a number of requests; see
// wire.LevelQueue.
func (l *load) queued(level int) int {
	for _, q := range l.ahead {
		if q.Level == level {
			return q.Ahead
		}
	}
	return 0
}

// refuses reports whether the upstream's queue would refuse rq, according to its last admission
// threshold.
func (t *loadTable) refuses(id fleet.UpstreamID, rq *request, now time.Time) bool {
	l := t.get(id, now)
	return l.threshold.Refuses(rq.level, rq.shedHash)
}

// begin counts an attempt as in flight.
func (e *loadEntry) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending++
}

// finish counts an attempt as ended and stores the load reported with its end. end is nil if the
// dispatcher sent none.
func (e *loadEntry) finish(end *wire.AnswerEnd, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending--
	if end == nil || end.Load.Slots == 0 {
		return
	}
	l := &end.Load
	e.pendingAtReport = e.pending
	e.reported = load{
		inUse:      l.SlotsInUse,
		ahead:      l.Ahead,
		suspect:    l.Suspect,
		failing:    float64(l.FailingPercent) / 100,
		threshold:  l.Threshold(),
		reportedAt: now,
	}
}

// expire drops entries without a recent report or an attempt in flight.
func (t *loadTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		e.mu.Lock()
		if e.pending == 0 && now.Sub(e.reported.reportedAt) > time.Minute {
			delete(t.entries, id)
		}
		e.mu.Unlock()
	}
}

// crossRegionBackoff is how long an ingress sends no work of a service to other regions after an
// upstream there has declined some. The upstreams of a region fill up together, and each attempt
// costs bandwidth on a narrow link.
const crossRegionBackoff = 6 * time.Second

// crossRegionTable holds when an upstream in another region last declined work of a service.
type crossRegionTable struct {
	mu       sync.Mutex
	declined map[string]time.Time // by service
}

func newCrossRegionTable() *crossRegionTable {
	return &crossRegionTable{declined: map[string]time.Time{}}
}

// recordDecline records that an upstream in another region has declined work of service.
func (t *crossRegionTable) recordDecline(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.declined[service] = now
}

// allowed reports whether work of service may be sent to other regions.
func (t *crossRegionTable) allowed(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.declined[service]) >= crossRegionBackoff
}

// pathTable holds what this ingress knows about the network paths to other nodes.
type pathTable struct {
	mu    sync.RWMutex
	paths map[fleet.NodeID]*path
}

type path struct {
	// rtt is the smoothed time from sending an attempt to its acknowledgement.
	rtt time.Duration
	// failed is set while the path has failed and neither a test nor an attempt over it has
	// succeeded since.
	failed bool
	// incarnation is that of the dispatcher that acknowledged last.
	incarnation uint64
}

func newPathTable() *pathTable { return &pathTable{paths: map[fleet.NodeID]*path{}} }

// Bounds of the acknowledgement timeout. The lower one covers a few round trips and scheduling
// delays on a busy VM. The upper one covers regions that are 30 ms apart, and applies to paths that
// have not been measured yet.
const (
	minAckTimeout = 100 * time.Millisecond
	maxAckTimeout = 400 * time.Millisecond
	// ackTimeoutRTTs is the acknowledgement timeout as a multiple of the smoothed round trip time.
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

// setIncarnation records the incarnation of the dispatcher on a node.
func (t *pathTable) setIncarnation(node fleet.NodeID, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(node).incarnation = incarnation
}

// incarnation returns the incarnation of the dispatcher on a node that acknowledged last, or 0 if
// none has.
func (t *pathTable) incarnation(node fleet.NodeID) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if p := t.paths[node]; p != nil {
		return p.incarnation
	}
	return 0
}

// recordAck records the time from sending an attempt to its acknowledgement, and clears the failure
// of the path.
func (t *pathTable) recordAck(node fleet.NodeID, rtt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(node)
	if p.rtt == 0 {
		p.rtt = rtt
	}
	p.rtt += (rtt - p.rtt) / 8
	p.failed = false
}

// markFailed marks a path as failed: no acknowledgement came over any direct connection. It reports
// whether the path had not failed before.
func (t *pathTable) markFailed(node fleet.NodeID) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(node)
	first = !p.failed
	p.failed = true
	return first
}

// markRecovered clears the failure of a path.
func (t *pathTable) markRecovered(node fleet.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(node).failed = false
}

// path returns the entry of a node, which it creates if there is none. t.mu must be held.
func (t *pathTable) path(node fleet.NodeID) *path {
	p := t.paths[node]
	if p == nil {
		p = &path{}
		t.paths[node] = p
	}
	return p
}

// hasFailed reports whether the path to a node has failed and not recovered.
func (t *pathTable) hasFailed(node fleet.NodeID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p := t.paths[node]
	return p != nil && p.failed
}

// keepOnly drops the paths to nodes for which used returns false.
func (t *pathTable) keepOnly(used func(fleet.NodeID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.paths {
		if !used(id) {
			delete(t.paths, id)
		}
	}
}
