package dispatch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

const (
	// claimGrace is how much longer than its deadline an attempt may hold its
	// claim, to record its outcome. After that the claim counts as abandoned.
	claimGrace = 10 * time.Second
	// finishTimeout bounds the recording of an outcome, which goes on after
	// the answer has been passed to the caller.
	finishTimeout = 5 * time.Second
)

// claim is the claim of one attempt on its key. A nil claim stands for a
// request that needs none.
type claim struct {
	d       *Dispatcher
	key     idempotency.Key
	attempt idempotency.AttemptID
	result  chan claimAnswer
	once    sync.Once
}

type claimAnswer struct {
	result idempotency.ClaimResult
	err    error
}

// KeyOf returns the key that an attempt has to claim.
func KeyOf(head *wire.AttemptHead) idempotency.Key {
	return idempotency.Key{Service: head.Service, Kind: head.Kind, Caller: head.Caller, Value: head.Key}
}

// ClaimID returns the id under which a dispatcher of the given lifetime claims
// for an attempt. The claim of a process that has ended is not granted again to
// its successor, which does not know whether the attempt has run.
func ClaimID(attempt string, lifetime uint64) idempotency.AttemptID {
	return idempotency.AttemptID(attempt + "@" + strconv.FormatUint(lifetime, 36))
}

// beginClaim asks for the claim while the rest of the request is on its way.
// It returns nil if the request needs no claim.
func (d *Dispatcher) beginClaim(a *attempt, head *wire.AttemptHead) *claim {
	if head.Idempotent || head.Key == "" {
		return nil
	}
	c := &claim{d: d, key: KeyOf(head), attempt: ClaimID(head.AttemptID, d.lifetime), result: make(chan claimAnswer, 1)}
	if d.cfg.Claims == nil {
		c.result <- claimAnswer{err: idempotency.ErrNoGroup}
		return c
	}
	deadline, _ := a.ctx.Deadline()
	go func() {
		r, err := d.cfg.Claims.Claim(a.ctx, c.key, c.attempt, deadline.Add(claimGrace))
		c.result <- claimAnswer{r, err}
	}()
	return c
}

// wait returns true once the claim is granted. Otherwise it returns how the
// attempt ended, with the record of an earlier run if there is one.
func (c *claim) wait(ctx context.Context) (*idempotency.Record, outcome.Ended, bool) {
	if c == nil {
		return nil, outcome.Ended{}, true
	}
	var answer claimAnswer
	select {
	case answer = <-c.result:
	case <-ctx.Done():
		c.abandon()
		return nil, outcome.HasNotRun(outcome.ReasonClaimFailed), false
	}
	r := answer.result
	switch {
	case answer.err != nil:
		// The claim may have been granted although its answer was lost.
		c.release()
		return nil, outcome.HasNotRun(outcome.ReasonClaimFailed), false
	case r.Status == idempotency.StatusGranted:
		return nil, outcome.Ended{}, true
	case r.Status == idempotency.StatusFinished && r.Ended().Outcome == outcome.Answered:
		return r.Record, r.Ended(), false
	default:
		return nil, r.Ended(), false
	}
}

// abandon frees the key if it was or will be granted. The attempt has not run.
func (c *claim) abandon() {
	if c == nil {
		return
	}
	c.once.Do(func() {
		go func() {
			answer := <-c.result
			if answer.err != nil || answer.result.Status == idempotency.StatusGranted {
				c.release()
			}
		}()
	})
}

func (c *claim) release() {
	go c.record(idempotency.Record{Outcome: outcome.NotRun, Reason: outcome.ReasonCanceled})
}

// finish records how a claimed attempt ended.
func (c *claim) finish(e outcome.Ended, a *attempt) {
	if c == nil {
		return
	}
	r := idempotency.Record{Outcome: e.Outcome, Reason: e.Reason}
	if e.Outcome == outcome.Answered {
		a.mu.Lock()
		r.Status, r.Headers, r.Body, r.AnswerGone = a.head.Status, a.head.Headers, a.body, a.bodyGone
		a.mu.Unlock()
	}
	if len(r.Body) > idempotency.MaxAnswer {
		r.AnswerGone = true
	}
	if r.AnswerGone {
		r.Headers, r.Body = nil, nil
	}
	go c.record(r)
}

func (c *claim) record(r idempotency.Record) {
	if c.d.cfg.Claims == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := c.d.cfg.Claims.Finish(ctx, c.key, c.attempt, r); err != nil {
		c.d.log.Debug("outcome of a claimed request not recorded", "attempt", c.attempt, "fault", err)
	}
}

// writeRecord answers with the record of an earlier run.
func (w *answerWriter) writeRecord(r *idempotency.Record) {
	w.head(&wire.AnswerHead{RequestID: w.requestID, Status: r.Status, Headers: r.Headers, BodyBytes: int64(len(r.Body))})
	w.last(r.Body)
}
