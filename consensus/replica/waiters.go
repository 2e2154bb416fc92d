package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/godwithub/godwithub/consensus"
)

// ErrStopped is returned by a replica that has ended.
var ErrStopped = errors.New("replica: stopped")

// NotLeaderError says that a replica is not the leader and names the one that
// is, if it is known. Nothing was proposed.
type NotLeaderError struct {
	Leader consensus.ReplicaID // 0: not known
	Addr   string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "replica: not the leader; no leader is known"
	}
	return fmt.Sprintf("replica: not the leader; the leader is %s at %s", e.Leader, e.Addr)
}

// Unwrap returns consensus.ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return consensus.ErrNotLeader }

// UnknownError says that a proposal may or may not be committed, now or later.
type UnknownError struct{ Cause error }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("replica: the proposal may or may not be committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

type proposed struct {
	value []byte
	err   error
}

type proposal struct {
	command []byte
	result  chan proposed
}

type read struct {
	result chan error
}

type change struct {
	ctx    context.Context
	change consensus.MemberChange
	result chan error
	cause  atomic.Pointer[error] // why it is still waiting
}

// finish reports the result of the entry that was committed at the index.
func (w waiter) finish(term uint64, result []byte) {
	var err error
	if term != w.term {
		err = &UnknownError{consensus.ErrNotLeader}
	}
	w.end(proposed{result, err})
}

func (w waiter) end(res proposed) {
	if w.proposal != nil {
		w.proposal.result <- res
		return
	}
	w.change.result <- res.err
}

// submit hands what was taken in to the core.
func (r *Replica) submit() {
	r.submitProposals()
	r.submitReads()
	r.submitChanges()
}

func (r *Replica) submitProposals() {
	if len(r.taken) == 0 {
		return
	}
	commands := make([][]byte, len(r.taken))
	for i, p := range r.taken {
		commands[i] = p.command
	}
	first, err := r.core.Propose(commands...)
	for i, p := range r.taken {
		if err != nil {
			p.result <- proposed{err: r.refusal(err)}
			continue
		}
		r.waiting[first+uint64(i)] = waiter{term: r.term, proposal: p}
	}
	metrics.Add("proposals", int64(len(r.taken)))
	r.taken = r.taken[:0]
}

func (r *Replica) refusal(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return r.notLeader()
	}
	return err
}

// submitReads confirms all reads that were taken in by one exchange.
func (r *Replica) submitReads() {
	if len(r.newReads) == 0 {
		return
	}
	seq, err := r.core.Read()
	for _, rd := range r.newReads {
		if err != nil {
			rd.result <- r.refusal(err)
			continue
		}
		r.waitingReads[seq] = append(r.waitingReads[seq], rd)
	}
	r.newReads = r.newReads[:0]
}

// submitChanges tries the changes that wait. It is called in every round, so
// that a change is tried again as soon as its obstacle may be gone.
func (r *Replica) submitChanges() {
	var open []*change
	for _, c := range r.openChanges {
		if c.ctx.Err() == nil && !r.submitChange(c) {
			open = append(open, c)
		}
	}
	r.openChanges = open
}

// submitChange reports whether the change is out of the queue.
func (r *Replica) submitChange(c *change) bool {
	index, err := r.core.ProposeChange(c.change)
	switch {
	case err == nil:
		c.cause.Store(nil)
		r.waiting[index] = waiter{term: r.term, change: c}
		return true
	case errors.Is(err, consensus.ErrNoTermEntry), errors.Is(err, consensus.ErrChangePending),
		errors.Is(err, consensus.ErrNotCaughtUp), errors.Is(err, consensus.ErrNoMajority):
		c.cause.Store(&err)
		return false
	case errors.Is(err, consensus.ErrNoChange):
		c.result <- nil
	default:
		c.result <- r.refusal(err)
	}
	return true
}

// failWaiters ends all that waits for the core, because of cause.
func (r *Replica) failWaiters(cause error) {
	for index, w := range r.waiting {
		w.end(proposed{err: &UnknownError{cause}})
		delete(r.waiting, index)
	}
	for seq, reads := range r.waitingReads {
		for _, rd := range reads {
			rd.result <- cause
		}
		delete(r.waitingReads, seq)
	}
}

// failQueued ends what was queued when the replica stopped.
func (r *Replica) failQueued() {
	for _, p := range r.taken {
		p.result <- proposed{err: ErrStopped}
	}
	for _, rd := range r.newReads {
		rd.result <- ErrStopped
	}
	for _, c := range r.openChanges {
		c.result <- ErrStopped
	}
	for {
		select {
		case p := <-r.proposals:
			p.result <- proposed{err: ErrStopped}
		case rd := <-r.reads:
			rd.result <- ErrStopped
		case c := <-r.changes:
			c.result <- ErrStopped
		default:
			return
		}
	}
}
