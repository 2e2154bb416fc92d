// Package balance chooses the upstream of an attempt and limits the bytes sent
// between regions. It does no I/O and reads no clock: randomness and time are
// parameters.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
)

// Candidate is an upstream of the request's service as the ingress knows it.
type Candidate struct {
	Node          fleet.NodeID
	Upstream      fleet.UpstreamID
	Region        string
	FailureDomain string
	Slots         int // number of requests that it runs at once
	InUse         int // slots in use, as last reported
	// Queued is the number of requests that wait at the upstream's dispatcher ahead
	// of a new one of this rank, as last reported; see admission.Queue.TicketsAhead.
	Queued int
	// LoadKnown says that InUse, Queued and Failing were reported recently.
	LoadKnown bool
	// Failing is the probability that the upstream fails the request.
	Failing  float64
	Suspect  bool
	Ejected  bool
	Draining bool
	// Trial marks an upstream that is being tested after an ejection.
	Trial bool
	// RateLimited says that the upstream's rate limit allows no further request yet. It
	// then counts as full.
	RateLimited bool
	// Weight is the fraction of its slots that the upstream should use, above 0 and
	// up to 1, for instance from Ramp. 0 counts as 1.
	Weight float64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Region        string // of the ingress
	FailureDomain string // of the ingress
	Level         int    // of the request's rank; 0 is the most urgent
	Idempotent    bool
	// LastRun says that the request can't be run again if this run fails.
	LastRun bool
	// Key makes resends of a request prefer the same upstreams in the same order. If
	// it is empty, two random candidates are compared by load.
	Key string
	// Tried lists the upstreams of earlier attempts, which are excluded.
	Tried []fleet.UpstreamID
	// CrossAllowed says that the request may go to another region if its own lacks
	// healthy capacity.
	CrossAllowed bool
	// LoadsKnown says that the loads of several candidates were reported just now. One
	// whose cost is about the lowest among these is chosen, instead of a candidate of
	// the first tier in use.
	LoadsKnown bool
}

const (
	// fullLoadFactor is the ratio of requests, running and queued, to slots from which
	// an upstream counts as full. A queue of one request per slot is normal at high
	// load, and costs less than using a suspect or another region.
	fullLoadFactor = 2
	// trialShare is the fraction of eligible requests that is sent to upstreams on
	// trial.
	trialShare = 0.05
	// suspectShare is the fraction of its usual work that a suspect still gets, taken
	// from idempotent requests below the most urgent rank. Without it there would be
	// no further evidence to eject or clear the suspect.
	suspectShare = 0.25
	// suspectPenalty is added to the load of a suspect when all upstreams are full, so
	// that a suspect that fails fast does not attract the excess load.
	suspectPenalty = 1.0
	// minRampWeight is the weight at the start of a ramp.
	minRampWeight = 0.1
)

// Tier ranks the candidates; a lower tier is used first.
type Tier int

const (
	TierNear        Tier = iota // own failure domain, healthy, a slot free
	TierHome                    // own region, healthy, not full
	TierRemote                  // other region, healthy, not full
	TierSuspect                 // own region, suspect, not full
	TierHomeFull                // own region, full
	TierRemoteOther             // other region, suspect or full
	TierTrial                   // on trial; used last, apart from trialShare
	TierUnusable
)

// String implements fmt.Stringer.
func (t Tier) String() string {
	return [...]string{"near", "home", "remote", "suspect", "home-full", "remote-suspect-or-full", "trial", "unusable"}[t]
}

// Unusable is the reason why a candidate may not take a request, or "" if it may.
type Unusable string

const (
	UnusableDraining    Unusable = "draining"
	UnusableEjected     Unusable = "ejected"
	UnusableNoSlots     Unusable = "no slots"
	UnusableTried       Unusable = "tried before"
	UnusableOtherRegion Unusable = "other region"
	UnusableTrial       Unusable = "trial" // takes only idempotent requests of its own region
)

