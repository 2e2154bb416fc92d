package ingress

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitWindow is the time in which an upstream may get one and a half times its limit and 5 requests,
// from contactTime after it first named the limit.
const (
	limitWindow = 4 * time.Second
	contactTime = 4 * time.Second
)

// checkLimits checks what each upstream with a limit got from ingresses that have run all the time.
func (f *testFleet) checkLimits(t *testing.T, restarted string) {
	for i, n := range f.nodes {
		if n.limit == 0 {
			continue
		}
		var times []time.Time
		for _, a := range n.arrivals {
			if a.ingress != restarted && a.at.Sub(n.arrivals[0].at) > contactTime {
				times = append(times, a.at)
			}
		}
		allowed := int(1.5*n.limit*limitWindow.Seconds()) + 5
		assert.Assert(t, mostWithin(times, limitWindow) <= allowed, "upstream %d got %d requests in %v, %d are allowed", i, mostWithin(times, limitWindow), limitWindow, allowed)
	}
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// answered returns how many callers got an answer, and the time in which 99 of 100 of them got it.
func answered(results []callerResult) (n int, p99 time.Duration) {
	var times []time.Duration
	for _, r := range results {
		if r.status == http.StatusOK {
			times = append(times, r.took)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return len(times), times[len(times)*99/100]
}

// Guards against requests that wait for the limit of an upstream, or are refused, while other upstreams
// have room. Load: four of six upstreams accept 2 requests a second each; the other two have room for
// three times the load.
func TestOthersServeWhatLimitedUpstreamsDoNotAccept(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, []float64{2, 2, 2, 2, 0, 0}, 5, 50*time.Millisecond)
	results := f.load(60, contactTime+2*limitWindow)
	f.checkLimits(t, "")
	n, p99 := answered(results)
	assert.Equal(t, n, len(results))
	assert.Assert(t, p99 < time.Second, "99 of 100 answers within %v", p99)
}

// Guards against a limit that a restarted dispatcher does not know, while the ingresses of other nodes
// have passed it on. Load: all upstreams are limited, to less than the load.
func TestLimitHoldsAcrossRestartOfDispatcher(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, []float64{2, 2, 2, 2, 2, 2}, 10, 300*time.Millisecond)
	stop := f.restartEach(0, time.Second)
	f.load(90, contactTime+limitWindow)
	stop()
	f.checkLimits(t, "0")
}
