package ingress

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// A request that an upstream fails at once has used no capacity, for example one that tests whether
// the upstream has recovered. Its next attempt must not queue behind all first attempts.
func TestShortRunIsNoLoad(t *testing.T) {
	answered := outcome.Ended{Outcome: outcome.Answered}
	for _, c := range []struct {
		name         string
		e            outcome.Ended
		end          *wire.AnswerEnd
		usedCapacity bool
	}{
		{"failed at once", answered, &wire.AnswerEnd{ServedMs: 2}, false},
		{"lost at once", outcome.MayHaveRun(outcome.ReasonLostUpstream), &wire.AnswerEnd{ServedMs: 2}, false},
		{"failed after work", answered, &wire.AnswerEnd{ServedMs: 300}, true},
		{"lost with its dispatcher", outcome.MayHaveRun(outcome.ReasonLostDispatcher), nil, true},
		{"shed", outcome.HasNotRun(outcome.ReasonShed), &wire.AnswerEnd{}, true},
		{"declined", outcome.HasNotRun(outcome.ReasonBusy), &wire.AnswerEnd{}, false},
	} {
		h := &requestHandler{view: &board.View{}}
		h.recordAttempt(&board.Upstream{}, c.e, c.end)
		assert.Equal(t, h.usedCapacity, c.usedCapacity, c.name)
	}
}
