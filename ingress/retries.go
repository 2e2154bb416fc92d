package ingress

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/retry"
)

const (
	// maxBudgetDeclines is how many dispatchers may decline a request because their retry budget is
	// used up, before it is not retried any further.
	maxBudgetDeclines = 2
	// retryPause is how long an ingress does not retry requests of a service after that.
	retryPause = 500 * time.Millisecond
)

// serviceRetries limits the retries of one service at this ingress.
type serviceRetries struct {
	mu sync.Mutex
	// budget is nil if the dispatchers keep the budget.
	budget *retry.Budget
	// pausedUntil and repeatedCalls are used if the dispatchers keep the budget. repeatedCalls is the
	// number of calls by repeated runs that no dispatcher was told of yet.
	pausedUntil   time.Time
	repeatedCalls int
}

// retriesOf returns the limits of a service.
func (in *Ingress) retriesOf(service string) *serviceRetries {
	in.mu.Lock()
	defer in.mu.Unlock()
	r := in.retries[service]
	if r == nil {
		r = &serviceRetries{}
		if !in.cfg.DispatchersLimitRetries {
			r.budget = &retry.Budget{}
		}
		in.retries[service] = r
	}
	return r
}

// recordFirstAttempt records a first attempt.
func (r *serviceRetries) recordFirstAttempt(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget != nil {
		r.budget.RecordFirstAttempt(now)
	}
}

// wouldAllow reports whether a request would probably be retried now.
func (r *serviceRetries) wouldAllow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget == nil {
		return !now.Before(r.pausedUntil)
	}
	return r.budget.WouldAllow(now)
}

// allow reports whether the request in state s may be attempted again.
func (r *serviceRetries) allow(now time.Time, s retry.RequestState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget != nil {
		return retry.Decide(now, r.budget, s) == retry.Allowed
	}
	if !s.Free && now.Before(r.pausedUntil) {
		return false
	}
	// The dispatchers take it from their budget.
	s.Free = true
	return retry.Decide(now, nil, s) == retry.Allowed
}

// pause stops retries for a while, since dispatchers have no budget left.
func (r *serviceRetries) pause(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil = now.Add(retryPause)
}

// charge records a call that a repeated run makes.
func (r *serviceRetries) charge(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget != nil {
		r.budget.Charge(now)
		return
	}
	r.repeatedCalls++
}

// takeRepeatedCalls returns the calls that were not told to a dispatcher yet, which are told then.
func (r *serviceRetries) takeRepeatedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.repeatedCalls
	r.repeatedCalls = 0
	return n
}

// ChargeRepeatedCalls is called when an upstream on this VM runs a request of service that may have
// run before. The calls which that run makes to other services go through this ingress and are
// repeats as well. It is not known which services they go to, so one retry is charged to the budget
// of every other service.
func (in *Ingress) ChargeRepeatedCalls(service string) {
	now := time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, r := range in.retries {
		if name != service {
			r.charge(now)
		}
	}
}
