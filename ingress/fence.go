package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/outcome"
)

// Fence keeps attempts from running whose dispatcher was lost.
type Fence interface {
	// Fence makes sure that the attempt will not run the request under key,
	// unless it holds the claim already. The first writer wins.
	Fence(ctx context.Context, group, key, attempt string) (FenceResult, error)
}

// FenceResult is the answer to a fence.
type FenceResult struct {
	// Fenced says that the attempt has not run and will not run.
	Fenced bool
	// Record is set if the attempt held the claim and has finished.
	Record *dispatch.Record
}

// fencePoll is the time between questions for the record of an attempt that
// holds its claim at a dispatcher that was lost.
const fencePoll = 100 * time.Millisecond

// fence settles an attempt at a keyed request whose dispatcher was lost. If
// the claim is held, the dispatcher may still be at work, and its record is
// awaited up to the deadline.
func (s *serving) fence(ctx context.Context, a *attempt, e outcome.Ended) outcome.Ended {
	group := s.rq.service.Group
	lost := e == outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	if !lost || s.rq.key == "" || s.rq.kind.Idempotent || group == "" || s.in.cfg.Fence == nil || s.out.begun {
		return e
	}
	tick := time.NewTicker(fencePoll)
	defer tick.Stop()
	for {
		r, err := s.in.cfg.Fence.Fence(ctx, group, s.rq.key, a.head.AttemptID)
		switch {
		case err == nil && r.Fenced:
			return outcome.HasNotRun(outcome.ReasonPathDown)
		case err == nil && r.Record != nil:
			return s.out.fromRecord(r.Record, s.rq)
		}
		select {
		case <-ctx.Done():
			return e
		case <-tick.C:
		}
	}
}

// fromRecord takes the answer from the record of a run.
func (o *answer) fromRecord(r *dispatch.Record, rq *request) outcome.Ended {
	if r.Ended.Outcome != outcome.Answered {
		return r.Ended
	}
	if r.BodyGone || r.Head == nil {
		return outcome.MayHaveRun(outcome.ReasonAnswerGone)
	}
	head := *r.Head
	head.RequestID = rq.id
	o.head, o.body, o.received = &head, append(o.body[:0], r.Body...), int64(len(r.Body))
	if o.head.Status == 0 {
		o.head.Status = http.StatusOK
	}
	return r.Ended
}
