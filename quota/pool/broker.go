package pool

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/quota"
)

const (
	// brokerTimeout is how long a broker waits for tokens before it gives a demand up, apart from the time that
	// a demand to the leader which is already in flight still takes. The node then asks another member, which
	// may reach the leader.
	brokerTimeout = 600 * time.Millisecond
	// pendingAfter is how long a demand waits before the broker notifies the node that it is pending.
	pendingAfter = 150 * time.Millisecond
)

// Broker answers demands of nodes with the tokens of a pool. It is safe for concurrent use.
type Broker struct {
	pool *Pool

	mu        sync.Mutex
	sequences quota.Sequences // of the nodes' demands
}

// NewBroker returns a broker of a pool.
func NewBroker(p *Pool) *Broker { return &Broker{pool: p, sequences: quota.Sequences{}} }

// Answer answers a demand of a node. ctx ends when the node no longer waits for the grant. onPending is
// called if the answer takes long.
func (b *Broker) Answer(ctx context.Context, d *quota.Demand, onPending func()) (*quota.Grant, error) {
	b.takeReturns(d)
	// A demand to the leader that is in flight when waitCtx ends may take up to the timeout of the pool.
	timeout := max(d.Timeout()-b.pool.cfg.Timeout, 2*b.pool.cfg.Interval)
	waitCtx, cancel := context.WithTimeout(ctx, min(brokerTimeout, timeout))
	defer cancel()
	wants := make([]Want, len(d.Items))
	for i, item := range d.Items {
		wants[i] = Want{Customer: item.Customer, Count: item.Want, Spare: item.Spare}
	}
	results, err := b.pool.Acquire(waitCtx, wants, pendingAfter, onPending)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		b.pool.reclaim(wants, results)
		return nil, ctx.Err()
	}
	return b.grant(results), nil
}

// takeReturns adds the tokens that a node gives back to the reserve, unless the demand is a duplicate.
func (b *Broker) takeReturns(d *quota.Demand) {
	b.mu.Lock()
	accepted := b.sequences.Accept(d.Sender, d.Sequence)
	b.mu.Unlock()
	if !accepted {
		return
	}
	for _, item := range d.Items {
		if item.Returned > 0 {
			b.pool.Return(item.Customer, quota.Tokens{Count: item.Returned, Generation: d.Generation})
		}
	}
}

// grant returns the message for results. Its generation is that of its tokens, quota.MixedGenerations if they
// differ, or that of the pool's latest grant if there are no tokens.
func (b *Broker) grant(results []Result) *quota.Grant {
	g := &quota.Grant{Items: make([]quota.GrantItem, len(results))}
	var total quota.Tokens
	for i, r := range results {
		g.Items[i] = quota.NewGrantItem(r.Granted, r.Later, r.Wait)
		total = total.Plus(quota.Tokens{Count: r.Granted + r.Later, Generation: r.Generation})
	}
	g.Generation = total.Generation
	if total.Count == 0 {
		g.Generation = b.pool.Generation()
	}
	return g
}
