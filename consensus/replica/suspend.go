package replica

import (
	"errors"
	"time"

	"github.com/godwithub/godwithub/consensus"
)

// saveRetryInterval is the time between two tries to store a batch while the store fails.
const saveRetryInterval = 250 * time.Millisecond

// ErrSuspended is returned by calls to a replica whose store fails at present, for instance because
// its disk is full. Nothing was proposed.
var ErrSuspended = errors.New("replica: suspended while its store fails")

// errStopRequested ends the runner of a replica that is stopped while it is suspended.
var errStopRequested = errors.New("replica: stopped while suspended")

// save stores a batch. While the store fails, the replica is suspended: it sends nothing, so that the
// other replicas elect another leader, drops received messages, refuses calls, and tries again every
// saveRetryInterval. Messages that depend on the batch leave only after save has returned nil.
func (r *Replica) save(b consensus.Batch) error {
	err := r.cfg.Store.Save(b)
	if err == nil {
		return nil
	}
	since := time.Now()
	metrics.Add("suspensions", 1)
	r.log.Error("store failed; replica is suspended until it succeeds", "error", err)
	r.failWaiters(ErrSuspended)
	r.publishLeaderless()
	for {
		if err := r.waitSuspended(); err != nil {
			return err
		}
		if err = r.cfg.Store.Save(b); err == nil {
			break
		}
	}
	r.log.Info("store works again; replica resumes", "suspended_ms", time.Since(since).Milliseconds())
	return nil
}

// waitSuspended refuses what arrives until saveRetryInterval is over. It returns errStopRequested if
// the replica must stop.
func (r *Replica) waitSuspended() error {
	retry := time.NewTimer(saveRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-r.stop:
			return errStopRequested
		case <-retry.C:
			return nil
		case <-r.inbox:
			metrics.Add("inbox_dropped", 1)
		case p := <-r.proposals:
			p.result <- proposalResult{err: r.suspendedError()}
		case rd := <-r.reads:
			rd.result <- r.suspendedError()
		case c := <-r.changes:
			c.result <- r.suspendedError()
		}
	}
}

// suspendedError returns an error that callers handle like a replica that is not the leader: they turn
// to another one.
func (r *Replica) suspendedError() error { return errors.Join(ErrSuspended, &NotLeaderError{}) }

// publishLeaderless publishes a status without a leader: a suspended or stopped replica does not hear
// of one, and must not be reported as one.
func (r *Replica) publishLeaderless() {
	s := *r.status.Load()
	s.Role, s.Leader, s.LeaderAddr = consensus.Follower, 0, ""
	r.status.Store(&s)
}
