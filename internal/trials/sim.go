package trials

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
)

// epoch is the start of the fake clock.
var epoch = time.Unix(1_700_000_000, 0)

// event is something that happens at a time of the fake clock.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim runs one trace under one method.
type sim struct {
	d       *Deployment
	tr      *Trace
	at      time.Duration
	events  eventHeap
	order   uint64
	arrival *rand.Rand // arrivals and costs, equal for all methods
	choice  *rand.Rand // choices of the policy

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

// ingress is what one node knows and spends.
type ingress struct {
	candidates []balance.Candidate
	thresholds []admission.Threshold
	ahead      [][]int // by worker and level
	budget     retry.Budget
	bytes      *balance.ByteBudget
}

// request is one request with its attempts.
type request struct {
	kind, ingress int
	caller        int
	deadline      time.Duration
	cost          float64 // factor of the service time
	luck          float64 // fails if below the share of failures
	attempts      int
	tried         []fleet.UpstreamID
}

// newSim prepares a run. With an empty method nothing is ever ejected.
func newSim(d *Deployment, tr *Trace, method string, seed uint64) *sim {
	s := &sim{
		d: d, tr: tr,
		arrival: rand.New(rand.NewPCG(seed, 1)),
		choice:  rand.New(rand.NewPCG(seed, 2)),
		stats:   newStats(d),
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
	for k, part := range tr.parts(d) {
		if part > 0 {
			s.scheduleArrival(k, d.rate(k, part))
		}
	}
	return s
}

func (s *sim) newIngress() *ingress {
	in := &ingress{
		candidates: make([]balance.Candidate, s.d.Workers),
		thresholds: make([]admission.Threshold, s.d.Workers),
		ahead:      make([][]int, s.d.Workers),
		bytes:      balance.NewByteBudget(balance.DefaultByteOptions(s.d.Workers / 2)),
	}
	for w := range s.d.Workers {
		in.candidates[w] = balance.Candidate{
			Upstream: upstreamID(w), Slots: s.d.Slots, Weight: 1,
			Region: fmt.Sprint(s.d.region(w)), FailureDomain: fmt.Sprint(s.d.domain(w)),
		}
		in.thresholds[w] = admission.AdmitAll()
		in.ahead[w] = make([]int, len(s.d.Kinds))
	}
	return in
}

func (s *sim) now() time.Time { return epoch.Add(s.at) }

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{s.at + d, s.order, do})
}

// run carries out the whole trace.
func (s *sim) run() *Stats {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > s.tr.Duration {
			break
		}
		s.at = e.at
		s.stats.Events++
		e.do()
	}
	return &s.stats
}

func (s *sim) scheduleArrival(kind int, perSecond float64) {
	gap := time.Duration(s.arrival.ExpFloat64() / perSecond * float64(time.Second))
	s.after(gap, func() {
		s.arrive(kind)
		s.scheduleArrival(kind, perSecond)
	})
}

func (s *sim) arrive(kind int) {
	k := &s.d.Kinds[kind]
	r := &request{
		kind:     kind,
		ingress:  s.arrival.IntN(s.d.Workers),
		caller:   int(float64(s.d.Callers) * math.Pow(s.arrival.Float64(), 2)),
		deadline: s.at + k.Deadline,
		cost:     math.Exp(sigma*s.arrival.NormFloat64() - sigma*sigma/2),
		luck:     s.arrival.Float64(),
	}
	s.stats.arrived(s.at, r)
	s.ingresses[r.ingress].budget.First(s.now())
	s.attempt(r)
}

// attempt chooses an upstream and sends the request to its dispatcher.
func (s *sim) attempt(r *request) {
	in, k := s.ingresses[r.ingress], &s.d.Kinds[r.kind]
	r.attempts++
	s.stats.attempted(s.at, r)
	req := balance.Request{
		Region: fmt.Sprint(s.d.region(r.ingress)), FailureDomain: fmt.Sprint(s.d.domain(r.ingress)),
		Level: r.kind, Idempotent: k.Idempotent, Tried: r.tried,
		CrossAllowed: in.bytes.Enough(s.now(), r.kind, k.Bytes),
	}
	for w := range in.candidates {
		in.candidates[w].Queued = in.ahead[w][r.kind]
	}
	w, ok := balance.Pick(s.choice, req, in.candidates)
	if !ok {
		s.ended(r, outcome.HasNotRun(outcome.ReasonNoUpstream))
		return
	}
	r.tried = append(r.tried, upstreamID(w))
	if in.thresholds[w].Refuses(r.kind, s.callers[r.caller].hash) {
		s.ended(r, outcome.HasNotRun(outcome.ReasonShed))
		return
	}
	if s.d.region(w) != s.d.region(r.ingress) {
		in.bytes.Allow(s.now(), r.kind, k.Bytes)
		s.stats.Crossed++
	}
	in.candidates[w].InUse++
	s.after(s.d.oneWay(r.ingress, w), func() { s.workers[w].offer(r) })
}

// ended decides what follows an attempt that has ended at the ingress.
func (s *sim) ended(r *request, e outcome.Ended) {
	if e.Outcome == outcome.Answered {
		s.stats.answered(s.at, r)
		return
	}
	k := &s.d.Kinds[r.kind]
	refusal := retry.Decide(s.now(), &s.ingresses[r.ingress].budget, retry.Attempt{
		Ended: e, Idempotent: k.Idempotent, Attempts: r.attempts,
		Deadline: epoch.Add(r.deadline), Expected: k.Service,
	})
	if refusal == retry.Allowed {
		s.attempt(r)
		return
	}
	s.stats.failed(s.at, r, e)
}
