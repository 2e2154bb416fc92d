package pool

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/quota"
)

const (
	// grantLifetime is how old a demand may be when its grant arrives. Tokens that arrive later are not used:
	// a paused process could otherwise use them in another quota window than that of their grant.
	grantLifetime = time.Second
	// retryInterval is the pause after a demand that failed.
	retryInterval = 50 * time.Millisecond
	// maxItems bounds the customers in one demand, and thus its size. Names have up to 63 characters.
	maxItems = 800
)

// batch is a demand that was sent, with the entries that it is for.
type batch struct {
	demand  *quota.Demand
	entries [][]*entry // for each item
	sentAt  time.Time
}

// newBatch takes waiting entries and tokens to give back from the pool, up to maxItems customers. It returns nil if
// there are none. p.mu is held.
func (p *Pool) newBatch(now time.Time) *batch {
	p.sequence++
	b := &batch{sentAt: now, demand: &quota.Demand{
		Sender: p.cfg.Sender, Sequence: p.sequence, Generation: p.generation, TimeoutMs: uint32(p.cfg.Timeout.Milliseconds()),
	}}
	for customer, entries := range p.queue {
		if len(b.entries) == maxItems {
			break
		}
		delete(p.queue, customer)
		want := uint32(0)
		for _, e := range entries {
			if !e.w.gone {
				want += e.missing
				e.sent = true
			}
		}
		if want > 0 {
			p.addItem(b, quota.Item{Customer: customer, Want: want, Spare: p.reserves.Prefetch(now, customer)}, entries)
		}
	}
	for customer := range p.returns {
		if len(b.entries) == maxItems {
			break
		}
		p.addItem(b, quota.Item{Customer: customer}, nil)
	}
	if len(b.entries) == 0 {
		return nil
	}
	return b
}

// addItem adds item to b, together with the tokens of its customer that are given back. p.mu is held.
func (p *Pool) addItem(b *batch, item quota.Item, entries []*entry) {
	item.Returned = p.returns[item.Customer]
	delete(p.returns, item.Customer)
	p.stats.Returned += uint64(item.Returned)
	b.demand.Items = append(b.demand.Items, item)
	b.entries = append(b.entries, entries)
}

// send sends a demand and divides the granted tokens among its entries.
func (p *Pool) send(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	g, err := p.cfg.Ask(ctx, b.demand)
	now := time.Now()
	if err == nil && (len(g.Items) != len(b.demand.Items) || now.Sub(b.sentAt) > grantLifetime) {
		err = ErrUnavailable
	}
	p.mu.Lock()
	p.inFlight--
	if err != nil {
		p.requeue(now, b)
	} else {
		p.divide(now, b, g)
	}
	p.mu.Unlock()
	p.signal()
}

// requeue queues the entries of a demand that got no answer. The tokens that it returned may have
// arrived, so they are not returned again. p.mu is held.
func (p *Pool) requeue(now time.Time, b *batch) {
	p.stats.Failed++
	for i, item := range b.demand.Items {
		p.reserves.Settle(item.Customer, item.Spare)
		for _, e := range b.entries[i] {
			e.sent = false
			e.w.fail()
		}
		if len(b.entries[i]) > 0 {
			p.queue[item.Customer] = append(b.entries[i], p.queue[item.Customer]...)
		}
	}
	if retryAt := now.Add(retryInterval); p.nextSend.Before(retryAt) {
		p.nextSend = retryAt
	}
}

// divide gives the granted tokens to the entries in their order, and the rest to the reserve. Tokens that were
// granted for later are added to the reserve once they may be used. p.mu is held.
func (p *Pool) divide(now time.Time, b *batch, g *quota.Grant) {
	p.adopt(g.Generation, b.demand.Sequence)
	for i, item := range b.demand.Items {
		left, later, wait := g.Items[i].Granted, g.Items[i].Later, g.Items[i].Wait()
		p.stats.Granted += uint64(left + later)
		interval := p.interval(item.Customer)
		for _, e := range b.entries[i] {
			if e.w.gone {
				continue
			}
			granted := min(left, e.missing)
			left -= granted
			delayed := min(later, e.missing-granted)
			later -= delayed
			e.finish(granted, delayed, g.Generation, wait)
			wait += time.Duration(e.missing-granted) * interval
		}
		p.reserves.Settle(item.Customer, item.Spare)
		p.add(now, item.Customer, quota.Tokens{Count: left, Generation: g.Generation})
		p.keepLater(now, item.Customer, quota.Tokens{Count: later, Generation: g.Generation}, wait)
	}
}

// interval returns the time in which a customer earns one token, or 0 without a quota.
func (p *Pool) interval(customer string) time.Duration {
	l, ok := p.cfg.Limits(customer)
	if !ok || l.Unlimited() {
		return 0
	}
	return l.Interval()
}

// fail notifies awaitSent that a demand with an entry of w has failed.
func (w *waiter) fail() {
	if !w.ended {
		return
	}
	select {
	case w.failed <- struct{}{}:
	default:
	}
}

// finish adds the granted tokens to the result of e. wait is when the first request without a token may run or ask
// again. The call of Acquire ends with the last of its entries.
func (e *entry) finish(granted, later uint32, generation uint64, wait time.Duration) {
	e.sent = false
	r := &e.w.results[e.index]
	had := quota.Tokens{Count: r.Granted, Generation: r.Generation}
	r.Generation = had.Plus(quota.Tokens{Count: granted + later, Generation: generation}).Generation
	r.Granted += granted
	r.Later = later
	if granted < e.missing {
		r.Wait = wait
	}
	e.w.open--
	if e.w.open == 0 {
		close(e.w.done)
	}
}
