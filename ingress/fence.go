package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// fencePoll is the time between questions for the record of an attempt that
// holds its claim at a dispatcher that was lost.
const fencePoll = 100 * time.Millisecond

// fence settles an attempt at a keyed request whose dispatcher was lost. If
// the claim is held, the dispatcher may still be at work, and its record is
// awaited up to the deadline.
func (s *serving) fence(ctx context.Context, a *attempt, e outcome.Ended) outcome.Ended {
	lost := e == outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	if !lost || s.rq.key == "" || s.rq.kind.Idempotent || s.in.cfg.Claims == nil || s.out.begun {
		return e
	}
	key, id := dispatch.KeyOf(a.head), dispatch.ClaimID(a.head.AttemptID, a.head.Lifetime)
	tick := time.NewTicker(fencePoll)
	defer tick.Stop()
	for {
		r, err := s.in.cfg.Claims.Fence(ctx, key, id)
		switch {
		case err != nil:
		case r.Status == idempotency.StatusFenced:
			return outcome.HasNotRun(outcome.ReasonPathDown)
		case r.Status == idempotency.StatusFinished:
			return s.out.fromRecord(r.Record, s.rq)
		case r.Status != idempotency.StatusHeld:
			return e
		}
		select {
		case <-ctx.Done():
			return e
		case <-tick.C:
		}
	}
}

// fromRecord takes the answer from the record of a run.
func (o *answer) fromRecord(r *idempotency.Record, rq *request) outcome.Ended {
	e := r.Ended()
	if e.Outcome != outcome.Answered {
		return e
	}
	o.head = &wire.AnswerHead{RequestID: rq.id, Status: r.Status, Headers: r.Headers, BodyBytes: int64(len(r.Body))}
	o.body, o.received = append(o.body[:0], r.Body...), int64(len(r.Body))
	if o.head.Status == 0 {
		o.head.Status = http.StatusOK
	}
	return e
}
