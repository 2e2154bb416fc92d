package pool

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/quota"
)

// A request waits for its token for 1/tokenTimeoutDivisor of the time until its deadline, but from minTokenTimeout
// to maxTokenTimeout, and never for more than 1/maxWaitDivisor of that time, so that it can still run afterwards.
// A change of leader of control takes 0.95 to 1.54 s.
const (
	tokenTimeoutDivisor = 3
	minTokenTimeout     = 800 * time.Millisecond
	maxTokenTimeout     = 2500 * time.Millisecond
	maxWaitDivisor      = 2
)

// Take takes a token for a request whose context is request. If the token is granted for a later time, Take waits
// until then, or returns the token and refuses the request if its deadline is too early for that.
func (p *Pool) Take(request context.Context, customer string) (quota.Decision, error) {
	ctx, cancel := context.WithTimeout(request, tokenTimeout(request))
	defer cancel()
	results, err := p.Acquire(ctx, []Want{{Customer: customer, Count: 1}}, p.cfg.Timeout, func() {})
	if err != nil {
		return quota.Decision{}, err
	}
	r := results[0]
	switch {
	case r.Granted > 0:
		return quota.Decision{Allowed: true, Generation: r.Generation}, nil
	case r.Later == 0:
		return quota.Decision{RetryAfter: r.Wait}, nil
	}
	due := time.Now().Add(r.Wait)
	if deadline, ok := request.Deadline(); ok && r.Wait > time.Until(deadline)/maxWaitDivisor {
		p.returnAt(due, customer, quota.Tokens{Count: 1, Generation: r.Generation})
		return quota.Decision{RetryAfter: r.Wait}, nil
	}
	select {
	case <-time.After(r.Wait):
	case <-request.Done():
		p.returnAt(due, customer, quota.Tokens{Count: 1, Generation: r.Generation})
		return quota.Decision{}, request.Err()
	}
	if time.Since(due) > grantLifetime {
		return quota.Decision{}, ErrUnavailable
	}
	return quota.Decision{Allowed: true, Generation: r.Generation}, nil
}

// tokenTimeout returns how long a request with the deadline of ctx waits for its token.
func tokenTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTokenTimeout
	}
	left := time.Until(deadline)
	return min(max(left/tokenTimeoutDivisor, minTokenTimeout), maxTokenTimeout, left/maxWaitDivisor)
}
