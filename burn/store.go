package burn

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

const (
	// fineStep and fineSpan are the resolution and length of the short-term
	// history, coarseStep and coarseSpan those of the long-term one.
	fineStep   = time.Minute
	fineSpan   = 6 * time.Hour
	coarseStep = time.Hour
	coarseSpan = 72 * time.Hour
	// youngProcess is the age up to which the first totals of a process are
	// counted in full. Older totals go back to before this store began.
	youngProcess = time.Minute
	// nodeSilence is how long a node that sends nothing is remembered.
	nodeSilence = time.Hour
)

// Store keeps the counts of all nodes in windows. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	began  time.Time
	nodes  map[fleet.NodeID]*series
	fine   history
	coarse history
}

// series is what a node has sent.
type series struct {
	boot   uint64
	seen   time.Time
	totals map[Key]Counts
}

// history is a ring of buckets, by start of the bucket.
type history struct {
	step, span time.Duration
	buckets    map[int64]map[Key]Counts
}

// NewStore returns an empty store.
func NewStore(now time.Time) *Store {
	return &Store{
		began:  now,
		nodes:  map[fleet.NodeID]*series{},
		fine:   history{fineStep, fineSpan, map[int64]map[Key]Counts{}},
		coarse: history{coarseStep, coarseSpan, map[int64]map[Key]Counts{}},
	}
}

// Add takes in the totals of a node. It asks for full totals of a process that
// it does not know, to tell what is new from what was counted before.
func (s *Store) Add(now time.Time, t Totals) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[t.Node]
	isNew := n == nil || t.Boot > n.boot
	switch {
	case n != nil && t.Boot < n.boot:
		return Reply{} // a late message of an earlier process
	case isNew && !t.Full:
		return Reply{SendAll: true}
	case isNew:
		n = &series{boot: t.Boot, totals: map[Key]Counts{}}
		s.nodes[t.Node] = n
	}
	n.seen = now
	// The first totals of a process that is not young go back to before this
	// store began.
	baseline := isNew && time.Duration(t.UptimeMs)*time.Millisecond >= youngProcess
	for _, e := range t.Entries {
		before := n.totals[e.Key]
		if e.Counts.Asked < before.Asked {
			continue // overtaken by a later message
		}
		n.totals[e.Key] = e.Counts
		if !baseline {
			d := e.Counts.minus(before)
			s.fine.add(now, e.Key, d)
			s.coarse.add(now, e.Key, d)
		}
	}
	s.forget(now)
	return Reply{}
}

// forget drops nodes and buckets that are over.
func (s *Store) forget(now time.Time) {
	for id, n := range s.nodes {
		if now.Sub(n.seen) > nodeSilence {
			delete(s.nodes, id)
		}
	}
	s.fine.forget(now)
	s.coarse.forget(now)
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

func (h *history) forget(now time.Time) {
	limit := now.Add(-h.span - h.step).Unix()
	for at := range h.buckets {
		if at < limit {
			delete(h.buckets, at)
		}
	}
}

// sum returns the counts of the last d, by key.
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