// Pick returns the index of the candidate to send the next attempt to. ok is false if
// no candidate may take the request.
func Pick(r *rand.Rand, req Request, candidates []Candidate) (index int, ok bool) {
	if req.LoadsKnown {
		if i, ok := leastCost(r, &req, candidates); ok {
			return i, true
		}
	}
	var tiers [TierUnusable][]int
	for i := range candidates {
		if t, _ := TierOf(&req, &candidates[i]); t != TierUnusable {
			tiers[t] = append(tiers[t], i)
		}
	}
	if i, ok := pickTrial(r, &req, candidates, tiers[TierTrial]); ok {
		return i, true
	}
	if i, ok := pickSuspect(r, &req, candidates, slices.Concat(tiers[TierNear], tiers[TierHome]), tiers[TierSuspect]); ok {
		return i, true
	}
	for _, indexes := range tiers {
		if len(indexes) == 0 {
			continue
		}
		if req.Key != "" {
			return highestByHash(req.Key, candidates, indexes), true
		}
		return lessLoaded(r, &req, candidates, indexes), true
	}
	return 0, false
}

// TierOf returns the tier of a candidate for a request, or TierUnusable and the reason.
func TierOf(req *Request, c *Candidate) (Tier, Unusable) {
	home := c.Region == req.Region
	switch {
	case c.Draining:
		return TierUnusable, UnusableDraining
	case c.Ejected:
		return TierUnusable, UnusableEjected
	case c.Slots <= 0:
		return TierUnusable, UnusableNoSlots
	case slices.Contains(req.Tried, c.Upstream):
		return TierUnusable, UnusableTried
	case !home && !req.CrossAllowed:
		return TierUnusable, UnusableOtherRegion
	case c.Trial && (!req.Idempotent || !home):
		return TierUnusable, UnusableTrial
	case c.Trial:
		return TierTrial, ""
	case home && isFull(c):
		return TierHomeFull, ""
	case home && c.Suspect:
		return TierSuspect, ""
	case home && c.FailureDomain == req.FailureDomain && hasFreeSlot(c):
		return TierNear, ""
	case home:
		return TierHome, ""
	case c.Suspect || isFull(c):
		return TierRemoteOther, ""
	}
	return TierRemote, ""
}

// pickTrial sends a small fraction of idempotent work below the most urgent rank to
// upstreams on trial, one request at a time.
func pickTrial(r *rand.Rand, req *Request, candidates []Candidate, trials []int) (int, bool) {
	if len(trials) == 0 || req.Level == 0 || r.Float64() >= trialShare {
		return 0, false
	}
	i := trials[r.IntN(len(trials))]
	c := &candidates[i]
	return i, c.InUse+c.Queued == 0
}

// pickSuspect sends suspects a fraction of the work that they would get if they were
// healthy.
func pickSuspect(r *rand.Rand, req *Request, candidates []Candidate, healthy, suspects []int) (int, bool) {
	if len(suspects) == 0 || req.LastRun || !req.Idempotent || req.Level == 0 {
		return 0, false
	}
	suspect, total := 0.0, 0.0
	for _, i := range suspects {
		suspect += capacity(&candidates[i])
	}
	for _, i := range healthy {
		total += capacity(&candidates[i])
	}
	if r.Float64() >= suspectShare*suspect/(suspect+total) {
		return 0, false
	}
	return draw(r, candidates, suspects, suspect), true
}

// highestByHash returns the candidate with the highest rendezvous hash for the key.
// Rendezvous hashing changes the order little when upstreams are added or removed.
func highestByHash(key string, candidates []Candidate, indexes []int) int {
	best, bestHash := indexes[0], uint64(0)
	var d xxhash.Digest
	for _, i := range indexes {
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(candidates[i].Upstream))
		if h := d.Sum64(); h >= bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// Costs for leastCost. The unit is the wait for one queued request per slot.
const (
	// failureCost is the cost of a certain failure of a request that can then be run on
	// another upstream, lastRunFailureCost that of one which can't. Upstreams that fail
	// often fail fast and so have free slots. They must not attract the work that
	// healthy upstreams queue.
	failureCost        = 4.0
	lastRunFailureCost = 8.0
	// crossingCost is the cost of sending a request to another region.
	crossingCost = 2.0
	// certainFailureThreshold is the probability of failure from which failure counts as
	// certain. Upstreams that all fail thus have the same cost of failure, and each of
	// them still gets its share of the work.
	certainFailureThreshold = 0.5
	// costTolerance is the difference from the lowest cost up to which candidates are
	// chosen from at random.
	costTolerance = 0.25
)

// leastCost returns a candidate whose cost is within costTolerance of the lowest, among
// the usable ones whose load is known. ok is false if there is none.
func leastCost(r *rand.Rand, req *Request, candidates []Candidate) (index int, ok bool) {
	costs := make([]float64, len(candidates))
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		costs[i] = math.Inf(1)
		if t, _ := TierOf(req, c); c.LoadKnown && t != TierUnusable {
			costs[i] = cost(req, c)
		}
		lowest = min(lowest, costs[i])
	}
	if math.IsInf(lowest, 1) {
		return 0, false
	}
	seen := 0
	for i := range candidates {
		if costs[i] > lowest+costTolerance {
			continue
		}
		// Reservoir sampling: each candidate within the tolerance has the same chance.
		if seen++; r.IntN(seen) == 0 {
			index = i
		}
	}
	return index, true
}

