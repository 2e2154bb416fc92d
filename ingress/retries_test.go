package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against failed requests that are not retried since their ingress has used its part of the fleet's
// retries, while other ingresses use none. Load: all requests come to two of twelve ingresses; one upstream
// after the other fails all its work for half a second.
func TestFleetRetriesWhatFewIngressesNeed(t *testing.T) {
	t.Parallel()
	const ratio, slack, perSecond, length = 0.02, 60, 100, 6 * time.Second
	f := newTestFleet(t, make([]float64, 12), 5, 20*time.Millisecond, func(f *testFleet) {
		f.idempotent, f.retryRatio, f.retrySlack = true, ratio, slack
	})
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			failing := &f.nodes[i%len(f.nodes)].failing
			failing.Store(true)
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			failing.Store(false)
		}
	}()
	results := f.loadFrom(2, perSecond, length)
	close(stop)
	n, _ := answered(results)
	assert.Assert(t, float64(n) >= 0.995*float64(len(results)), "%d of %d requests were answered", n, len(results))
	arrivals := 0
	for _, node := range f.nodes {
		arrivals += len(node.arrivals)
	}
	repeats := arrivals - len(results)
	assert.Assert(t, float64(repeats) <= ratio*float64(len(results))+slack, "%d retries of %d requests", repeats, len(results))
}

// Guards against retries beyond the budget when most upstreams fail. Load: as above, with nine of twelve
// upstreams failing.
func TestRetriesOfAFailingServiceStayInTheBudget(t *testing.T) {
	t.Parallel()
	const ratio, slack, perSecond, length = 0.2, 12, 60, 6 * time.Second
	f := newTestFleet(t, make([]float64, 12), 5, 20*time.Millisecond, func(f *testFleet) {
		f.idempotent, f.retryRatio, f.retrySlack = true, ratio, slack
	})
	for i := range 9 {
		f.nodes[i].failing.Store(true)
	}
	results := f.load(perSecond, length)
	arrivals := 0
	for _, node := range f.nodes {
		arrivals += len(node.arrivals)
	}
	repeats := arrivals - len(results)
	assert.Assert(t, float64(repeats) <= ratio*float64(len(results))+slack, "%d retries of %d requests", repeats, len(results))
}
