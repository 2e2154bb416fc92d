package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// floodLoad is a flood of one rank at one upstream. Ingresses learn each threshold after a delay.
type floodLoad struct {
	slots    int
	service  time.Duration // mean; uniform between 0.7 and 1.3 times that
	deadline time.Duration
	load     float64 // offered work as a multiple of the capacity
	delay    time.Duration
}

// floodResult is what a flood got.
type floodResult struct {
	idleShare float64 // of the slot time after the warm-up
	// refusedAtOnce and expired count the tickets that Offer refused, and those that were refused
	// after they had waited.
	refusedAtOnce, expired int
}

// play plays the load for a duration after a warm-up.
func (f *floodLoad) play(t *testing.T, seed uint64, warmUp, duration time.Duration) (result floodResult) {
	const step = time.Millisecond
	r := rand.New(rand.NewPCG(seed, 2))
	q := New(Options{Slots: f.slots})
	var thresholds []Threshold
	running := map[Ticket]time.Time{} // end of the run
	arrivals := f.load * float64(f.slots) * float64(step) / float64(f.service)
	busy, total, id := 0, 0, uint64(0)
	for now := start; now.Before(start.Add(warmUp + duration)); now = now.Add(step) {
		for ticket, end := range running {
			if !end.After(now) {
				delete(running, ticket)
				q.Done(now, ticket, f.service)
			}
		}
		thresholds = append(thresholds, q.Threshold(now))
		known := thresholds[max(0, len(thresholds)-1-int(f.delay/step))]
		for at := r.ExpFloat64(); at < arrivals; at += r.ExpFloat64() {
			if id++; known.Refuses(0, r.Uint64()) {
				continue
			}
			if ok, _, _ := q.Offer(now, Ticket{ID: id, Deadline: now.Add(f.deadline)}); !ok {
				result.refusedAtOnce++
			}
		}
		result.expired += len(q.Expire(now))
		for len(running) < f.slots {
			ticket, _, ok := q.Next(now)
			if !ok {
				break
			}
			run := time.Duration(float64(f.service) * (0.7 + 0.6*r.Float64()))
			assert.Assert(t, !now.Add(run).After(ticket.Deadline.Add(f.service)), "a run ends after its deadline")
			running[ticket] = now.Add(run)
		}
		if now.Sub(start) >= warmUp {
			busy += len(running)
			total += f.slots
		}
	}
	result.idleShare = 1 - float64(busy)/float64(total)
	return result
}

// Guards against thresholds that refuse so much of a flood that slots are idle. Loads: 1.3 to 5 times
// the capacity of one upstream, which ingresses refuse by thresholds that are up to 250 ms old. The
// bound is the design's: a flood costs at most a tenth of the goodput.
func TestFloodKeepsSlotsBusy(t *testing.T) {
	const warmUp, duration, maxIdle = 2 * time.Second, 6 * time.Second, 0.1
	for _, f := range []floodLoad{
		{5, 50 * time.Millisecond, 5 * time.Second, 4.1, 50 * time.Millisecond},
		{5, 50 * time.Millisecond, 5 * time.Second, 1.5, 250 * time.Millisecond},
		{5, 400 * time.Millisecond, 5 * time.Second, 2, 250 * time.Millisecond},
		{5, 400 * time.Millisecond, 5 * time.Second, 1.3, 250 * time.Millisecond},
		{3, 260 * time.Millisecond, 3 * time.Second, 2, 250 * time.Millisecond},
		{1, 10 * time.Millisecond, 300 * time.Millisecond, 5, 20 * time.Millisecond},
	} {
		for seed := range uint64(10) {
			idle := f.play(t, seed, warmUp, duration).idleShare
			assert.Assert(t, idle < maxIdle, "%+v, seed %d: %.3f of the slot time is idle", f, seed, idle)
		}
	}
}

// Guards against requests that are refused only after they have waited for the whole time that the queue
// allows. Loads: 1.3 to 3 times the capacity of one upstream, all of which reaches its queue. Refusing at
// once is the rule; one in twenty is left to chance.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	const warmUp, duration, lateShare = 2 * time.Second, 20 * time.Second, 0.05
	for _, f := range []floodLoad{
		{5, 400 * time.Millisecond, 2500 * time.Millisecond, 1.3, duration},
		{5, 400 * time.Millisecond, 5 * time.Second, 1.5, duration},
		{5, 400 * time.Millisecond, 5 * time.Second, 3, duration},
		{3, 160 * time.Millisecond, 2500 * time.Millisecond, 1.5, duration},
		{9, 660 * time.Millisecond, 4 * time.Second, 1.5, duration},
		{1, 10 * time.Millisecond, 300 * time.Millisecond, 3, duration},
	} {
		for seed := range uint64(5) {
			r := f.play(t, seed, warmUp, duration)
			refused := r.expired + r.refusedAtOnce
			assert.Assert(t, float64(r.expired) <= lateShare*float64(refused), "%+v, seed %d: %d of %d refused requests had waited", f, seed, r.expired, refused)
			assert.Assert(t, r.idleShare < 0.1, "%+v, seed %d: %.3f of the slot time is idle", f, seed, r.idleShare)
		}
	}
}
