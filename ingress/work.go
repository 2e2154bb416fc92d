package ingress

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/capacity"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/wire"
)

const (
	// maxWorkKinds bounds the number of kinds in a workTable. When it is exceeded, all are learned anew.
	maxWorkKinds = 4096
	// leavingMargin covers the delay with which this node learns that another one is leaving, and the
	// network round trip to the upstream.
	leavingMargin = 500 * time.Millisecond
)

// workTable estimates how long upstreams run requests of each kind, from the times that dispatchers report.
// The zero value is empty. It is safe for concurrent use.
type workTable struct {
	mu     sync.Mutex
	byKind map[string]*kindWork
}

// kindWork is what is known of the runs of one kind.
type kindWork struct {
	capacity.Work
	// longAnswers is set once an answer was too long to be held back until it was complete.
	longAnswers bool
}

// record adds a successful run of a kind. longAnswer says that its answer was passed on before it was complete. It
// ignores a nil end, which means that the run time is not known. Failed runs must not be recorded: a failing upstream often fails at once, which would lower the estimate.
func (t *workTable) record(kind string, end *wire.AnswerEnd, longAnswer bool) {
	if end == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byKind[kind]
	if w == nil {
		if t.byKind == nil || len(t.byKind) >= maxWorkKinds {
			t.byKind = map[string]*kindWork{}
		}
		w = &kindWork{}
		t.byKind[kind] = w
	}
	w.Record(max(end.Served(), time.Millisecond), false)
	w.longAnswers = w.longAnswers || longAnswer
}

// longest returns a time within which nearly all runs of a kind end. known is false if no run was recorded.
func (t *workTable) longest(kind string) (longest time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byKind[kind]
	if w == nil {
		return 0, false
	}
	return w.Longest(), true
}

// hasLongAnswers reports whether answers of a kind may be passed on before they are complete.
func (t *workTable) hasLongAnswers(kind string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byKind[kind]
	return w != nil && w.longAnswers
}

// endsBeforeStop reports whether a request that is sent to u now will end before u's node stops, or can run once more
// elsewhere, if that node is leaving. The dispatcher of that node knows when it stops and declines what it may not take.
func (in *Ingress) endsBeforeStop(v *board.View, u *board.Upstream, rq *request, now time.Time, repeatable bool) bool {
	if u.LeavingSince.IsZero() {
		return true
	}
	sameNode := u.Node == v.Self.ID
	longest, known := in.work.longest(rq.kind.Name)
	if in.cfg.StopTime == 0 || !known {
		// Without an estimate, other nodes send nothing to a leaving node. If this node itself is leaving, it
		// accepts requests of callers only during its lame-duck time, and its own upstreams still run those.
		return sameNode
	}
	c := dispatch.StopCheck{
		StopAt:   u.LeavingSince.Add(in.cfg.StopTime - leavingMargin),
		Deadline: rq.deadline, Longest: longest, Repeatable: repeatable, SameNode: sameNode,
	}
	return c.Allows(now)
}
