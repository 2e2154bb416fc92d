package ingress

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// fencePollInterval is how often an attempt is fenced again while a dispatcher that stopped
// responding still holds its claim.
const fencePollInterval = 100 * time.Millisecond

// fence determines the outcome of an attempt at a request with an idempotency key whose dispatcher
// stopped responding. An attempt that has not claimed the key is fenced: it can no longer claim it
// and run, so it is reported as not run. If the attempt holds the claim, the dispatcher may still be
// running it, and fence waits for its record until the deadline.
func (h *requestHandler) fence(ctx context.Context, a *attempt, e outcome.Ended) outcome.Ended {
	lost := e == outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	if !lost || h.rq.key == "" || h.rq.kind.Idempotent || h.in.cfg.Claims == nil || h.answer.begun {
		return e
	}
	key, id := dispatch.KeyOf(a.head), dispatch.ClaimID(a.head.AttemptID, a.head.Incarnation)
	tick := time.NewTicker(fencePollInterval)
	defer tick.Stop()
	for {
		r, err := h.in.cfg.Claims.Fence(ctx, key, id)
		switch {
		case err != nil:
		case r.Status == idempotency.StatusFenced:
			return outcome.HasNotRun(outcome.ReasonPathDown)
		case r.Status == idempotency.StatusFinished:
			return h.answer.fromRecord(r.Record, h.rq)
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

// fromRecord takes the answer from the idempotency record of a run.
func (a *answer) fromRecord(r *idempotency.Record, rq *request) outcome.Ended {
	e := r.Ended()
	if e.Outcome != outcome.Answered {
		return e
	}
	a.head = &wire.AnswerHead{RequestID: rq.id, Status: r.Status, Headers: r.Headers, BodyBytes: int64(len(r.Body))}
	a.body, a.received = append(a.body[:0], r.Body...), int64(len(r.Body))
	return e
}
