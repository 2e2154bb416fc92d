package trials

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model that loses requests, which would falsify the shares of requests in time,
// and against runs with the same seed that differ.
func TestEveryRequestEnds(t *testing.T) {
	d := Deployments()[0]
	tr := &Trace{Duration: warmUp + 10*time.Second, Load: 2, Flood: 2, Noise: true}
	run := func() *Stats { return newSim(&d, tr, Methods[0], 1).run() }
	s := run()
	ended := sum(s.InTime) + sum(s.Late) + sum(s.Failed) + sum(s.Refused)
	inFlight := sum(s.Requests) - ended
	longest := d.Kinds[len(d.Kinds)-1].Deadline.Seconds()
	maxInFlight := int(longest * float64(sum(s.Requests)) / 10)
	assert.Assert(t, inFlight >= 0 && inFlight < maxInFlight, "%d of %d requests in flight", inFlight, sum(s.Requests))
	again := run()
	assert.DeepEqual(t, again.InTime, s.InTime)
	assert.DeepEqual(t, again.Attempts, s.Attempts)
}

// Guards against overload that lowers goodput by more than the design allows: 10% from load 1 to
// load 5.
func TestGoodputHoldsInOverload(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	for _, d := range Deployments() {
		for _, flood := range []int{0, 2} {
			at1, at5 := runOverload(&d, flood, 1, 1), runOverload(&d, flood, 5, 1)
			assert.Assert(t, at5.goodput > 0.9*at1.goodput, "%s: %.2f and %.2f", d.Name, at1.goodput, at5.goodput)
			for level := range d.Kinds {
				assert.Assert(t, at5.keptShare[level] > 0.9, "%s: level %d keeps %.2f", d.Name, level, at5.keptShare[level])
			}
		}
	}
}
