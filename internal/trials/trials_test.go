package trials

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model that loses requests, which would make the shares of
// requests in time wrong, and against runs that differ with the same seed.
func TestEveryRequestEnds(t *testing.T) {
	d := Deployments()[0]
	tr := &Trace{Duration: warmUp + 10*time.Second, Load: 2, Flood: 2, Noise: true}
	run := func() *Stats { return newSim(&d, tr, Methods[0], 1).run() }
	s := run()
	ended := sum(s.InTime) + sum(s.Late) + sum(s.Failed) + sum(s.Refused)
	underway := sum(s.Requests) - ended
	longest := d.Kinds[len(d.Kinds)-1].Deadline.Seconds()
	most := int(longest * float64(sum(s.Requests)) / 10)
	assert.Assert(t, underway >= 0 && underway < most, "%d of %d requests under way", underway, sum(s.Requests))
	again := run()
	assert.DeepEqual(t, again.InTime, s.InTime)
	assert.DeepEqual(t, again.Attempts, s.Attempts)
}

// Guards against a goodput that falls in overload, within the design's bound.
func TestGoodputHoldsInOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	for _, d := range Deployments() {
		for _, flood := range []int{0, 2} {
			at1, at5 := overload(&d, flood, 1, 1), overload(&d, flood, 5, 1)
			assert.Assert(t, at5.goodput > 0.9*at1.goodput, "%s: %.2f and %.2f", d.Name, at1.goodput, at5.goodput)
			for level := range d.Kinds {
				assert.Assert(t, at5.kept[level] > 0.9, "%s: level %d keeps %.2f", d.Name, level, at5.kept[level])
			}
		}
	}
}
