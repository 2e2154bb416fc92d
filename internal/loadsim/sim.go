// Package loadsim plays loads on simulated upstreams with slots and queues, whose runs make calls that hold
// the slots of their parents. It compares the order of package admission with simple ones by what callers
// get. Time is simulated and all random numbers are seeded.
package loadsim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/capacity"
	"github.com/godwithub/godwithub/internal/eventqueue"
)

// start is time 0 of each play.
var start = time.Unix(1_700_000_000, 0)

// job is a request or a call on its way.
type job struct {
	kind       *kindSpec
	root       *job
	parent     *job
	caller     string
	began      time.Time
	deadline   time.Time
	completed  int
	attempts   int
	factor     float64 // of the work
	makesCalls bool
	spent      time.Duration // slot time; of a root, along its tree
	startedAt  time.Time     // of a run that goes on
	resends    int
	// faulted says that a failing upstream has failed the last attempt.
	faulted bool
	finish  func(result)
}

// result says how a job ended.
type result int

const (
	served result = iota
	refused
	failed // after work
)

// upstream is a simulated upstream with its queue.
type upstream struct {
	service     string
	number      int
	slots       int
	queue       order
	inUse       int
	waiting     map[uint64]*job
	avoidUntil  time.Time
	threshold   admission.Threshold
	thresholdAt time.Time
}

// sim simulates a situation on a mix. Time 0 is start.
type sim struct {
	situation      *situation
	knowsCalls     bool // tickets say what is known of calls and work
	refusesForRoom bool // the ingress refuses requests whose calls would find no room
	// admissionRandom is for the decisions of admission alone, so that the others are the same without them.
	random, admissionRandom *rand.Rand
	now                     time.Time
	events                  eventqueue.Queue
	nextID                  uint64
	upstreams               map[string][]*upstream // by service
	model                   capacity.Model
	admission               capacity.Admission
	tally                   tally
}

// after schedules an action.
func (s *sim) after(d time.Duration, do func()) {
	s.events.Push(s.now.Add(d).Sub(start), do)
}

const (
	// oneWay is the latency between an ingress and a dispatcher.
	oneWay = time.Millisecond
	// candidates is how many random upstreams an ingress compares for an attempt.
	candidates = 4
	// avoidPenalty exceeds the work at any upstream, so that avoided ones are chosen last.
	avoidPenalty = 1000
	// avoidTime is how long ingresses avoid an upstream after a failed run.
	avoidTime = time.Second
	// thresholdInterval is how often ingresses learn the admission threshold of an upstream.
	thresholdInterval = 100 * time.Millisecond
	// failureShare is the share of runs that a failing upstream fails, and failureTime when it does.
	failureShare = 0.9
	failureTime  = 5 * time.Millisecond
	// observeInterval is the time between samples of idle slots.
	observeInterval = 10 * time.Millisecond
	// idleArrivalInterval is how often a load of zero is looked at again.
	idleArrivalInterval = 100 * time.Millisecond
	// maxResends is how often a caller resends a request that was not served.
	maxResends = 2
	// maxAttempts bounds the attempts at an idempotent request or call.
	maxAttempts = 2
)

// play simulates a situation on a mix with an order, and returns what callers got after the warm-up.
func play(m *mix, s *situation, o namedOrder) tally {
	x := &sim{
		situation: s, knowsCalls: o.knowsCalls, refusesForRoom: o.refusesForRoom,
		random: rand.New(rand.NewPCG(1, 2+s.seed)), admissionRandom: rand.New(rand.NewPCG(5, 6+s.seed)),
		now: start, upstreams: map[string][]*upstream{}, tally: newTally(),
	}
	for name, spec := range m.services {
		for i := range spec.upstreams {
			x.upstreams[name] = append(x.upstreams[name], &upstream{service: name, number: i, slots: spec.slots,
				queue: o.new(spec.slots), waiting: map[uint64]*job{}, threshold: admission.AdmitAll()})
		}
	}
	for i, k := range m.kinds {
		// The arrivals are the same with all orders.
		x.arrive(k, "usual", rand.New(rand.NewPCG(uint64(i), 1+s.seed)), func(at time.Duration) float64 { return s.load(at, k) })
		if s.flood > 0 {
			x.arrive(k, "flood", rand.New(rand.NewPCG(uint64(i), 2+s.seed)), func(time.Duration) float64 { return s.flood })
		}
	}
	x.observe()
	for {
		at, do, ok := x.events.Pop()
		if !ok || at >= m.playTime {
			return x.tally
		}
		x.now = start.Add(at)
		do()
	}
}

