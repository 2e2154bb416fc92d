package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

// silentDispatcher acknowledges attempts, and then sends nothing but repeated acknowledgements.
func silentDispatcher(ctx context.Context, s link.Stream, _ link.Frame) {
	defer s.Reset()
	for wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: 1}) == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wire.AckInterval / 4):
		}
	}
}

// Guards against a process that exits with requests in flight, whose callers then get no answer.
func TestInterruptAnswersRequests(t *testing.T) {
	mux := link.NewMux(logging.Discard())
	mux.Handle(wire.FrameAttempt, silentDispatcher)
	v := testView()
	v.Upstreams = map[string][]board.Upstream{"shop": {{Upstream: fleet.Upstream{ID: "u", Service: "shop", Slots: 1}, Node: "n", LinkAddr: "self"}}}
	in := New(Config{Log: logging.Discard(), View: func() *board.View { return v }, Dialer: &link.LocalDialer{Addr: "self", Name: "a", Mux: mux}})
	time.AfterFunc(100*time.Millisecond, in.Interrupt)
	w := httptest.NewRecorder()
	began := time.Now()
	in.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://shop.example/orders", nil))
	assert.Assert(t, time.Since(began) < 800*time.Millisecond, "%v", time.Since(began))
	assert.Assert(t, w.Code >= 500, "%d %s", w.Code, w.Body)
}
