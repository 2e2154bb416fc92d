package ingress

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// Guards against a request that an upstream failed at once, as those that test
// whether it has recovered, and that waits behind all first attempts afterwards.
func TestShortRunIsNoLoad(t *testing.T) {
	answered := outcome.Ended{Outcome: outcome.Answered}
	for _, c := range []struct {
		name   string
		e      outcome.Ended
		end    *wire.AnswerEnd
		loaded bool
	}{
		{"failed at once", answered, &wire.AnswerEnd{ServedMs: 2}, false},
		{"lost at once", outcome.MayHaveRun(outcome.ReasonLostUpstream), &wire.AnswerEnd{ServedMs: 2}, false},
		{"failed after work", answered, &wire.AnswerEnd{ServedMs: 300}, true},
		{"lost with its dispatcher", outcome.MayHaveRun(outcome.ReasonLostDispatcher), nil, true},
		{"shed", outcome.HasNotRun(outcome.ReasonShed), &wire.AnswerEnd{}, true},
		{"declined", outcome.HasNotRun(outcome.ReasonBusy), &wire.AnswerEnd{}, false},
	} {
		s := &serving{v: &board.View{}}
		s.noteUpstream(&board.Upstream{}, c.e, c.end)
		assert.Equal(t, s.loaded, c.loaded, c.name)
	}
}
