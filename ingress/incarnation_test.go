package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// scriptedDialer serves the streams that are opened with one handler after the other, and opens no more.
type scriptedDialer struct{ handlers []func(link.Stream) }

func (d *scriptedDialer) Open(context.Context, string) (link.Stream, error) {
	if len(d.handlers) == 0 {
		return nil, link.ErrClosed
	}
	near, far := link.Pipe("ingress", "dispatcher")
	go d.handlers[0](far)
	d.handlers = d.handlers[1:]
	return near, nil
}

func (*scriptedDialer) Replace(string) {}
func (*scriptedDialer) Close() error   { return nil }

// Guards against "not run" for an attempt that a dispatcher got and did not acknowledge, if its successor has
// acknowledged another attempt before the ingress sees that the first one has failed.
func TestAttemptAtDispatcherThatEndedMayHaveRun(t *testing.T) {
	const ended, successor = 1, 2
	v := testView()
	v.Config.Kinds["order"].Idempotent = true
	v.Self = fleet.Node{ID: "ingress", Region: "r", FailureDomain: "d"}
	u := board.Upstream{Node: "n", LinkAddr: "n", Region: "r", FailureDomain: "d"}
	u.ID, u.Service, u.Slots = "u", "shop", 1
	v.Upstreams = map[string][]board.Upstream{"shop": {u}}
	d := &scriptedDialer{}
	in := New(Config{Log: logging.Discard(), View: func() *board.View { return v }, Dialer: d})
	in.paths.setIncarnation("n", ended)
	d.handlers = []func(link.Stream){
		func(s link.Stream) {
			for f, err := s.ReadFrame(); err == nil && f.Type != wire.FrameEnd; {
				f, err = s.ReadFrame()
			}
			in.paths.setIncarnation("n", successor)
			s.Reset()
		},
		func(s link.Stream) {
			var head wire.AttemptHead
			assert.Check(t, wire.Read(s, wire.FrameAttempt, &head))
			assert.Check(t, wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: successor, Declined: true}))
			end := wire.AnswerEnd{RequestID: head.RequestID, Outcome: outcome.NotRun, Reason: outcome.ReasonBusy}
			assert.Check(t, wire.Write(s, wire.FrameAnswerEnd, end))
		},
	}
	w := httptest.NewRecorder()
	in.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://shop.example/orders", strings.NewReader("order")))
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.Equal(t, w.Header().Get(HeaderOutcome), "unknown")
}
