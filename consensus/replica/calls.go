package replica

import (
	"context"
	"fmt"

	"github.com/godwithub/godwithub/consensus"
)

// Propose proposes command and waits until it is committed and applied. It returns the state
// machine's result. It returns an *OutcomeUnknownError if the command may or may not be committed.
// Any other error, such as a *NotLeaderError, means that the command was not proposed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, result: make(chan proposalResult, 1)}
	if err := enqueue(ctx, r, r.proposals, p); err != nil {
		return nil, err
	}
	select {
	case res := <-p.result:
		return res.value, res.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{ctx.Err()}
	case <-r.done:
	}
	res := resultAfterStop(p.result, proposalResult{err: &OutcomeUnknownError{ErrStopped}})
	return res.value, res.err
}

// ReadBarrier waits until a quorum has confirmed this replica as leader and the replica has applied
// all entries that were acknowledged when ReadBarrier was called. Reading the state machine afterwards
// is linearizable. It returns a *NotLeaderError if the replica is not the leader.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	return r.read(ctx, &readRequest{result: make(chan error, 1)})
}

// LeadershipBarrier waits until a quorum has confirmed this replica as leader, whose log then holds the latest membership. It
// returns a *NotLeaderError if the replica is not the leader.
func (r *Replica) LeadershipBarrier(ctx context.Context) error {
	return r.read(ctx, &readRequest{leadershipOnly: true, result: make(chan error, 1)})
}

func (r *Replica) read(ctx context.Context, rd *readRequest) error {
	if err := enqueue(ctx, r, r.reads, rd); err != nil {
		return err
	}
	select {
	case err := <-rd.result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("replica: read not confirmed: %w", ctx.Err())
	case <-r.done:
		return ErrStopped
	}
}

// ChangeMembership proposes a membership change and waits until it is committed. While an earlier
// change is not committed, or a learner to promote has not caught up, it retries until ctx ends. A
// change that is already in effect succeeds.
func (r *Replica) ChangeMembership(ctx context.Context, c consensus.MemberChange) error {
	ch := &changeRequest{ctx: ctx, change: c, result: make(chan error, 1)}
	if err := enqueue(ctx, r, r.changes, ch); err != nil {
		return err
	}
	select {
	case err := <-ch.result:
		return err
	case <-ctx.Done():
		if cause := ch.blockedBy.Load(); cause != nil {
			return fmt.Errorf("replica: %s %s: %w: %w", c.Kind, c.ID, *cause, ctx.Err())
		}
		return &OutcomeUnknownError{ctx.Err()}
	case <-r.done:
		return resultAfterStop(ch.result, error(&OutcomeUnknownError{ErrStopped}))
	}
}

// resultAfterStop returns the result of a request once the replica has stopped, or fallback if the
// request was queued too late to get a result.
func resultAfterStop[T any](result <-chan T, fallback T) T {
	select {
	case v := <-result:
		return v
	default:
		return fallback
	}
}

// enqueue adds a request to a queue of the replica. It blocks while the queue is full.
func enqueue[T any](ctx context.Context, r *Replica, queue chan<- T, item T) error {
	select {
	case <-r.done:
		return ErrStopped
	default:
	}
	select {
	case queue <- item:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("replica: not taken in: %w", ctx.Err())
	}
}
