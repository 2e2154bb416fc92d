// Package balance chooses the upstream of an attempt and limits the bytes that
// cross between regions. It does no I/O and reads no clock: randomness and time
// are parameters.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
)

// Candidate is one upstream of the request's service as the ingress knows it.
type Candidate struct {
	Node          fleet.NodeID
	Upstream      fleet.UpstreamID
	Region        string
	FailureDomain string
	Slots         int // requests it runs at once
	InUse         int // slots in use, as last reported
	// Queued is how many requests wait at its dispatcher ahead of one of this
	// rank, as last reported; see admission.Queue.Ahead.
	Queued int
	// Known says that load and Failing were reported a short while ago.
	Known bool
	// Failing is the probability that it fails the request.
	Failing  float64
	Suspect  bool
	Ejected  bool
	Draining bool
	// Trial marks an upstream that is tested after an ejection.
	Trial bool
	// Weight is the part of its slots that it should get, above 0 and up to 1,
	// for instance from Ramp. 0 counts as 1.
	Weight float64
}

// Request is what the choice depends on.
type Request struct {
	Region        string // of the ingress
	FailureDomain string // of the ingress
	Level         int    // rank, 0 is the most urgent
	Idempotent    bool
	// LastRun says that no other run follows if this one fails.
	LastRun bool
	// Key makes resends of a request prefer the same upstreams in the same
	// order. Empty: two random candidates are compared by load.
	Key string
	// Tried lists the upstreams of earlier attempts. They are left out.
	Tried []fleet.UpstreamID
	// CrossAllowed says that the request may go to another region if its own
	// lacks healthy capacity.
	CrossAllowed bool
	// Settled says that the loads of several candidates have just been reported.
	// Of these, the one with the least cost is taken, without a draw.
	Settled bool
}

const (
	// fullFactor is how many times its slots an upstream may have in use and
	// queued before it counts as full. A queue of one round of work is normal
	// at high load and costs less than a suspect or a longer way.
	fullFactor = 2
	// trialShare is the part of eligible requests that is sent to an upstream
	// under trial.
	trialShare = 0.05
	// suspectShare is the part of its usual work that a suspect still gets from
	// idempotent work below the most urgent rank. Without it the evidence that
	// would eject or clear the suspect stops.
	suspectShare = 0.25
	// suspectPenalty is added to the load of a suspect when all upstreams are
	// full, so that one that fails fast does not attract the excess.
	suspectPenalty = 1.0
	// minRamp is the weight at the start of a ramp.
	minRamp = 0.1
)

// tier orders the candidates; a lower tier is used first.
type tier int

const (
	tierNear        tier = iota // own failure domain, healthy, a slot free
	tierHome                    // own region, healthy, not full
	tierRemote                  // other region, healthy, not full
	tierSuspect                 // own region, suspect, not full
	tierHomeFull                // own region, full
	tierRemoteOther             // other region, suspect or full
	tierTrial                   // under trial, and nothing else is left
	tierUnusable
)

// Pick returns the index of the candidate that the next attempt goes to. ok is
// false if no candidate may take the request.
func Pick(r *rand.Rand, req Request, candidates []Candidate) (index int, ok bool) {
	if req.Settled {
		if i, ok := settled(r, &req, candidates); ok {
			return i, true
		}
	}
	var tiers [tierUnusable][]int
	for i := range candidates {
		if t := tierOf(&req, &candidates[i]); t != tierUnusable {
			tiers[t] = append(tiers[t], i)
		}
	}
	if i, ok := pickTrial(r, &req, candidates, tiers[tierTrial]); ok {
		return i, true
	}
	if i, ok := pickSuspect(r, &req, candidates, slices.Concat(tiers[tierNear], tiers[tierHome]), tiers[tierSuspect]); ok {
		return i, true
	}
	for _, indexes := range tiers {
		if len(indexes) == 0 {
			continue
		}
		if req.Key != "" {
			return preferred(req.Key, candidates, indexes), true
		}
		return lessLoaded(r, &req, candidates, indexes), true
	}
	return 0, false
}

