package ingress

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

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
