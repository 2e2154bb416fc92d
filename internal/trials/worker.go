package trials

import (
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/outcome"
)

// worker is an upstream with its dispatcher.
type worker struct {
	s      *sim
	number int
	queue  *admission.Queue
	inUse  int
	queued map[uint64]*request
	noise  *noise // nil: no disturbances
}

func newWorker(s *sim, number int) *worker {
	w := &worker{s: s, number: number, queued: map[uint64]*request{}}
	if s.tr.Noise {
		w.noise = newNoise(s.traceRand, s.tr.Duration)
	}
	w.queue = admission.New(admission.Options{Slots: s.d.Slots})
	var shares []admission.RankShare
	for level, share := range s.d.Shares {
		shares = append(shares, admission.RankShare{Level: level, Share: share})
	}
	w.queue.SetRanks(shares)
	return w
}

func (w *worker) offer(r *request) {
	w.s.nextID++
	returnLatency := w.s.d.oneWay(w.number, r.ingress)
	t := admission.Ticket{
		ID: w.s.nextID, Level: r.kind, Caller: w.s.callers[r.caller].name, Weight: 1,
		Deadline: epoch.Add(r.deadline - returnLatency), Retry: r.attempts > 1,
		Expected: w.s.d.Kinds[r.kind].ServiceTime,
	}
	ok, reason, evicted := w.queue.Offer(w.s.now(), t)
	for _, e := range evicted {
		w.refuse(e.ID, outcome.ReasonShed)
	}
	if !ok {
		w.respond(r, outcome.HasNotRun(reason))
		return
	}
	w.queued[t.ID] = r
	w.startQueued()
}

func (w *worker) refuse(id uint64, reason outcome.Reason) {
	r := w.queued[id]
	delete(w.queued, id)
	w.respond(r, outcome.HasNotRun(reason))
}

// startQueued starts queued requests while slots are free.
func (w *worker) startQueued() {
	for w.inUse < w.s.d.Slots {
		t, expired, ok := w.queue.Next(w.s.now())
		for _, e := range expired {
			w.refuse(e.ID, e.ExpiryReason(w.s.now()))
		}
		if !ok {
			return
		}
		r := w.queued[t.ID]
		delete(w.queued, t.ID)
		w.start(t, r)
	}
}

func (w *worker) start(t admission.Ticket, r *request) {
	w.inUse++
	if w.number == faultyWorker && w.s.elapsed >= w.s.stats.measureFrom {
		w.s.stats.AttemptsAtFaulty++
	}
	f := Fault{}
	if w.s.tr.FaultOf != nil {
		f = w.s.tr.FaultOf(w.s.elapsed, w.number, r.kind)
	}
	mean := float64(w.s.d.Kinds[r.kind].ServiceTime) * max(f.Slowness, 1)
	serviceTime := time.Duration(mean * r.serviceFactor)
	failures := f.FailureRate
	if w.noise != nil {
		// The digits of failureDraw after the third serve as a second random number.
		x := r.failureDraw * 1000
		serviceTime = w.noise.serviceTime(w.s.elapsed, serviceTime, x-float64(int(x)), r.failureDraw)
		failures += noiseFailureRate
	}
	result := health.Succeeded
	// Multiplying by the number of attempts gives each attempt a draw of its own.
	if draw := r.failureDraw * float64(r.attempts); draw-float64(int(draw)) < failures {
		result = health.Failed
		serviceTime /= 4
	}
	if left := t.Deadline.Sub(w.s.now()); serviceTime > left {
		result, serviceTime = health.TimedOut, left
	}
	w.s.after(serviceTime, func() { w.finish(t, r, result, serviceTime) })
}

func (w *worker) finish(t admission.Ticket, r *request, result health.Result, serviceTime time.Duration) {
	w.inUse--
	w.queue.Done(w.s.now(), t, serviceTime)
	w.s.stats.served(w.s.elapsed, r, serviceTime)
	w.s.control.observe(w.number, r.kind, result, serviceTime)
	switch result {
	case health.Succeeded:
		w.respond(r, outcome.Ended{Outcome: outcome.Answered})
	case health.Failed:
		w.respond(r, outcome.MayHaveRun(outcome.ReasonLostUpstream))
	default:
		w.respond(r, outcome.MayHaveRun(outcome.ReasonLateAnswer))
	}
	w.startQueued()
}

// respond sends the result of an attempt to its ingress, together with the worker's load.
func (w *worker) respond(r *request, e outcome.Ended) {
	inUse, threshold := w.inUse, w.queue.Threshold(w.s.now())
	ahead := make([]int, len(w.s.d.Kinds))
	for level := range ahead {
		ahead[level] = w.queue.TicketsAhead(w.s.now(), level)
	}
	w.s.after(w.s.d.oneWay(w.number, r.ingress), func() {
		in := w.s.ingresses[r.ingress]
		in.candidates[w.number].InUse = inUse
		in.queuedAhead[w.number] = ahead
		in.thresholds[w.number] = threshold
		w.s.attemptEnded(r, e)
	})
}
