package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// Guards against answers that occupy memory long after the last resend of their attempt, and against
// an attempt that runs again after its answer was dropped.
func TestAnswersAreDroppedBeforeIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		attach := func(id string) (*attempt, bool) {
			return r.attach(id, time.Now().Add(time.Second), func(*attempt) {})
		}
		a, isNew := attach("a")
		assert.Assert(t, isNew && a.start(nil))
		a.keepHead(&wire.AnswerHead{Status: 200})
		a.keepBody(make([]byte, 5000))
		r.finish(a, wire.AnswerEnd{Outcome: outcome.Answered})
		time.Sleep(answerRetention / 2)
		again, isNew := attach("a")
		_, body, kept := again.answer()
		assert.Assert(t, !isNew && kept && len(body) == 5000, "a resend gets the answer")
		time.Sleep(answerRetention)
		again, isNew = attach("a")
		assert.Assert(t, !isNew && !again.start(nil), "the attempt is still known")
		_, body, kept = again.answer()
		assert.Assert(t, !kept && body == nil && r.keptBytes == 0)
		time.Sleep(attemptRetention)
		attach("b")
		assert.Assert(t, !r.knows("a"))
	})
}
