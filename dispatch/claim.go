package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// Claims holds idempotency keys. Its calls end with ctx.
type Claims interface {
	// Claim asks for the right to run the request under key in this attempt.
	Claim(ctx context.Context, group, key, attempt string, expires time.Time) (ClaimResult, error)
	// Finish records how the attempt ended. A NotRun outcome frees the key.
	Finish(ctx context.Context, group, key, attempt string, r Record) error
}

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	// Granted says that this attempt, and no other, may run the request.
	Granted bool
	// Ended is how the request ended if not granted: Answered with a record,
	// NotRun if fenced, or Unknown.
	Ended outcome.Ended
	// Record is set if the request has run and its answer was kept.
	Record *Record
}

// Record is what is kept of a request that has run.
type Record struct {
	Ended outcome.Ended    `cbor:"1,keyasint"`
	Head  *wire.AnswerHead `cbor:"2,keyasint,omitempty"`
	Body  []byte           `cbor:"3,keyasint,omitempty"`
	// BodyGone says that the answer was too large to keep.
	BodyGone bool `cbor:"4,keyasint,omitempty"`
}

const (
	// MaxRecordBody is the largest body kept in a record, in bytes.
	MaxRecordBody = 16 << 10
	// claimRetention is how long a key is remembered.
	claimRetention = 24 * time.Hour
	// finishTimeout bounds the recording of an outcome, which goes on after
	// the answer has been passed to the caller.
	finishTimeout = 5 * time.Second
)

func (r *Record) write(w *answerWriter) {
	h := *r.Head
	h.RequestID = w.requestID
	w.head(&h)
	w.last(r.Body)
}

// claim is the claim of one attempt on its key. A nil claim stands for a
// request that needs none.
type claim struct {
	d          *Dispatcher
	group, key string
	attempt    string
	result     chan claimAnswer
	once       sync.Once
}

type claimAnswer struct {
	result ClaimResult
	err    error
}

// beginClaim asks for the claim while the rest of the request is on its way.
// It returns nil if the request needs no claim.
func (d *Dispatcher) beginClaim(a *attempt, head *wire.AttemptHead) *claim {
	if head.Idempotent || head.Key == "" {
		return nil
	}
	c := &claim{d: d, key: head.Key, attempt: head.AttemptID, result: make(chan claimAnswer, 1)}
	if conf := d.cfg.Configuration(); conf != nil && conf.Services[head.Service] != nil {
		c.group = conf.Services[head.Service].Group
	}
	if d.cfg.Claims == nil || c.group == "" {
		c.result <- claimAnswer{result: ClaimResult{Ended: outcome.HasNotRun(outcome.ReasonClaimFailed)}}
		c.group = ""
		return c
	}
	go func() {
		r, err := d.cfg.Claims.Claim(a.ctx, c.group, c.key, c.attempt, time.Now().Add(claimRetention))
		c.result <- claimAnswer{r, err}
	}()
	return c
}

// wait returns true once the claim is granted. Otherwise it returns how the
// attempt ended, with the record of an earlier run if there is one.
func (c *claim) wait(ctx context.Context) (*Record, outcome.Ended, bool) {
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
	case r.Granted:
		return nil, outcome.Ended{}, true
	case r.Record != nil && r.Record.Head != nil && !r.Record.BodyGone:
		return r.Record, r.Ended, false
	default:
		return nil, r.Ended, false
	}
}

// abandon frees the key if it was or will be granted. The attempt has not run.
func (c *claim) abandon() {
	if c == nil || c.group == "" {
		return
	}
	c.once.Do(func() {
		go func() {
			if answer := <-c.result; answer.err != nil || answer.result.Granted {
				c.release()
			}
		}()
	})
}

func (c *claim) release() {
	go c.record(Record{Ended: outcome.HasNotRun(outcome.ReasonCanceled)})
}

// finish records how a claimed attempt ended.
func (c *claim) finish(e outcome.Ended, a *attempt) {
	if c == nil {
		return
	}
	r := Record{Ended: e}
	a.mu.Lock()
	if e.Outcome == outcome.Answered {
		r.Head, r.Body = a.head, a.body
		r.BodyGone = a.bodyGone || len(a.body) > MaxRecordBody
	}
	a.mu.Unlock()
	if r.BodyGone {
		r.Body = nil
	}
	go c.record(r)
}

func (c *claim) record(r Record) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := c.d.cfg.Claims.Finish(ctx, c.group, c.key, c.attempt, r); err != nil {
		c.d.log.Warn("outcome of a claimed request not recorded", "attempt", c.attempt, "fault", err)
	}
}
