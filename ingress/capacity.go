package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/godwithub/godwithub/capacity"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// roomGuard refuses new requests whose calls would probably find no room; see capacity.Admission.
type roomGuard struct {
	mu        sync.Mutex
	admission capacity.Admission
}

// checkRoom refuses a new request whose calls would probably find no room. Calls are never refused: the
// work of their parents would be lost.
func (in *Ingress) checkRoom(rq *request, now time.Time) error {
	if !in.cfg.RefuseForRoom || rq.parent != nil {
		return nil
	}
	in.room.mu.Lock()
	d := in.room.admission.Decide(now, rq.kind.Name, rand.Float64(), rand.Float64())
	in.room.mu.Unlock()
	if d.Admitted {
		return nil
	}
	in.stats.noRoom.Add(rq.kind.Name+"/"+d.Service, 1)
	return noRoom(rq, d)
}

func noRoom(rq *request, d capacity.Decision) *refusal {
	return &refusal{
		reason:     outcome.ReasonNoRoom,
		message:    "calls of kind " + rq.kind.Name + " find no room at service " + d.Service,
		retryAfter: d.RetryAfter,
	}
}

// recordRoom records what the dispatcher of a run has reported. end may be nil.
func (in *Ingress) recordRoom(rq *request, e outcome.Ended, end *wire.AnswerEnd, now time.Time) {
	if !in.cfg.RefuseForRoom || end == nil || e.Outcome == outcome.NotRun {
		return
	}
	in.room.mu.Lock()
	defer in.room.mu.Unlock()
	in.room.admission.Report(now, rq.kind.Name, end.NoRoom)
}

// admittedShares returns the kinds of which requests are refused for want of room, with the share that
// is admitted.
func (in *Ingress) admittedShares() map[string]float64 {
	in.room.mu.Lock()
	defer in.room.mu.Unlock()
	return in.room.admission.AdmittedShares(time.Now())
}

// spreadRetryAfter returns when the caller of a request that ended with e may return, or 0 for the
// default. The callers of requests that were refused for want of room would otherwise return all at once.
func spreadRetryAfter(e outcome.Ended) time.Duration {
	if !refusedForCapacity(e) {
		return 0
	}
	return jitter(defaultRetryAfter)
}

// jitter returns a random duration from a half to one and a half times the mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// refusedForCapacity reports whether a request that ended with e has not run because its service is short of
// capacity.
func refusedForCapacity(e outcome.Ended) bool {
	if e.Outcome != outcome.NotRun {
		return false
	}
	switch e.Reason {
	case outcome.ReasonQueueLong, outcome.ReasonShed, outcome.ReasonBusy, outcome.ReasonLimited, outcome.ReasonUpstreamShed, outcome.ReasonDeadline, outcome.ReasonNoRoom:
		return true
	}
	return false
}
