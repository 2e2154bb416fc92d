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
	// claimGrace is how long after its deadline an attempt still holds its claim, to record its
	// outcome. After that the claim counts as abandoned.
	claimGrace = 10 * time.Second
	// recordTimeout bounds the recording of an outcome, which continues after the answer has been
	// sent to the caller.
	recordTimeout = 5 * time.Second
)

// claim is the claim of one attempt on its idempotency key. It is nil for a request that needs no
// claim.
type claim struct {
	dispatcher *Dispatcher
	key        idempotency.Key
	attemptID  idempotency.AttemptID
	reply      chan claimReply
	// granted is set by wait. Only the goroutine that runs the attempt may access it once wait was called.
	granted bool
	once    sync.Once
}

// claimReply is the reply of the idempotency group to a claim.
type claimReply struct {
	result idempotency.ClaimResult
	err    error
}

// KeyOf returns the idempotency key that an attempt has to claim.
func KeyOf(head *wire.AttemptHead) idempotency.Key {
	return idempotency.Key{Service: head.Service, Kind: head.Kind, Caller: head.Caller, Value: head.Key}
}

// ClaimID returns the ID under which the given incarnation of a dispatcher claims the key of an
// attempt. The incarnation is part of the ID so that the claim of an ended process is not granted
// again to its successor, which does not know whether the attempt has run.
func ClaimID(attempt string, incarnation uint64) idempotency.AttemptID {
	return idempotency.AttemptID(attempt + "@" + strconv.FormatUint(incarnation, 36))
}

// beginClaim requests the claim while the rest of the request is still arriving. It returns nil if
// the request needs no claim.
func (d *Dispatcher) beginClaim(a *attempt, head *wire.AttemptHead) *claim {
	if head.Idempotent || head.Key == "" {
		return nil
	}
	c := &claim{dispatcher: d, key: KeyOf(head), attemptID: ClaimID(head.AttemptID, d.incarnation), reply: make(chan claimReply, 1)}
	if d.cfg.Claims == nil {
		c.reply <- claimReply{err: idempotency.ErrNoGroup}
		return c
	}
	deadline, _ := a.ctx.Deadline()
	go func() {
		r, err := d.cfg.Claims.Claim(a.ctx, c.key, c.attemptID, deadline.Add(claimGrace))
		c.reply <- claimReply{r, err}
	}()
	return c
}

// wait waits for the claim and returns true if it is granted. Otherwise it returns how the attempt
// ended, with the recorded answer of an earlier run if there is one.
func (c *claim) wait(ctx context.Context) (*idempotency.Record, outcome.Ended, bool) {
	if c == nil {
		return nil, outcome.Ended{}, true
	}
	var reply claimReply
	select {
	case reply = <-c.reply:
	case <-ctx.Done():
		c.abandon()
		return nil, outcome.HasNotRun(outcome.ReasonClaimFailed), false
	}
	r := reply.result
	switch {
	case reply.err != nil:
		// The claim may have been granted although the reply was lost.
		c.release()
		return nil, outcome.HasNotRun(outcome.ReasonClaimFailed), false
	case r.Status == idempotency.StatusGranted:
		c.granted = true
		return nil, outcome.Ended{}, true
	case r.Status == idempotency.StatusFinished && r.Ended().Outcome == outcome.Answered:
		return r.Record, r.Ended(), false
	default:
		return nil, r.Ended(), false
	}
}

// abandon releases the key if the claim was or will be granted. The attempt has not run.
func (c *claim) abandon() {
	if c == nil {
		return
	}
	c.once.Do(func() {
		if c.granted {
			c.release()
			return
		}
		go func() {
			reply := <-c.reply
			if reply.err != nil || reply.result.Status == idempotency.StatusGranted {
				c.release()
			}
		}()
	})
}

// release frees the key by recording that the attempt has not run.
func (c *claim) release() {
	go c.record(idempotency.Record{Outcome: outcome.NotRun, Reason: outcome.ReasonCanceled})
}

// finish records the outcome of the attempt and, if it was answered, the answer.
func (c *claim) finish(e outcome.Ended, a *attempt) {
	if c == nil {
		return
	}
	r := idempotency.Record{Outcome: e.Outcome, Reason: e.Reason}
	if e.Outcome == outcome.Answered {
		a.mu.Lock()
		r.Status, r.Headers, r.Body, r.AnswerGone = a.head.Status, a.head.Headers, a.body, a.bodyDropped
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
	if c.dispatcher.cfg.Claims == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := c.dispatcher.cfg.Claims.Finish(ctx, c.key, c.attemptID, r); err != nil {
		c.dispatcher.log.Debug("failed to record the outcome of a claimed attempt", "attempt", c.attemptID, "fault", err)
	}
}

// writeRecord writes the recorded answer of an earlier run.
func (w *answerWriter) writeRecord(r *idempotency.Record) error {
	err := w.writeHead(&wire.AnswerHead{RequestID: w.requestID, Status: r.Status, Headers: r.Headers, BodyBytes: int64(len(r.Body))})
	if err == nil {
		w.writeLastBody(r.Body)
	}
	return err
}
