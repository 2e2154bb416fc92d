package replica

import (
	"context"
	"fmt"

	"github.com/godwithub/godwithub/consensus"
)

// Propose has command committed and applied, and returns the state machine's
// result. It returns a *NotLeaderError if the command was not proposed, and a
// *UnknownError if it was proposed and may or may not be committed.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, result: make(chan proposed, 1)}
	if err := enqueue(ctx, r, r.proposals, p); err != nil {
		return nil, err
	}
	select {
	case res := <-p.result:
		return res.value, res.err
	case <-ctx.Done():
		return nil, &UnknownError{ctx.Err()}
	case <-r.done:
	}
	res := resultAtEnd(p.result, proposed{err: &UnknownError{ErrStopped}})
	return res.value, res.err
}

// ReadBarrier returns once this replica is confirmed as leader by a majority
// and has applied all that was committed when it was called. What the state
// machine then holds is current. It returns a *NotLeaderError if the replica is
// not the leader.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	rd := &read{result: make(chan error, 1)}
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

// Change has one membership change committed. It waits while an earlier change
// is under way or a learner is catching up, until ctx ends. A change that is
// already in force succeeds.
func (r *Replica) Change(ctx context.Context, c consensus.MemberChange) error {
	ch := &change{ctx: ctx, change: c, result: make(chan error, 1)}
	if err := enqueue(ctx, r, r.changes, ch); err != nil {
		return err
	}
	select {
	case err := <-ch.result:
		return err
	case <-ctx.Done():
		if cause := ch.cause.Load(); cause != nil {
			return fmt.Errorf("replica: %s %s: %w: %w", c.Kind, c.ID, *cause, ctx.Err())
		}
		return &UnknownError{ctx.Err()}
	case <-r.done:
		return resultAtEnd(ch.result, error(&UnknownError{ErrStopped}))
	}
}

// resultAtEnd returns the result of an item once the replica has ended, or
// fallback for one that was queued too late to get any.
func resultAtEnd[T any](result <-chan T, fallback T) T {
	select {
	case v := <-result:
		return v
	default:
		return fallback
	}
}

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
