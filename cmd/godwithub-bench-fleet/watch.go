package main

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// watcher times when nodes learn of one expected change.
type watcher struct {
	mu      sync.Mutex
	began   time.Time
	version resource.Version // expected configuration, or zero
	drain   fleet.UpstreamID // expected drain, or empty
	of      fleet.NodeID     // node of the drain
	times   map[int]time.Duration
	want    int
	done    chan struct{}
}

func newWatcher() *watcher { return &watcher{times: map[int]time.Duration{}} }

// expect begins to wait for want nodes and returns a channel that is closed
// when all have learned.
func (w *watcher) expect(want int, v resource.Version, of fleet.NodeID, drain fleet.UpstreamID) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began, w.version, w.of, w.drain, w.want = time.Now(), v, of, drain, want
	w.times = map[int]time.Duration{}
	w.done = make(chan struct{})
	return w.done
}

// learned returns the times taken by the nodes that have learned.
func (w *watcher) learned() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]time.Duration, 0, len(w.times))
	for _, d := range w.times {
		out = append(out, d)
	}
	return out
}

// note is called with w.mu held.
func (w *watcher) note(i int) {
	if _, ok := w.times[i]; ok || w.want == 0 {
		return
	}
	w.times[i] = time.Since(w.began)
	if len(w.times) == w.want {
		close(w.done)
		w.want = 0
	}
}

func (w *watcher) config(i int, v resource.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version != (resource.Version{}) && !v.Less(w.version) {
		w.note(i)
	}
}

func (w *watcher) member(i int, n fleet.Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drain == "" || n.ID != w.of {
		return
	}
	for _, u := range n.Upstreams {
		if u.ID == w.drain && u.State == fleet.UpstreamDraining {
			w.note(i)
		}
	}
}
