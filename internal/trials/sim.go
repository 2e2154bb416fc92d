package trials

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/internal/eventqueue"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
)

// epoch is the start of the simulated clock.
var epoch = time.Unix(1_700_000_000, 0)

// sim simulates one trace under one detection method.
type sim struct {
	d          *Deployment
	tr         *Trace
	elapsed    time.Duration
	events     eventqueue.Queue
	traceRand  *rand.Rand // arrivals, service times and failures; the same for all methods
	policyRand *rand.Rand // random choices of the policy under test

	ingresses []*ingress
	workers   []*worker
	callers   []caller
	control   *controller
	nextID    uint64
	stats     Stats
}

type caller struct {
	name string
	hash uint64
}

// ingress holds what the ingress of one node knows about each worker, and its budgets.
type ingress struct {
	candidates  []balance.Candidate
	thresholds  []admission.Threshold
	queuedAhead [][]int // queued tickets ahead of a new one, by worker and level
	retryBudget retry.Budget
	byteBudget  *balance.ByteBudget
}

// request is one caller's request over all its attempts.
type request struct {
	kind, ingress int
	caller        int
	deadline      time.Duration
	serviceFactor float64 // multiplies the kind's mean service time
	failureDraw   float64 // random number in [0, 1) that decides which attempts fail
	attempts      int
	tried         []fleet.UpstreamID
}

// newSim prepares a run. With an empty method no upstream is ever suspected or ejected.
func newSim(d *Deployment, tr *Trace, method string, seed uint64) *sim {
	s := &sim{
		d: d, tr: tr,
		traceRand:  rand.New(rand.NewPCG(seed, 1)),
		policyRand: rand.New(rand.NewPCG(seed, 2)),
		stats:      newStats(d),
	}
	for i := range d.Callers {
		name := fmt.Sprintf("caller-%d", i)
		s.callers = append(s.callers, caller{name, xxhash.Sum64String(name)})
	}
	for w := range d.Workers {
		s.workers = append(s.workers, newWorker(s, w))
	}
	for range d.Workers {
		s.ingresses = append(s.ingresses, s.newIngress())
	}
	s.control = newController(s, method)
	for k, offered := range tr.offeredLoads(d) {
		if offered > 0 {
			s.scheduleArrival(k, d.rate(k, offered))
		}
	}
	return s
}

func (s *sim) newIngress() *ingress {
	in := &ingress{
		candidates:  make([]balance.Candidate, s.d.Workers),
		thresholds:  make([]admission.Threshold, s.d.Workers),
		queuedAhead: make([][]int, s.d.Workers),
		byteBudget:  balance.NewByteBudget(balance.DefaultByteOptions(s.d.Workers / 2)),
	}
	for w := range s.d.Workers {
		in.candidates[w] = balance.Candidate{
			Upstream: upstreamID(w), Slots: s.d.Slots, Weight: 1,
			Region: fmt.Sprint(s.d.region(w)), FailureDomain: fmt.Sprint(s.d.domain(w)),
		}
		in.thresholds[w] = admission.AdmitAll()
		in.queuedAhead[w] = make([]int, len(s.d.Kinds))
	}
	return in
}

func (s *sim) now() time.Time { return epoch.Add(s.elapsed) }

func (s *sim) after(d time.Duration, do func()) {
	s.events.Push(s.elapsed+d, do)
}

// run processes all events of the trace and returns the counts.
func (s *sim) run() *Stats {
	for {
		at, do, ok := s.events.Pop()
		if !ok || at > s.tr.Duration {
			return &s.stats
		}
		s.elapsed = at
		s.stats.Events++
		do()
	}
}

func (s *sim) scheduleArrival(kind int, perSecond float64) {
	gap := time.Duration(s.traceRand.ExpFloat64() / perSecond * float64(time.Second))
	s.after(gap, func() {
		s.arrive(kind)
		s.scheduleArrival(kind, perSecond)
	})
}

func (s *sim) arrive(kind int) {
	k := &s.d.Kinds[kind]
	r := &request{
		kind:          kind,
		ingress:       s.traceRand.IntN(s.d.Workers),
		caller:        int(float64(s.d.Callers) * math.Pow(s.traceRand.Float64(), 2)),
		deadline:      s.elapsed + k.Deadline,
		serviceFactor: math.Exp(serviceTimeSigma*s.traceRand.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2),
		failureDraw:   s.traceRand.Float64(),
	}
	s.stats.arrived(s.elapsed, r)
	s.ingresses[r.ingress].retryBudget.RecordFirstAttempt(s.now())
	s.attempt(r)
}

// attempt picks an upstream and sends the request to its dispatcher.
func (s *sim) attempt(r *request) {
	in, k := s.ingresses[r.ingress], &s.d.Kinds[r.kind]
	r.attempts++
	s.stats.attempted(s.elapsed, r)
	req := balance.Request{
		Region: fmt.Sprint(s.d.region(r.ingress)), FailureDomain: fmt.Sprint(s.d.domain(r.ingress)),
		Level: r.kind, Idempotent: k.Idempotent, Tried: r.tried,
		CrossAllowed: in.byteBudget.WouldAllow(s.now(), r.kind, k.Bytes),
	}
	for w := range in.candidates {
		in.candidates[w].Queued = in.queuedAhead[w][r.kind]
	}
	w, ok := balance.Pick(s.policyRand, req, in.candidates)
	if !ok {
		s.attemptEnded(r, outcome.HasNotRun(outcome.ReasonNoUpstream))
		return
	}
	r.tried = append(r.tried, upstreamID(w))
	if in.thresholds[w].Refuses(r.kind, s.callers[r.caller].hash) {
		s.attemptEnded(r, outcome.HasNotRun(outcome.ReasonShed))
		return
	}
	if s.d.region(w) != s.d.region(r.ingress) {
		in.byteBudget.Allow(s.now(), r.kind, k.Bytes)
		s.stats.CrossRegion++
	}
	in.candidates[w].InUse++
	s.after(s.d.oneWay(r.ingress, w), func() { s.workers[w].offer(r) })
}

// attemptEnded handles the end of an attempt at the ingress: it records the answer, retries if the
// retry policy allows it, or records the failure.
func (s *sim) attemptEnded(r *request, e outcome.Ended) {
	if e.Outcome == outcome.Answered {
		s.stats.answered(s.elapsed, r)
		return
	}
	k := &s.d.Kinds[r.kind]
	refusal := retry.Decide(s.now(), &s.ingresses[r.ingress].retryBudget, retry.RequestState{
		Ended: e, Idempotent: k.Idempotent, Attempts: r.attempts,
		Deadline: epoch.Add(r.deadline), Expected: k.ServiceTime,
	})
	if refusal == retry.Allowed {
		s.attempt(r)
		return
	}
	s.stats.failed(s.elapsed, r, e)
}
