package burn

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// fineStep and fineSpan are the resolution and duration of the short-term history, coarseStep and
	// coarseSpan those of the long-term one.
	fineStep   = time.Minute
	fineSpan   = 6 * time.Hour
	coarseStep = time.Hour
	coarseSpan = 72 * time.Hour
	// newProcessAge is the age below which the first totals of a process are counted in full. The
	// first totals of an older process may include requests from before this store was created.
	newProcessAge = time.Minute
	// nodeRetention is how long a node is kept after its last message.
	nodeRetention = time.Hour
)

// Store holds the counts of all nodes by time. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	startedAt time.Time
	nodes     map[fleet.NodeID]*series
	fine      history
	coarse    history
}

// series holds the last totals of one incarnation of a node.
type series struct {
	incarnation uint64
	lastSeen    time.Time
	totals      map[Key]Counts
}

// history holds counts in buckets of length step, keyed by the Unix time of the bucket's start, for
// the duration span.
type history struct {
	step, span time.Duration
	buckets    map[int64]map[Key]Counts
}

// NewStore returns an empty store that starts to count at now.
func NewStore(now time.Time) *Store {
	return &Store{
		startedAt: now,
		nodes:     map[fleet.NodeID]*series{},
		fine:      history{fineStep, fineSpan, map[int64]map[Key]Counts{}},
		coarse:    history{coarseStep, coarseSpan, map[int64]map[Key]Counts{}},
	}
}

// Add adds the increase of a node's totals since its last message. From an incarnation that it does
// not know it requests full totals, to separate new counts from those that were counted before.
func (s *Store) Add(now time.Time, t Totals) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[t.Node]
	isNew := n == nil || t.Incarnation > n.incarnation
	switch {
	case n != nil && t.Incarnation < n.incarnation:
		return Reply{} // a late message of an earlier incarnation
	case isNew && !t.Full:
		return Reply{SendFullTotals: true}
	case isNew:
		n = &series{incarnation: t.Incarnation, totals: map[Key]Counts{}}
		s.nodes[t.Node] = n
	}
	n.lastSeen = now
	// The first totals of an older process serve only as the baseline for later ones.
	isBaseline := isNew && time.Duration(t.UptimeMs)*time.Millisecond >= newProcessAge
	for _, e := range t.Entries {
		previous := n.totals[e.Key]
		if e.Counts.Requests < previous.Requests {
			continue // a later message has arrived before this one
		}
		n.totals[e.Key] = e.Counts
		if !isBaseline {
			d := e.Counts.minus(previous)
			s.fine.add(now, e.Key, d)
			s.coarse.add(now, e.Key, d)
		}
	}
	s.dropExpired(now)
	return Reply{}
}

// dropExpired removes nodes that have been silent for nodeRetention, and buckets that are out of the
// span of their history.
func (s *Store) dropExpired(now time.Time) {
	for id, n := range s.nodes {
		if now.Sub(n.lastSeen) > nodeRetention {
			delete(s.nodes, id)
		}
	}
	s.fine.dropExpired(now)
	s.coarse.dropExpired(now)
}

func (h *history) add(now time.Time, k Key, c Counts) {
	at := now.Truncate(h.step).Unix()
	b := h.buckets[at]
	if b == nil {
		b = map[Key]Counts{}
		h.buckets[at] = b
	}
	b[k] = b[k].plus(c)
}

func (h *history) dropExpired(now time.Time) {
	limit := now.Add(-h.span - h.step).Unix()
	for at := range h.buckets {
		if at < limit {
			delete(h.buckets, at)
		}
	}
}

// sum returns the counts of the last d, by key. The caller holds s.mu.
func (s *Store) sum(now time.Time, d time.Duration) map[Key]Counts {
	h := &s.fine
	if d > fineSpan {
		h = &s.coarse
	}
	limit := now.Add(-d).Unix()
	out := map[Key]Counts{}
	for at, b := range h.buckets {
		if at < limit {
			continue
		}
		for k, c := range b {
			out[k] = out[k].plus(c)
		}
	}
	return out
}