// BestIsFailing reports whether the candidate that Pick would choose with LoadsKnown is failing, so
// that another upstream, about which nothing is known, promises more.
func BestIsFailing(r *rand.Rand, req Request, candidates []Candidate) bool {
	i, ok := leastCost(r, &req, candidates)
	return ok && candidates[i].Failing >= certainFailureThreshold
}

// cost returns the weighted sum of the wait for a slot, the risk of failure and the
// distance.
func cost(req *Request, c *Candidate) float64 {
	failing := c.Failing
	if failing >= certainFailureThreshold {
		failing = 1
	}
	sum := failureCost * failing
	if req.LastRun {
		sum = lastRunFailureCost * failing
	}
	switch {
	case c.RateLimited:
		// What runs there does not delay the next request.
		sum += float64(c.Queued+1) / capacity(c)
	case !hasFreeSlot(c):
		sum += float64(c.InUse+c.Queued) / capacity(c)
	}
	if c.Region != req.Region {
		sum += crossingCost
	}
	return sum
}

// lessLoaded draws two candidates at random, weighted by capacity, and returns the one
// with the lower load. At equal load it prefers one in the request's failure domain.
func lessLoaded(r *rand.Rand, req *Request, candidates []Candidate, indexes []int) int {
	total := 0.0
	for _, i := range indexes {
		total += capacity(&candidates[i])
	}
	a := draw(r, candidates, indexes, total)
	b := draw(r, candidates, indexes, total)
	// Drawing again avoids most comparisons of a candidate with itself.
	if a == b {
		b = draw(r, candidates, indexes, total)
	}
	loadA, loadB := load(&candidates[a]), load(&candidates[b])
	onlyBNear := candidates[b].FailureDomain == req.FailureDomain && candidates[a].FailureDomain != req.FailureDomain
	if loadB < loadA || loadB == loadA && onlyBNear {
		return b
	}
	return a
}

// draw returns a random candidate of indexes, weighted by capacity. total is the sum of
// their capacities.
func draw(r *rand.Rand, candidates []Candidate, indexes []int, total float64) int {
	x := r.Float64() * total
	for _, i := range indexes {
		x -= capacity(&candidates[i])
		if x < 0 {
			return i
		}
	}
	return indexes[len(indexes)-1]
}

func capacity(c *Candidate) float64 {
	w := c.Weight
	if w <= 0 || w > 1 {
		w = 1
	}
	return w * float64(c.Slots)
}

func load(c *Candidate) float64 {
	l := float64(c.InUse+c.Queued) / capacity(c)
	if c.Suspect {
		l += suspectPenalty
	}
	return l
}

// hasFreeSlot reports whether a new request would get a slot without queueing.
func hasFreeSlot(c *Candidate) bool {
	return !c.RateLimited && float64(c.InUse+c.Queued) < capacity(c)
}

func isFull(c *Candidate) bool {
	return c.RateLimited || float64(c.InUse+c.Queued) >= max(fullLoadFactor*capacity(c), 1)
}

// Ramp returns the weight of an upstream that became usable at start. The weight rises
// linearly and reaches 1 after length.
func Ramp(now, start time.Time, length time.Duration) float64 {
	elapsed := now.Sub(start)
	if length <= 0 || elapsed >= length {
		return 1
	}
	return max(float64(elapsed)/float64(length), minRampWeight)
}
