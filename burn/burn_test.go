package burn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/resource"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = Key{"shop", "browse"}
)

func testConfig() *resource.Config {
	s := resource.NewSet(resource.Version{Epoch: 1})
	s.Put(&resource.Rank{Meta: resource.Meta{Name: "normal"}, Level: 1})
	s.Put(&resource.RequestKind{Meta: resource.Meta{Name: "browse"}, Service: "shop", Rank: "normal", AvailabilityObjective: 0.99})
	return resource.Compile(s)
}

// Guards against requests that are counted twice or not at all when messages are lost, repeated or
// late, or when a node restarts.
func TestSumsAreExactDespiteLossAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(start)
		now, incarnation, startedAt := start, uint64(1), start
		r := NewRecorder()
		var requests, confirmed uint64
		var sent []Totals
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"ask", "send", "lose", "repeat", "restart"}).Draw(t, "step") {
			case "ask":
				r.Add(now, key, Counts{Requests: 1})
				requests++
			case "send":
				m := Totals{"n", incarnation, now.Sub(startedAt).Milliseconds(), r.ChangedSince(time.Time{}), true}
				s.Add(now, m)
				sent, confirmed = append(sent, m), requests
			case "repeat":
				if len(sent) > 0 {
					s.Add(now, rapid.SampledFrom(sent).Draw(t, "message"))
				}
			case "restart":
				incarnation, startedAt, r, requests = incarnation+1, now, NewRecorder(), confirmed
			}
		}
		assert.Equal(t, s.sum(now, time.Hour)[key].Requests, confirmed)
	})
}

// Guards against a burn rate that is not relative to the objective, and against a window that counts
// requests from before its start.
func TestBurn(t *testing.T) {
	s := NewStore(start)
	s.Add(start, Totals{"n", 1, 0, []Entry{{key, Counts{Requests: 1000, Answered: 980, InTime: 980}}}, true})
	later := start.Add(30 * time.Minute)
	s.Add(later, Totals{"n", 1, 0, []Entry{{key, Counts{Requests: 1100, Answered: 1080, InTime: 1080}}}, false})
	row := s.Report(later, testConfig()).Rows[0]
	assert.Equal(t, row.Windows[0].Requests, uint64(100))
	assert.Equal(t, row.Windows[0].Burn, 0.0)
	assert.Equal(t, row.Windows[1].Requests, uint64(1100))
	assert.Assert(t, row.Windows[1].Burn > 1.81 && row.Windows[1].Burn < 1.82)
	assert.Assert(t, row.BudgetUsed == row.Windows[3].Burn && row.Objective > 0.989 && row.Objective < 0.991)
}

// Guards against counts from before a restart of the control VM that are counted as new ones.
func TestFirstTotalsOfOldProcessAreBaseline(t *testing.T) {
	s := NewStore(start)
	hour := time.Hour.Milliseconds()
	assert.Assert(t, s.Add(start, Totals{"n", 1, hour, []Entry{{key, Counts{Requests: 1000}}}, false}).SendFullTotals)
	assert.Assert(t, !s.Add(start, Totals{"n", 1, hour, []Entry{{key, Counts{Requests: 1000}}}, true}).SendFullTotals)
	s.Add(start, Totals{"n", 1, hour, []Entry{{key, Counts{Requests: 1010}}}, false})
	assert.Equal(t, s.sum(start, time.Hour)[key].Requests, uint64(10))
}
