package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// reserveLifetime is how long a reserve keeps unused tokens.
	reserveLifetime = time.Second
	// surplusLifetime is how long a reserve keeps tokens above its limit, which requests that have not run
	// gave back. Within the bounds of the quota they may be used only shortly after their grant.
	surplusLifetime = 200 * time.Millisecond
	// prefetchTime is the time whose demand a reserve is meant to serve. It covers the round trip to a
	// leader in another region.
	prefetchTime = 200 * time.Millisecond
	// surplusDivisor limits Surplus to 1/surplusDivisor of a reserve per call.
	surplusDivisor = 4
	// demandMemory is the time constant of the mean that measures demand.
	demandMemory = time.Second
)

// Reserves are the unused tokens of all customers at one broker or node. They are not safe for concurrent
// use.
type Reserves struct {
	byCustomer map[string]*reserve
}

// NewReserves returns empty reserves.
func NewReserves() *Reserves { return &Reserves{byCustomer: map[string]*reserve{}} }

// reserve is the unused tokens of one customer, and the demand for them.
type reserve struct {
	lots []lot // in the order in which they were added
	// asked is how many tokens were asked for to fill the reserve and are not granted yet.
	asked int
	// demand is the number of tokens that were asked of this reserve, decaying with demandMemory.
	demand   float64
	demandAt time.Time
	// overSince is when the reserve exceeded its limit.
	overSince time.Time
	limit     int
}

// lot holds the tokens of one generation in a reserve.
type lot struct {
	generation uint64
	tokens     int
}

// total returns the number of tokens of all generations.
func (r *reserve) total() int {
	n := 0
	for _, l := range r.lots {
		n += l.tokens
	}
	return n
}

// remove removes up to n tokens, those of the oldest lot first.
func (r *reserve) remove(n int) Tokens {
	var out Tokens
	for n > 0 && len(r.lots) > 0 {
		l := &r.lots[0]
		taken := min(n, l.tokens)
		out = out.Plus(Tokens{uint32(taken), l.generation})
		l.tokens -= taken
		n -= taken
		if l.tokens == 0 {
			r.lots = r.lots[1:]
		}
	}
	return out
}

// add adds t to the lot of its generation.
func (r *reserve) add(t Tokens) {
	i := slices.IndexFunc(r.lots, func(l lot) bool { return l.generation == t.Generation })
	if i < 0 {
		i = len(r.lots)
		r.lots = append(r.lots, lot{generation: t.Generation})
	}
	r.lots[i].tokens += int(t.Count)
}

func (r *reserve) decay(now time.Time) {
	if elapsed := now.Sub(r.demandAt); elapsed > 0 {
		r.demand *= math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
		r.demandAt = now
	}
}

// target returns how many tokens the reserve should hold.
func (r *reserve) target() int {
	return min(r.limit, int(r.demand*prefetchTime.Seconds()/demandMemory.Seconds()))
}

// Take takes up to n tokens of a customer and counts n as demand. limit is the largest number of tokens
// that the reserve should hold.
func (s *Reserves) Take(now time.Time, customer string, n uint32, limit int) Tokens {
	if n == 0 {
		return Tokens{}
	}
	r := s.get(now, customer)
	r.limit = limit
	r.decay(now)
	r.demand += float64(n)
	return r.remove(int(n))
}

// Surplus takes up to n tokens that are not needed soon, for the reserve of another holder.
func (s *Reserves) Surplus(customer string, n uint32) Tokens {
	r := s.byCustomer[customer]
	if r == nil {
		return Tokens{}
	}
	return r.remove(min(int(n), r.total()/surplusDivisor))
}

func (s *Reserves) get(now time.Time, customer string) *reserve {
	r := s.byCustomer[customer]
	if r == nil {
		r = &reserve{demandAt: now}
		s.byCustomer[customer] = r
	}
	return r
}

// Prefetch returns how many tokens to ask for to fill the reserve of a customer, and counts them as asked
// for. Settle ends that.
func (s *Reserves) Prefetch(now time.Time, customer string) uint32 {
	r := s.byCustomer[customer]
	if r == nil {
		return 0
	}
	r.decay(now)
	n := max(0, r.target()-r.total()-r.asked)
	r.asked += n
	return uint32(n)
}

// Settle records that asked tokens for the reserve are no longer under way.
func (s *Reserves) Settle(customer string, asked uint32) {
	if r := s.byCustomer[customer]; r != nil {
		r.asked = max(0, r.asked-int(asked))
	}
}

// Add adds tokens that were granted and are not needed, or whose request has not run.
func (s *Reserves) Add(now time.Time, customer string, t Tokens) {
	if t.Count == 0 {
		return
	}
	r := s.get(now, customer)
	if r.total() <= r.limit {
		r.overSince = now
	}
	r.add(t)
}

// Expire removes tokens that were kept for too long and passes them to giveBack, which returns them to
// the leader, each generation by itself. It reports whether any tokens remain.
func (s *Reserves) Expire(now time.Time, giveBack func(customer string, t Tokens)) (remain bool) {
	for name, r := range s.byCustomer {
		for n := r.expired(now); n > 0; {
			t := r.remove(min(n, r.lots[0].tokens))
			n -= int(t.Count)
			giveBack(name, t)
		}
		remain = remain || len(r.lots) > 0
		if len(r.lots) == 0 && r.asked == 0 && now.Sub(r.demandAt) >= reserveLifetime {
			delete(s.byCustomer, name)
		}
	}
	return remain
}

// expired returns how many tokens the reserve has kept for too long.
func (r *reserve) expired(now time.Time) int {
	switch {
	case now.Sub(r.demandAt) >= reserveLifetime:
		return r.total()
	case r.total() > r.limit && now.Sub(r.overSince) >= surplusLifetime:
		return r.total() - r.limit
	}
	return 0
}
