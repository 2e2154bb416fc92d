package controld

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/godwithub/godwithub/quota"
)

const (
	// quotaBarrierInterval is the shortest time between the starts of two read barriers for quotas.
	quotaBarrierInterval = 60 * time.Millisecond
	// idleBucketTime is how long the bucket of a customer without requests is kept, for reports.
	idleBucketTime = time.Minute
)

var errNoQuotaLeader = errors.New("controld: the leader that grants tokens is not known, or has changed")

// tokenLeader answers demands while this replica is the leader.
type tokenLeader struct {
	bounds  quota.Bounds
	limits  quota.LimitsFunc
	locator LeaderLocator
	barrier func(ctx context.Context) error

	mu      sync.Mutex
	waiting []*waitingDemand
	serving bool
	state   *quota.Leader // of the term in which this replica last answered
}

type waitingDemand struct {
	ctx    context.Context
	demand *quota.Demand
	result chan *quota.Grant // receives nil if leadership could not be confirmed in time
}

// answer answers a demand after a read barrier that began after the call. All demands that wait share one.
func (l *tokenLeader) answer(ctx context.Context, d *quota.Demand) (*quota.Grant, error) {
	w := &waitingDemand{ctx, d, make(chan *quota.Grant, 1)}
	l.mu.Lock()
	l.waiting = append(l.waiting, w)
	if !l.serving {
		l.serving = true
		go l.serve()
	}
	l.mu.Unlock()
	select {
	case g := <-w.result:
		if g == nil {
			return nil, errNoQuotaLeader
		}
		return g, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve answers demands until none waits.
func (l *tokenLeader) serve() {
	for {
		l.mu.Lock()
		batch := l.waiting
		l.waiting = nil
		if len(batch) == 0 {
			l.serving = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		began := time.Now()
		term, err := l.confirmLeadership()
		l.mu.Lock()
		l.answerAll(batch, began, term, err)
		l.mu.Unlock()
		time.Sleep(time.Until(began.Add(quotaBarrierInterval)))
	}
}

// confirmLeadership returns the term in which this replica was the leader during a read barrier.
func (l *tokenLeader) confirmLeadership() (term uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderAskTimeout)
	defer cancel()
	term, ok := l.locator.LeaderTerm()
	if !ok {
		return 0, errNoQuotaLeader
	}
	if err := l.barrier(ctx); err != nil {
		return 0, err
	}
	if after, ok := l.locator.LeaderTerm(); !ok || after != term {
		return 0, errNoQuotaLeader
	}
	return term, nil
}

// answerAll answers demands with the tokens that there were at the start of the read barrier: a later
// leader may already grant those of the time since. l.mu is held.
func (l *tokenLeader) answerAll(batch []*waitingDemand, began time.Time, term uint64, err error) {
	if err == nil && (l.state == nil || l.state.Generation() != term) {
		l.state = quota.NewLeader(l.bounds, term, began)
	}
	for _, w := range batch {
		if err != nil || w.ctx.Err() != nil {
			w.result <- nil
			continue
		}
		w.result <- l.state.Answer(began, w.demand, l.limits)
	}
}

func (l *tokenLeader) expirePeriodically(ctx context.Context) {
	for sleep(ctx, idleBucketTime) {
		l.mu.Lock()
		if l.state != nil {
			l.state.Expire(time.Now(), idleBucketTime)
		}
		l.mu.Unlock()
	}
}

// usage returns the quotas of up to limit customers, if this replica is the leader.
func (l *tokenLeader) usage(limit int) []quota.Usage {
	term, ok := l.locator.LeaderTerm()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || l.state == nil || l.state.Generation() != term {
		return nil
	}
	return l.state.Usage(time.Now(), limit)
}
