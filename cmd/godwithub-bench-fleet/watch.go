package main

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// watcher measures how long the nodes take to learn of one expected change.
type watcher struct {
	mu              sync.Mutex
	startedAt       time.Time
	version         resource.Version // version of the expected configuration change; zero for a drain
	drainedUpstream fleet.UpstreamID // upstream of the expected drain; empty for a configuration change
	drainingNode    fleet.NodeID     // node of drainedUpstream
	learnedAfter    map[int]time.Duration
	wantNodes       int
	done            chan struct{}
}

func newWatcher() *watcher { return &watcher{learnedAfter: map[int]time.Duration{}} }

// expect starts the measurement of a change and returns a channel that is closed
// when wantNodes nodes have learned of it.
func (w *watcher) expect(wantNodes int, v resource.Version, drainingNode fleet.NodeID, drainedUpstream fleet.UpstreamID) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt, w.version, w.drainingNode, w.drainedUpstream, w.wantNodes = time.Now(), v, drainingNode, drainedUpstream, wantNodes
	w.learnedAfter = map[int]time.Duration{}
	w.done = make(chan struct{})
	return w.done
}

// learnDelays returns the delays of the nodes that have learned of the change.
func (w *watcher) learnDelays() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]time.Duration, 0, len(w.learnedAfter))
	for _, d := range w.learnedAfter {
		out = append(out, d)
	}
	return out
}

// recordNode records that node i has learned of the change. w.mu must be held.
func (w *watcher) recordNode(i int) {
	if _, ok := w.learnedAfter[i]; ok || w.wantNodes == 0 {
		return
	}
	w.learnedAfter[i] = time.Since(w.startedAt)
	if len(w.learnedAfter) == w.wantNodes {
		close(w.done)
		w.wantNodes = 0
	}
}

func (w *watcher) observeConfig(i int, v resource.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version != (resource.Version{}) && !v.Less(w.version) {
		w.recordNode(i)
	}
}

func (w *watcher) observeMember(i int, n fleet.Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainedUpstream == "" || n.ID != w.drainingNode {
		return
	}
	for _, u := range n.Upstreams {
		if u.ID == w.drainedUpstream && u.State == fleet.UpstreamDraining {
			w.recordNode(i)
		}
	}
}
