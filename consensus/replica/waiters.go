package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/godwithub/godwithub/consensus"
)

// ErrStopped is returned by calls to a replica that has stopped.
var ErrStopped = errors.New("replica: stopped")

// NotLeaderError means that the replica is not the leader and nothing was proposed. It names the
// leader if it is known.
type NotLeaderError struct {
	Leader consensus.ReplicaID // 0: unknown
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

// OutcomeUnknownError means that the outcome of a proposal is unknown: it may or may not be
// committed, now or later.
type OutcomeUnknownError struct{ Cause error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("replica: the proposal may or may not be committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

type proposalResult struct {
	value []byte
	err   error
}

type proposal struct {
	command []byte
	result  chan proposalResult
}

type readRequest struct {
	leadershipOnly bool
	result         chan error
}

type changeRequest struct {
	ctx       context.Context
	change    consensus.MemberChange
	result    chan error
	blockedBy atomic.Pointer[error] // why the change cannot be proposed yet
}

// complete reports the outcome after the entry at the waiter's index was applied. If that entry is of
// another term than the waiter's, the outcome of the proposal is reported as unknown.
func (w waiter) complete(term uint64, result []byte) {
	var err error
	if term != w.term {
		err = &OutcomeUnknownError{consensus.ErrNotLeader}
	}
	w.reply(proposalResult{result, err})
}

func (w waiter) reply(res proposalResult) {
	if w.proposal != nil {
		w.proposal.result <- res
		return
	}
	w.change.result <- res.err
}

// submit passes the collected requests to the core.
func (r *Replica) submit() {
	r.submitProposals()
	r.submitReads()
	r.submitChanges()
}

func (r *Replica) submitProposals() {
	if len(r.newProposals) == 0 {
		return
	}
	commands := make([][]byte, len(r.newProposals))
	for i, p := range r.newProposals {
		commands[i] = p.command
	}
	first, err := r.core.Propose(commands...)
	for i, p := range r.newProposals {
		if err != nil {
			p.result <- proposalResult{err: r.toCallerError(err)}
			continue
		}
		r.waitersByIndex[first+uint64(i)] = waiter{term: r.term, proposal: p}
	}
	metrics.Add("proposals", int64(len(r.newProposals)))
	r.newProposals = r.newProposals[:0]
}

// toCallerError turns consensus.ErrNotLeader into a *NotLeaderError and leaves other errors as they
// are.
func (r *Replica) toCallerError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		return r.notLeader()
	}
	return err
}

// submitReads requests a single confirmation from the core for all collected reads of a kind.
func (r *Replica) submitReads() {
	r.submitReadsOfKind(false, r.core.Read)
	r.submitReadsOfKind(true, r.core.ConfirmLeadership)
	r.newReads = r.newReads[:0]
}

func (r *Replica) submitReadsOfKind(leadershipOnly bool, request func() (uint64, error)) {
	if !slices.ContainsFunc(r.newReads, func(rd *readRequest) bool { return rd.leadershipOnly == leadershipOnly }) {
		return
	}
	seq, err := request()
	for _, rd := range r.newReads {
		switch {
		case rd.leadershipOnly != leadershipOnly:
		case err != nil:
			rd.result <- r.toCallerError(err)
		default:
			r.readsBySeq[seq] = append(r.readsBySeq[seq], rd)
		}
	}
}

// completeChanges reports the membership changes that are committed. They need not be released: the next change may follow, and
// entries may be released only after that.
func (r *Replica) completeChanges() {
	for index, w := range r.waitersByIndex {
		if w.change != nil && index <= r.core.CommitIndex() {
			delete(r.waitersByIndex, index)
			w.reply(proposalResult{})
		}
	}
}

// submitChanges tries to propose the pending membership changes. It is called whenever events have
// been collected, so that a change is tried again soon after its obstacle is gone.
func (r *Replica) submitChanges() {
	var pending []*changeRequest
	for _, c := range r.pendingChanges {
		if c.ctx.Err() == nil && !r.submitChange(c) {
			pending = append(pending, c)
		}
	}
	r.pendingChanges = pending
}

// submitChange tries to propose a change. It reports false if the change must be tried again.
func (r *Replica) submitChange(c *changeRequest) bool {
	index, err := r.core.ProposeChange(c.change)
	switch {
	case err == nil:
		c.blockedBy.Store(nil)
		r.waitersByIndex[index] = waiter{term: r.term, change: c}
		return true
	case errors.Is(err, consensus.ErrTermNotCommitted), errors.Is(err, consensus.ErrChangePending),
		errors.Is(err, consensus.ErrNotCaughtUp), errors.Is(err, consensus.ErrNoQuorum):
		c.blockedBy.Store(&err)
		return false
	case errors.Is(err, consensus.ErrNoChange):
		c.result <- nil
	default:
		c.result <- r.toCallerError(err)
	}
	return true
}

// failWaiters fails all submitted requests with cause. Proposals and changes fail with an
// OutcomeUnknownError, since they may still be committed.
func (r *Replica) failWaiters(cause error) {
	for index, w := range r.waitersByIndex {
		w.reply(proposalResult{err: &OutcomeUnknownError{cause}})
		delete(r.waitersByIndex, index)
	}
	for seq, reads := range r.readsBySeq {
		for _, rd := range reads {
			rd.result <- cause
		}
		delete(r.readsBySeq, seq)
	}
}

// failQueued fails the requests that were not submitted before the replica stopped.
func (r *Replica) failQueued() {
	for _, p := range r.newProposals {
		p.result <- proposalResult{err: ErrStopped}
	}
	for _, rd := range r.newReads {
		rd.result <- ErrStopped
	}
	for _, c := range r.pendingChanges {
		c.result <- ErrStopped
	}
	for {
		select {
		case p := <-r.proposals:
			p.result <- proposalResult{err: ErrStopped}
		case rd := <-r.reads:
			rd.result <- ErrStopped
		case c := <-r.changes:
			c.result <- ErrStopped
		default:
			return
		}
	}
}