// arrive schedules the next request of a kind.
func (s *sim) arrive(k *kindSpec, caller string, r *rand.Rand, load func(time.Duration) float64) {
	rate := k.perSecond * load(s.now.Sub(start))
	if rate <= 0 {
		s.after(idleArrivalInterval, func() { s.arrive(k, caller, r, load) })
		return
	}
	s.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), func() {
		s.request(&job{kind: k, caller: caller, factor: workFactor(r), makesCalls: r.Float64() < k.callShare})
		s.arrive(k, caller, r, load)
	})
}

// workFactor draws a factor of the mean work.
func workFactor(r *rand.Rand) float64 { return 0.7 + 0.6*r.Float64() }

// request begins a request of a caller.
func (s *sim) request(j *job) {
	j.root, j.began, j.deadline = j, s.now, s.now.Add(j.kind.deadline)
	j.finish = func(r result) {
		s.tally.ended(s.now, j, r)
		if r != served && s.situation.resend && j.resends < maxResends {
			s.request(&job{kind: j.kind, caller: j.caller, factor: j.factor, makesCalls: j.makesCalls, resends: j.resends + 1})
		}
	}
	if s.refusesForRoom && !s.admission.Decide(s.now, j.kind.name, s.admissionRandom.Float64(), s.admissionRandom.Float64()).Admitted {
		s.end(j, refused)
		return
	}
	s.send(j)
}

// send makes an attempt at the best of some random upstreams, as the ingress does: at one with a free slot, or
// else in the shortest queue.
func (s *sim) send(j *job) {
	j.attempts++
	all := s.upstreams[j.kind.service]
	var best *upstream
	for range candidates {
		u := all[s.random.IntN(len(all))]
		if best == nil || s.rank(u) < s.rank(best) {
			best = u
		}
	}
	s.after(oneWay, func() { s.offer(best, j, true) })
}

// rank orders upstreams for an attempt, the lowest first.
func (s *sim) rank(u *upstream) int {
	rank := u.inUse + u.queue.Len()
	if s.now.Before(u.avoidUntil) {
		rank += avoidPenalty
	}
	return rank
}

// offer offers a job to the queue of an upstream. first says that another one may be asked.
func (s *sim) offer(u *upstream, j *job, first bool) {
	if s.now.Sub(u.thresholdAt) > thresholdInterval {
		u.threshold, u.thresholdAt = u.queue.Threshold(s.now), s.now
	}
	if (!s.knowsCalls || j.parent == nil) && u.threshold.Refuses(j.kind.level, s.random.Uint64()) {
		s.end(j, refused)
		return
	}
	s.nextID++
	t := s.ticket(j)
	u.waiting[t.ID] = j
	ok, evicted := u.queue.Offer(s.now, t)
	s.refuse(u, evicted)
	if ok {
		s.grant(u)
		return
	}
	delete(u.waiting, t.ID)
	if first {
		// Another upstream may have a free slot.
		i := slices.IndexFunc(s.upstreams[u.service], func(o *upstream) bool { return o.inUse < o.slots && !s.now.Before(o.avoidUntil) })
		if i >= 0 {
			s.after(2*oneWay, func() { s.offer(s.upstreams[u.service][i], j, false) })
			return
		}
	}
	s.end(j, refused)
}

// ticket returns the ticket of a job.
func (s *sim) ticket(j *job) admission.Ticket {
	t := admission.Ticket{ID: s.nextID, Level: j.kind.level, Caller: j.caller, Deadline: j.deadline, Retry: j.attempts > 1}
	if !s.knowsCalls {
		return t
	}
	w := s.model.Work(j.kind.name)
	t.Expected = w.Mean()
	if p := j.parent; p != nil {
		t.Call, t.CompletedCalls, t.Level = true, p.completed, min(t.Level, p.kind.level)
		t.Deadline = slices.MinFunc([]time.Time{j.deadline, p.deadline}, time.Time.Compare)
		loss := capacity.Request{Level: t.Level, UntilDeadline: t.Deadline.Sub(s.now), Done: s.now.Sub(p.startedAt), Needed: t.Expected}
		t.Loss = loss.Loss()
	}
	return t
}

// refuse ends the jobs of tickets that the queue of an upstream has refused.
func (s *sim) refuse(u *upstream, tickets []admission.Ticket) {
	for _, t := range tickets {
		j := u.waiting[t.ID]
		delete(u.waiting, t.ID)
		s.end(j, refused)
	}
}