func tierOf(req *Request, c *Candidate) tier {
	home := c.Region == req.Region
	switch {
	case c.Draining, c.Ejected, c.Slots <= 0, slices.Contains(req.Tried, c.Upstream):
		return tierUnusable
	case !home && !req.CrossAllowed:
		return tierUnusable
	case c.Trial && (!req.Idempotent || !home):
		return tierUnusable
	case c.Trial:
		return tierTrial
	case home && full(c):
		return tierHomeFull
	case home && c.Suspect:
		return tierSuspect
	case home && c.FailureDomain == req.FailureDomain && free(c):
		return tierNear
	case home:
		return tierHome
	case c.Suspect || full(c):
		return tierRemoteOther
	}
	return tierRemote
}

// pickTrial sends a small part of idempotent work below the most urgent rank to
// upstreams under trial, one request at a time.
func pickTrial(r *rand.Rand, req *Request, candidates []Candidate, trials []int) (int, bool) {
	if len(trials) == 0 || req.Level == 0 || r.Float64() >= trialShare {
		return 0, false
	}
	i := trials[r.IntN(len(trials))]
	c := &candidates[i]
	return i, c.InUse+c.Queued == 0
}

// pickSuspect sends a part of the work that a suspect would get if it were
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

// preferred returns the candidate that ranks highest for the key by rendezvous
// hashing, so that the order changes little when upstreams come and go.
func preferred(key string, candidates []Candidate, indexes []int) int {
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

// Costs of a settled choice, in rounds of work in the queue.
const (
	// failingCost and failingCostLast weigh a sure failure, for requests that
	// can be run elsewhere after it, and for others. Upstreams that fail do so
	// fast and have free slots, and must not attract what healthy ones queue.
	failingCost     = 4.0
	failingCostLast = 8.0
	// crossingCost weighs the way to another region.
	crossingCost = 2.0
	// surelyFailing is the probability from which upstreams count as failing
	// alike: when all fail, each goes on getting its part of the work.
	surelyFailing = 0.5
	// similarCost is the difference in cost within which the choice is random.
	similarCost = 0.25
)

// settled returns a candidate with about the lowest sum of the wait for a slot, the
// risk of a failure and the way, among those whose load is known.
func settled(r *rand.Rand, req *Request, candidates []Candidate) (index int, ok bool) {
	costs := make([]float64, len(candidates))
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		costs[i] = math.Inf(1)
		if c.Known && tierOf(req, c) != tierUnusable {
			costs[i] = cost(req, c)
		}
		lowest = min(lowest, costs[i])
	}
	if math.IsInf(lowest, 1) {
		return 0, false
	}
	seen := 0
	for i := range candidates {
		if costs[i] > lowest+similarCost {
			continue
		}
		// Each of the similar ones seen so far is kept with the same chance.
		if seen++; r.IntN(seen) == 0 {
			index = i
		}
	}
	return index, true
}

func cost(req *Request, c *Candidate) float64 {
	failing := c.Failing
	if failing >= surelyFailing {
		failing = 1
	}
	sum := failingCost * failing
	if req.LastRun {
		sum = failingCostLast * failing
	}
	if !free(c) {
		sum += float64(c.InUse+c.Queued) / capacity(c)
	}
	if c.Region != req.Region {
		sum += crossingCost
	}
	return sum
}

// lessLoaded draws two candidates by capacity and returns the one with the
// lower load; at equal load, one in the request's failure domain.
func lessLoaded(r *rand.Rand, req *Request, candidates []Candidate, indexes []int) int {
	total := 0.0
	for _, i := range indexes {
		total += capacity(&candidates[i])
	}
	a := draw(r, candidates, indexes, total)
	b := draw(r, candidates, indexes, total)
	// A second draw avoids most comparisons of a candidate with itself.
	if a == b {
		b = draw(r, candidates, indexes, total)
	}
	la, lb := load(&candidates[a]), load(&candidates[b])
	near := candidates[b].FailureDomain == req.FailureDomain && candidates[a].FailureDomain != req.FailureDomain
	if lb < la || lb == la && near {
		return b
	}
	return a
}

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

// free reports whether a request would find a free slot.
func free(c *Candidate) bool { return float64(c.InUse+c.Queued) < capacity(c) }

func full(c *Candidate) bool {
	return float64(c.InUse+c.Queued) >= max(fullFactor*capacity(c), 1)
}

// Ramp returns the weight of an upstream that became usable at start and takes
// its whole part after length. It rises linearly.
func Ramp(now, start time.Time, length time.Duration) float64 {
	elapsed := now.Sub(start)
	if length <= 0 || elapsed >= length {
		return 1
	}
	return max(float64(elapsed)/float64(length), minRamp)
}
