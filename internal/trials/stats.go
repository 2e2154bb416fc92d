package trials

import (
	"time"

	"github.com/godwithub/godwithub/outcome"
)

// warmUp is the time at the start of a trace that is excluded from the counts.
const warmUp = 20 * time.Second

// Stats holds the counts of one run. Slices are indexed by kind.
type Stats struct {
	Events           int
	AttemptsAtFaulty int // attempts that ran at the faulty upstream
	CrossRegion      int // attempts sent to the other region
	Requests         []int
	Attempts         []int
	InTime           []int
	Late             []int           // answered after the deadline
	Failed           []int           // final outcome unknown: failed at the upstream or timed out
	Refused          []int           // final outcome not-run
	SlotTime         []time.Duration // time that slots were in use, including work that failed
	UsefulSlotTime   []time.Duration // mean service time of the kind for each answer in time
	measureFrom      time.Duration   // requests that arrive earlier are not counted
	d                *Deployment
}

func newStats(d *Deployment) Stats {
	n := len(d.Kinds)
	return Stats{
		Requests: make([]int, n), Attempts: make([]int, n), InTime: make([]int, n),
		Late: make([]int, n), Failed: make([]int, n), Refused: make([]int, n),
		SlotTime: make([]time.Duration, n), UsefulSlotTime: make([]time.Duration, n), d: d, measureFrom: warmUp,
	}
}

// isMeasured reports whether a request arrived after the start of the measurement.
func (s *Stats) isMeasured(r *request) bool {
	return r.deadline-s.d.Kinds[r.kind].Deadline >= s.measureFrom
}

func (s *Stats) add(counter []int, r *request) {
	if s.isMeasured(r) {
		counter[r.kind]++
	}
}

func (s *Stats) arrived(_ time.Duration, r *request)   { s.add(s.Requests, r) }
func (s *Stats) attempted(_ time.Duration, r *request) { s.add(s.Attempts, r) }

func (s *Stats) served(at time.Duration, r *request, serviceTime time.Duration) {
	if at >= s.measureFrom {
		s.SlotTime[r.kind] += serviceTime
	}
}

func (s *Stats) answered(at time.Duration, r *request) {
	if at > r.deadline {
		s.add(s.Late, r)
		return
	}
	s.add(s.InTime, r)
	if at >= s.measureFrom {
		s.UsefulSlotTime[r.kind] += s.d.Kinds[r.kind].ServiceTime
	}
}

func (s *Stats) failed(_ time.Duration, r *request, e outcome.Ended) {
	if e.Outcome == outcome.NotRun {
		s.add(s.Refused, r)
		return
	}
	s.add(s.Failed, r)
}

func sum[T int | time.Duration](values []T) T {
	var n T
	for _, v := range values {
		n += v
	}
	return n
}
