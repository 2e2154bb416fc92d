package dispatch

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/outcome"
)

// Guards against blaming an upstream for a failed call of its own: all upstreams that call a failing
// service would count as failing, and refuse work that they could do. Load: 30 requests, of which each
// makes a call that fails, or none.
func TestFailedCallIsNoEvidence(t *testing.T) {
	for _, callFails := range []bool{true, false} {
		var f *fixture
		f = newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
			began := time.Now()
			time.Sleep(2 * time.Millisecond)
			if callFails {
				f.RecordFailedRequest(began, time.Now())
			}
			w.WriteHeader(http.StatusInternalServerError)
		})
		refused := 0
		for i := range 30 {
			_, end := finish(t, begin(t, f, orderHead(string(rune('a'+i)))))
			if end.Outcome == outcome.NotRun {
				refused++
			}
		}
		if callFails {
			assert.Equal(t, refused, 0, "an upstream is blamed for its calls")
		} else {
			assert.Assert(t, refused > 20, "a failing upstream got %d of 30 requests", 30-refused)
		}
	}
}

// Guards against a failing upstream that is excused by failures that cannot be those of its calls.
func TestOnlyCallsOfTheRunExplainIt(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1_700_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		began, ended int
		want         bool
	}{
		"call of the run":            {10, 95, true},
		"began before the run":       {-5, 95, false},
		"failed long before the end": {10, 50, false},
		"failed after the end":       {10, 101, false},
	} {
		var f failedCalls
		f.record(at(c.began), at(c.ended))
		assert.Equal(t, f.explains(at(0), at(100)), c.want, name)
	}
}
