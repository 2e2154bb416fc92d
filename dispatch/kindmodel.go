package dispatch

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/capacity"
)

// kindModel is what the runs at the upstreams of this VM have shown of the kinds of requests. It is safe for
// concurrent use.
type kindModel struct {
	mu    sync.Mutex
	model capacity.Model
}

// record adds a run with its slot time and result. callFailed says that a call of it failed. Upstreams that fail their requests do so
// at once, so failed runs say nothing unless a call of theirs failed.
func (m *kindModel) record(r *RunningRequest, slotTime time.Duration, result Result, callFailed bool) {
	if result != ResultOK && result != ResultTimeout && !callFailed {
		return
	}
	run := capacity.Run{Kind: r.Kind, SlotTime: slotTime, Cut: result == ResultTimeout, CallFailed: callFailed, Calls: r.Calls()}
	if result != ResultOK {
		run.NoRoom = r.NoRoom()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model.Record(r.began.Add(slotTime), run)
}

// noRoom returns at which services calls of a kind's recent runs have found no room.
func (m *kindModel) noRoom(now time.Time, kind string) []capacity.NoRoom {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.NoRoom(now, kind)
}

// KindStatus is what a dispatcher has learned of the runs of a kind on its VM.
type KindStatus struct {
	SlotTimeMs int64 `json:"slotTimeMs"` // mean
	SpreadMs   int64 `json:"spreadMs"`   // mean absolute deviation
	// Calls is the mean number of calls of a run by service, and NoRoom the share of recent runs that
	// have failed because a call found no room there.
	Calls  map[string]float64 `json:"calls,omitempty"`
	NoRoom map[string]float64 `json:"noRoom,omitempty"`
}

// statuses returns what was learned, by kind.
func (m *kindModel) statuses(now time.Time) map[string]KindStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]KindStatus{}
	for _, kind := range m.model.Kinds() {
		w := m.model.Work(kind)
		s := KindStatus{SlotTimeMs: w.Mean().Milliseconds(), SpreadMs: w.Spread().Milliseconds(), Calls: map[string]float64{}, NoRoom: map[string]float64{}}
		for _, c := range m.model.Calls(kind) {
			s.Calls[c.Service] = c.Mean()
		}
		for _, n := range m.model.NoRoom(now, kind) {
			s.NoRoom[n.Service] = n.Failing
		}
		out[kind] = s
	}
	return out
}

// work returns the mean slot time of a kind, or 0 if it is not known.
func (m *kindModel) work(kind string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.model.Work(kind)
	return w.Mean()
}
