package ingress

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/resource"
)

// unknownQuotaRetry is the mean of the time after which a request may return that was refused because
// control could not be asked. A change of leader takes less.
const unknownQuotaRetry = time.Second

// Quotas decides whether requests of customers are within their quotas over all nodes.
type Quotas interface {
	// Take takes a token of a customer. It returns an error if nothing could be learned until ctx ends, or
	// earlier: it may wait for a part of the time until the deadline of ctx.
	Take(ctx context.Context, customer *resource.Customer) (quota.Decision, error)
	// Return gives back a token whose request has not run. generation is that of the decision which allowed it.
	Return(customer *resource.Customer, generation uint64)
}

// takeToken takes a token for a request of a customer with a quota. returnToken returns it if the request has
// ended without having run.
func (in *Ingress) takeToken(ctx context.Context, rq *request) (returnToken func(outcome.Ended), err error) {
	customer := rq.customer
	if in.cfg.Quotas == nil || customer == nil || customer.RatePerSecond == 0 {
		return func(outcome.Ended) {}, nil
	}
	d, err := in.cfg.Quotas.Take(ctx, customer)
	switch {
	case ctx.Err() != nil && rq.http.Context().Err() != nil:
		if err == nil && d.Allowed {
			in.cfg.Quotas.Return(customer, d.Generation)
		}
		return nil, refuse(outcome.ReasonCanceled, "the caller has gone")
	case err != nil:
		return nil, &refusal{outcome.ReasonQuotaUnknown, "control has not answered whether customer " + customer.Name + " is within its quota", jitter(unknownQuotaRetry)}
	case !d.Allowed:
		return nil, &refusal{outcome.ReasonRateLimited, "customer " + customer.Name + " is over its quota", d.RetryAfter}
	}
	return func(e outcome.Ended) {
		if e.Outcome == outcome.NotRun {
			in.cfg.Quotas.Return(customer, d.Generation)
		}
	}, nil
}
