package pool

import (
	"time"

	"github.com/godwithub/godwithub/quota"
)

// reclaim takes back the tokens of results that could not be delivered to the caller of Acquire.
func (p *Pool) reclaim(wants []Want, results []Result) {
	p.mu.Lock()
	p.reclaimAll(time.Now(), wants, results)
	p.mu.Unlock()
	p.signal()
}

// reclaimAll is reclaim while p.mu is held.
func (p *Pool) reclaimAll(now time.Time, wants []Want, results []Result) {
	for i, r := range results {
		p.takeBack(now, wants[i].Customer, quota.Tokens{Count: r.Granted, Generation: r.Generation})
		p.keepLater(now, wants[i].Customer, quota.Tokens{Count: r.Later, Generation: r.Generation}, r.Wait)
	}
}

// Return takes back unused tokens of a customer. Tokens of another generation than that of the latest grant are
// dropped, since the present leader did not grant them.
func (p *Pool) Return(customer string, t quota.Tokens) {
	p.mu.Lock()
	p.takeBack(time.Now(), customer, t)
	p.mu.Unlock()
	p.signal()
}

// returnAt returns tokens at the time due, from which on they may be used.
func (p *Pool) returnAt(due time.Time, customer string, t quota.Tokens) {
	time.AfterFunc(time.Until(due), func() { p.Return(customer, t) })
}

// keepLater takes back tokens that were granted for later. The first of them may be used after wait and each of the
// others one interval after the one before; all are returned when the last one may be used. p.mu is held.
func (p *Pool) keepLater(now time.Time, customer string, t quota.Tokens, wait time.Duration) {
	if t.Count > 0 {
		p.returnAt(now.Add(wait+time.Duration(t.Count-1)*p.interval(customer)), customer, t)
	}
}

// takeBack is Return while p.mu is held.
func (p *Pool) takeBack(now time.Time, customer string, t quota.Tokens) {
	if p.generation == 0 {
		p.generation = t.Generation // no grant since the start of this process
	}
	if t.Generation != p.generation || t.Generation == quota.MixedGenerations {
		p.stats.Dropped += uint64(t.Count)
		return
	}
	p.add(now, customer, t)
}

// add adds tokens to the reserve. p.mu is held.
func (p *Pool) add(now time.Time, customer string, t quota.Tokens) {
	if t.Count == 0 {
		return
	}
	p.reserves.Add(now, customer, t)
	p.holding = true
}

// adopt records the generation of the grant for the demand with a sequence number, unless a later demand has been
// answered already. If the generation has changed, tokens of the former one are dropped instead of given back.
// p.mu is held.
func (p *Pool) adopt(generation, sequence uint64) {
	if generation == quota.MixedGenerations || sequence < p.generationAt {
		return
	}
	p.generationAt = sequence
	if generation == p.generation {
		return
	}
	p.generation = generation
	for customer, n := range p.returns {
		p.stats.Dropped += uint64(n)
		delete(p.returns, customer)
	}
}

// expire takes tokens that were kept for too long from the reserves, to give them back. p.mu is held.
func (p *Pool) expire(now time.Time) {
	if !p.holding || now.Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = now.Add(expireInterval)
	p.holding = p.reserves.Expire(now, func(customer string, t quota.Tokens) {
		if t.Generation == p.generation {
			p.returns[customer] += t.Count
		} else {
			p.stats.Dropped += uint64(t.Count)
		}
	})
}
