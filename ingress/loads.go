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
	// maxNoticeAge is how long the rate limit of an upstream is used to choose between upstreams. It
	// is long, since an upstream with a low limit is seldom asked. The dispatcher knows the limit
	// exactly and declines what exceeds it.
	maxNoticeAge = 10 * time.Second
)

// load is what this ingress knows about the load of an upstream.
type load struct {
	inUse      int
	ahead      []wire.LevelQueue
	suspect    bool
	threshold  admission.Threshold
	reportedAt time.Time // zero: never
	known      bool      // from a report not older than maxLoadAge
	// failing is the probability that the upstream fails a request.
	failing float64
	// capacityShare is the share of its slots that the upstream's rate limit lets it use.
	capacityShare float64
	// rateLimited says that the rate limit allows no further request yet.
	rateLimited bool
	// leaving says that the upstream has said in an answer that it leaves.
	leaving bool
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

	// notice is what the upstream said of itself at noticeAt; nil: nothing. capacityShare and
	// rateReadyAt follow from it: see load, and when its rate limit allows another request.
	notice        *wire.UpstreamNotice
	noticeAt      time.Time
	capacityShare float64
	rateReadyAt   time.Time
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
		return load{threshold: admission.AdmitAll(), capacityShare: 1}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.reported
	l.known = true
	age := now.Sub(l.reportedAt)
	l.inUse += max(0, e.pending-e.pendingAtReport)
	if age > maxLoadAge {
		l = load{inUse: e.pending, reportedAt: l.reportedAt}
	}
	if age > maxThresholdAge {
		l.threshold = admission.AdmitAll()
	}
	l.capacityShare, l.rateLimited = 1, now.Before(e.rateReadyAt)
	if e.notice != nil && now.Sub(e.noticeAt) <= maxNoticeAge {
		l.capacityShare = e.capacityShare
	}
	return l
}

// notice returns what an upstream said of itself in the last answer that passed this ingress, or nil.
func (t *loadTable) notice(id fleet.UpstreamID) *wire.UpstreamNotice {
	t.mu.RLock()
	e := t.entries[id]
	t.mu.RUnlock()
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notice
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
	e.notice, e.noticeAt = l.Notice, now
	e.capacityShare = 1
	if l.Capacity > 0 {
		e.capacityShare = l.Capacity / float64(l.Slots)
	}
	e.rateReadyAt = now.Add(time.Duration(l.RateWaitMs) * time.Millisecond)
	e.pendingAtReport = e.pending
	e.reported = load{
		inUse:      l.SlotsInUse,
		ahead:      l.Ahead,
		suspect:    l.Suspect,
		failing:    float64(l.FailingPercent) / 100,
		threshold:  l.Threshold(),
		leaving:    l.Notice != nil && l.Notice.Leaving,
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