// end ends a job after the latency of its answer. A failed one that is idempotent is tried once more.
func (s *sim) end(j *job, r result) {
	s.after(oneWay, func() {
		if r == failed && j.kind.idempotent && j.attempts < maxAttempts && s.now.Before(j.deadline) {
			s.send(j)
			return
		}
		s.tally.answered(s.now, j, r)
		j.finish(r)
	})
}

// grant runs queued jobs while an upstream has free slots.
func (s *sim) grant(u *upstream) {
	for u.inUse < u.slots {
		t, expired, ok := u.queue.Next(s.now)
		s.refuse(u, expired)
		if !ok {
			return
		}
		j := u.waiting[t.ID]
		delete(u.waiting, t.ID)
		u.inUse++
		s.run(u, t, j)
	}
}

// run runs a job in a slot of an upstream.
func (s *sim) run(u *upstream, t admission.Ticket, j *job) {
	at := s.now.Sub(start)
	j.startedAt, j.faulted = s.now, false
	work := time.Duration(float64(j.kind.work) * j.factor)
	if s.situation.slow != nil {
		work = time.Duration(float64(work) * s.situation.slow(at, u.number))
	}
	if s.situation.failing != nil && s.situation.failing(at, u.number) && s.random.Float64() < failureShare {
		u.avoidUntil = s.now.Add(avoidTime)
		j.faulted = true
		s.after(failureTime, func() { s.release(u, t, j, failed, false) })
		return
	}
	calls := 0
	if j.makesCalls {
		calls = j.kind.calls
	}
	s.after(work, func() { s.makeCalls(u, t, j, calls, calls) })
}

// makeCalls makes the remaining calls of a run, or ends it.
func (s *sim) makeCalls(u *upstream, t admission.Ticket, j *job, total, left int) {
	if left == 0 || s.now.After(j.deadline) {
		r := served
		if s.now.After(j.deadline) {
			r = failed
		}
		s.record(j, r == failed, false, total)
		s.release(u, t, j, r, true)
		return
	}
	atOnce, open, ok, noRoom := 1, 0, true, false
	if j.kind.parallel {
		atOnce = left
	}
	for range atOnce {
		open++
		c := &job{kind: j.kind.call, root: j.root, parent: j, caller: "upstream", factor: workFactor(s.random), began: s.now, deadline: s.now.Add(j.kind.call.deadline)}
		c.finish = func(r result) {
			open--
			noRoom = noRoom || r == refused
			if ok = ok && r == served; r == served {
				j.completed++
			}
			switch {
			case open > 0:
			case ok:
				s.makeCalls(u, t, j, total, left-atOnce)
			default:
				s.record(j, false, noRoom, total-left+atOnce)
				s.release(u, t, j, failed, false)
			}
		}
		s.send(c)
	}
}

// record records a run that did its work. noRoom says that a call of it was refused.
func (s *sim) record(j *job, cut, noRoom bool, calls int) {
	run := capacity.Run{Kind: j.kind.name, SlotTime: s.now.Sub(j.startedAt), Cut: cut, CallFailed: noRoom}
	if calls > 0 {
		run.Calls = map[string]int{j.kind.call.service: calls}
	}
	if noRoom {
		run.NoRoom = j.kind.call.service
	}
	s.model.Record(s.now, run)
	s.admission.Report(s.now, j.kind.name, s.model.NoRoom(s.now, j.kind.name))
}

// release frees the slot of a run that has ended. didWork says that its slot time tells about its kind.
func (s *sim) release(u *upstream, t admission.Ticket, j *job, r result, didWork bool) {
	slotTime := s.now.Sub(j.startedAt)
	j.root.spent += slotTime
	s.tally.ran(s.now, j, t.Level, slotTime)
	u.inUse--
	if !didWork {
		slotTime = 0
	}
	u.queue.Done(s.now, t, slotTime)
	s.end(j, r)
	s.grant(u)
}

// observe counts idle slots of upstreams whose service has waiting requests, and refuses requests that
// have waited for too long.
func (s *sim) observe() {
	for _, service := range slices.Sorted(maps.Keys(s.upstreams)) {
		all := s.upstreams[service]
		waiting, idle, slots := 0, 0, 0
		for _, u := range all {
			s.refuse(u, u.queue.Expire(s.now))
			s.grant(u)
			waiting += u.queue.Len()
			idle += u.slots - u.inUse
			slots += u.slots
		}
		s.tally.sampled(s.now, min(waiting, idle), slots)
	}
	s.after(observeInterval, s.observe)
}
