package balance

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

// Guards against an overloaded fleet that sends its work to an upstream which fails
// fast and so always has free slots. Load: all healthy upstreams of the region are
// full, with one or two queued requests per slot.
func TestLeastCostChoice(t *testing.T) {
	region := "r"
	candidates := []Candidate{
		{Upstream: "failing", Region: region, Slots: 3, LoadKnown: true, Failing: 0.9, Suspect: true},
		{Upstream: "longer", Region: region, Slots: 3, InUse: 3, Queued: 6, LoadKnown: true, Failing: 0.02},
		{Upstream: "shorter", Region: region, Slots: 3, InUse: 3, Queued: 3, LoadKnown: true, Failing: 0.02},
		{Upstream: "unknown", Region: region, Slots: 3},
		{Upstream: "remote", Region: "s", Slots: 3, InUse: 1, LoadKnown: true, Failing: 0.02},
	}
	r := rand.New(rand.NewPCG(1, 2))
	pick := func(req Request) fleet.UpstreamID {
		req.Region, req.LoadsKnown = region, true
		i, ok := Pick(r, req, candidates)
		assert.Assert(t, ok)
		return candidates[i].Upstream
	}
	for _, idempotent := range []bool{false, true} {
		assert.Equal(t, pick(Request{Idempotent: idempotent}), fleet.UpstreamID("shorter"))
		assert.Equal(t, pick(Request{Idempotent: idempotent, CrossAllowed: true}), fleet.UpstreamID("remote"))
	}
	tried := []fleet.UpstreamID{"shorter", "longer"}
	assert.Equal(t, pick(Request{Tried: tried}), fleet.UpstreamID("failing"))
}

// Guards against sending all the work to a few upstreams when all upstreams of the
// service fail.
func TestLeastCostChoiceAmongFailing(t *testing.T) {
	candidates := make([]Candidate, 4)
	for i := range candidates {
		candidates[i] = Candidate{Upstream: fleet.UpstreamID(rune('a' + i)), Region: "r", Slots: 5, LoadKnown: true, Failing: 0.6 + 0.1*float64(i)}
	}
	r := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(candidates))
	for range 1000 {
		i, ok := Pick(r, Request{Region: "r", LoadsKnown: true, LastRun: true}, candidates)
		assert.Assert(t, ok)
		counts[i]++
	}
	for i, n := range counts {
		assert.Assert(t, n > 200, "upstream %d got %d of 1000 requests", i, n)
	}
}

// Guards against requests for an upstream whose rate limit is used up, while others have room or a shorter
// queue. Load: one request of a region with limited and unlimited upstreams.
func TestRateLimitedUpstreamIsChosenLast(t *testing.T) {
	limited := Candidate{Upstream: "limited", Region: "r", Slots: 5, Weight: 0.1, LoadKnown: true, RateLimited: true}
	queue := Candidate{Upstream: "queue", Region: "r", Slots: 5, InUse: 5, Queued: 2, LoadKnown: true}
	free := Candidate{Upstream: "free", Region: "r", Slots: 5, InUse: 4, LoadKnown: true}
	r := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		loadsKnown bool
		others     []Candidate
		want       fleet.UpstreamID
	}{
		{false, []Candidate{free}, "free"},
		{false, []Candidate{queue}, "queue"},
		{true, []Candidate{free, queue}, "free"},
		{true, []Candidate{queue}, "queue"},
	} {
		candidates := append([]Candidate{limited}, c.others...)
		for range 100 {
			i, ok := Pick(r, Request{Region: "r", LoadsKnown: c.loadsKnown}, candidates)
			assert.Assert(t, ok)
			assert.Equal(t, candidates[i].Upstream, c.want)
		}
	}
}
