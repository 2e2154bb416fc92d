package capacity

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxKinds bounds the kinds of a Model. Kinds beyond it are not learned.
const maxKinds = 4096

const (
	// noRoomWindow is the time constant with which runs are forgotten that tell whether calls find room.
	noRoomWindow = time.Second
	// priorRuns is the number of runs without a failed call that are assumed, so that few runs say little.
	priorRuns = 1
	// minNoRoomShare is the smallest share that is reported.
	minNoRoomShare = 0.02
	// minNoRoomRuns is the decayed number of runs below which a service is forgotten.
	minNoRoomRuns = 0.02
)

const (
	// callGain is the weight of a new run in the moving averages of calls.
	callGain = 0.01
	// minCallRuns is the number of runs from which the share of those that make calls is reported.
	minCallRuns = 50
)

// Run is a run of a request that has ended.
type Run struct {
	Kind     string
	SlotTime time.Duration
	// Cut says that the run was ended before its work was done.
	Cut bool
	// CallFailed says that the run has failed because a call of it did. It would have made more calls.
	CallFailed bool
	// Calls is the number of calls that the run has made, by service.
	Calls map[string]int
	// NoRoom is the service at which a call of the run was refused for want of room; empty: none.
	NoRoom string
}

// NoRoom says that a share of the recent runs of a kind has failed because a call found no room at a
// service, and that a share of its runs makes calls there.
type NoRoom struct {
	Service string  `cbor:"1,keyasint"`
	Failing float64 `cbor:"2,keyasint"` // share of recent runs that failed for it
	Calling float64 `cbor:"3,keyasint"` // share of runs that make calls there; 0 until enough runs are known
}

// Calls describes the calls that runs of a kind make to a service.
type Calls struct {
	Service string
	// Share is the share of runs that make any, and Number the mean number of calls that these runs make.
	Share, Number float64
}

// Mean returns the mean number of calls of a run.
func (c *Calls) Mean() float64 { return c.Share * c.Number }

// Model holds what was learned about the kinds of requests from runs of them. The zero value has learned
// nothing.
type Model struct{ kinds map[string]*kind }

// kind is what was learned about one kind.
type kind struct {
	work  Work
	runs  int
	calls map[string]*Calls
	// recent is the number of recent runs, and noRoom that of those whose calls found no room at a
	// service, as of forgotAt.
	recent   float64
	noRoom   map[string]float64
	forgotAt time.Time
}

// forget decays the counts of recent runs with noRoomWindow.
func (k *kind) forget(now time.Time) {
	elapsed := now.Sub(k.forgotAt)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / noRoomWindow.Seconds())
	k.recent *= kept
	for service, n := range k.noRoom {
		if k.noRoom[service] = n * kept; n*kept < minNoRoomRuns {
			delete(k.noRoom, service)
		}
	}
	k.forgotAt = now
}

// Record adds a run. Runs that failed for other reasons than their calls or a cut must be left out: they
// may have ended before their work began.
func (m *Model) Record(now time.Time, r Run) {
	k := m.kinds[r.Kind]
	if k == nil {
		if len(m.kinds) >= maxKinds {
			return
		}
		if m.kinds == nil {
			m.kinds = map[string]*kind{}
		}
		k = &kind{calls: map[string]*Calls{}, noRoom: map[string]float64{}}
		m.kinds[r.Kind] = k
	}
	k.work.Record(r.SlotTime, r.Cut)
	k.recordCalls(&r)
	k.forget(now)
	k.recent++
	if r.NoRoom != "" {
		k.noRoom[r.NoRoom]++
	}
}

// recordCalls adds the calls of a run to the moving averages.
func (k *kind) recordCalls(r *Run) {
	k.runs++
	gain := max(callGain, 1/float64(k.runs))
	for service, n := range r.Calls {
		c := k.calls[service]
		if c == nil {
			c = &Calls{Service: service, Number: float64(n)}
			k.calls[service] = c
		}
		number := float64(n)
		if r.CallFailed || r.Cut {
			// The calls after the failed one are missing.
			number = max(number, c.Number)
		}
		c.Number += gain * (number - c.Number)
	}
	for service, c := range k.calls {
		made := 0.0
		if r.Calls[service] > 0 {
			made = 1
		}
		c.Share += gain * (made - c.Share)
	}
}

// Work returns what is known of the work of a kind's runs.
func (m *Model) Work(kind string) Work {
	if k := m.kinds[kind]; k != nil {
		return k.work
	}
	return Work{}
}

// NoRoom returns at which services the calls of a kind's recent runs have found no room, sorted by
// service.
func (m *Model) NoRoom(now time.Time, kind string) []NoRoom {
	k := m.kinds[kind]
	if k == nil {
		return nil
	}
	k.forget(now)
	var out []NoRoom
	for _, service := range slices.Sorted(maps.Keys(k.noRoom)) {
		if share := k.noRoom[service] / (k.recent + priorRuns); share >= minNoRoomShare {
			report := NoRoom{Service: service, Failing: share}
			if c := k.calls[service]; c != nil && k.runs >= minCallRuns {
				report.Calling = c.Share
			}
			out = append(out, report)
		}
	}
	return out
}

// Kinds returns the names of the known kinds, sorted.
func (m *Model) Kinds() []string { return slices.Sorted(maps.Keys(m.kinds)) }

// Calls returns the calls that the runs of a kind make, sorted by service.
func (m *Model) Calls(kind string) []Calls {
	k := m.kinds[kind]
	if k == nil {
		return nil
	}
	out := make([]Calls, 0, len(k.calls))
	for _, service := range slices.Sorted(maps.Keys(k.calls)) {
		out = append(out, *k.calls[service])
	}
	return out
}
