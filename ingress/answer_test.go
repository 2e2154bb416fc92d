package ingress

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/wire"
)

// Guards against an upstream's own server error that is thrown away for another
// attempt which brings no answer: the caller would get less than is known.
func TestSpareAnswerIsDelivered(t *testing.T) {
	w := httptest.NewRecorder()
	o := &answer{w: w}
	assert.Assert(t, !o.restore(), "nothing was set aside")
	o.head, o.body = &wire.AnswerHead{RequestID: "r", Status: 500, Headers: []wire.Header{{Name: "X-From", Value: "u1"}}}, []byte("no stock")
	o.setAside()
	o.reset()
	o.head, o.body = &wire.AnswerHead{RequestID: "r", Status: 200}, append(o.body, "half of"...)
	assert.Assert(t, o.restore())
	o.pass(&request{id: "r"})
	assert.Equal(t, w.Code, 500)
	assert.Equal(t, w.Body.String(), "no stock")
	assert.Equal(t, w.Header().Get("X-From"), "u1")
	assert.Assert(t, !o.restore(), "the caller has seen an answer")
}
