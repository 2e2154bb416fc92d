package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch/httpconn"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// endlessBody is a body that goes on until the client closes the connection.
type endlessBody struct {
	length string // announced; empty: none
	piece  []byte
	pause  time.Duration // between two pieces
}

// answer answers with a server error that has the body.
func (b endlessBody) answer(w http.ResponseWriter, r *http.Request) {
	if b.length != "" {
		w.Header().Set("Content-Length", b.length)
	}
	w.WriteHeader(http.StatusInternalServerError)
	// The server notices the end of the connection once the body of the request has been read.
	io.Copy(io.Discard, r.Body)
	for r.Context().Err() == nil {
		if _, err := w.Write(b.piece); err != nil && err != http.ErrContentLength {
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(b.pause)
	}
}

// fastEndless is an endless body that comes as fast as it is read.
var fastEndless = endlessBody{piece: make([]byte, 64<<10)}

// peakHeap calls f and returns the largest growth of the heap meanwhile, in bytes.
func peakHeap(f func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	start, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	for {
		select {
		case <-done:
			return peak - start
		case <-time.After(10 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
}

// Guards against server errors whose body does not end, which fill the memory of the node that holds them
// back, and keep their requests from being retried.
func TestEndlessServerErrorsAreRetried(t *testing.T) {
	const requests, maxHeap = 40, 64 << 20
	for name, body := range map[string]endlessBody{
		"as fast as read": fastEndless,
		"with a length":   {length: strconv.Itoa(1 << 40), piece: make([]byte, 64<<10)},
		"one byte a time": {piece: []byte("x"), pause: 20 * time.Millisecond},
		"in a small body": {length: "1000", piece: []byte("x"), pause: 20 * time.Millisecond},
		"no byte":         {length: "1000", pause: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, make([]float64, 8), 20, 10*time.Millisecond, func(f *testFleet) {
				f.idempotent, f.retryRatio, f.retrySlack = true, 1, 1000
			})
			for _, n := range f.nodes[:2] {
				n.fault = body.answer
			}
			var results []callerResult
			heap := peakHeap(func() { results = f.load(requests, time.Second) })
			assert.Check(t, heap < maxHeap, "the heap grew by %d MB", heap>>20)
			n, slowest := answered(results)
			assert.Equal(t, n, len(results), "slowest %v", slowest)
		})
	}
}

// Guards against a long server error that is cut or replaced although no other attempt is allowed.
func TestLongServerErrorIsDelivered(t *testing.T) {
	body := strings.Repeat("reason ", 50_000)
	for name, idempotent := range map[string]bool{"not idempotent": false, "no retry left": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, make([]float64, 2), 5, 0, func(f *testFleet) { f.idempotent = idempotent })
			for _, n := range f.nodes {
				n.fault = func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusInternalServerError)
					w.Write([]byte(body))
				}
			}
			in := f.nodes[0].process.Load().ingress
			if idempotent {
				useRetryBudget(in)
			}
			w := httptest.NewRecorder()
			in.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://shop.example/orders", nil))
			assert.Equal(t, w.Code, http.StatusInternalServerError)
			assert.Assert(t, w.Body.String() == body, "%d of %d bytes", w.Body.Len(), len(body))
		})
	}
}

// useRetryBudget uses up the retry budget of the test service.
func useRetryBudget(in *Ingress) {
	for r := in.retriesOf("shop"); r.wouldAllow(time.Now()); {
		r.budget.Allow(time.Now())
	}
}

// Guards against an upstream whose server errors do not end and that still counts as sound.
func TestEndlessServerErrorIsEvidence(t *testing.T) {
	f := newTestFleet(t, make([]float64, 2), 20, 0, func(f *testFleet) {
		f.idempotent, f.retryRatio, f.retrySlack = true, 1, 1000
	})
	var mu sync.Mutex
	hits := 0
	f.nodes[0].fault = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		hits++
		mu.Unlock()
		fastEndless.answer(w, r)
	}
	results := f.load(100, time.Second)
	n, _ := answered(results)
	assert.Equal(t, n, len(results))
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, hits <= len(results)/10, "%d of %d requests went to the failing upstream", hits, len(results))
}

// Guards against a long head of an answer, which fits the limit of HTTP but not a frame between nodes, and
// makes the path to the node of its upstream count as failed.
func TestLongHeadIsNoPathFailure(t *testing.T) {
	f := newTestFleet(t, make([]float64, 2), 5, 0, func(f *testFleet) { f.idempotent = true })
	f.nodes[0].fault = func(w http.ResponseWriter, _ *http.Request) {
		// A short field takes more bytes in a frame than in HTTP.
		for range httpconn.MaxHeadBytes/len("A: bc\r\n") - 100 {
			w.Header().Add("A", "bc")
		}
	}
	in := f.nodes[0].process.Load().ingress
	for range 4 {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://shop.example/orders", nil))
		assert.Equal(t, w.Code, http.StatusOK)
	}
	assert.Assert(t, !in.paths.hasFailed("n0"))
}

// Guards against refused requests with long paths that fill the memory of the node by the traces of requests.
func TestTracesOfLongPathsAreShort(t *testing.T) {
	f := newTestFleet(t, make([]float64, 1), 5, 0)
	in := f.nodes[0].process.Load().ingress
	path := "/" + strings.Repeat("é", MaxHeaderBytes/2)
	for range 10 {
		r := httptest.NewRequest(http.MethodPut, "http://other.example/", nil)
		r.URL.Path = path
		in.ServeHTTP(httptest.NewRecorder(), r)
	}
	for _, trace := range in.trace.ring {
		assert.Assert(t, trace.Message != "" && len(trace.Message) <= maxMessageBytes+len("..."), "%d bytes", len(trace.Message))
	}
	assert.Equal(t, len(in.trace.ring), 10)
}

// Guards against the retry of an endless server error that waits behind all first attempts: the upstream failed
// at once and used no capacity.
func TestEndlessServerErrorKeepsTheRequestsPlace(t *testing.T) {
	mux := link.NewMux(logging.Discard())
	var heads []wire.AttemptHead
	mux.Handle(wire.FrameAttempt, func(_ context.Context, s link.Stream, first link.Frame) {
		defer s.Close()
		var head wire.AttemptHead
		assert.Check(t, wire.Decode(first.Payload, &head))
		heads = append(heads, head)
		wire.Write(s, wire.FrameAck, wire.Ack{Incarnation: 1})
		if len(heads) > 1 {
			wire.Write(s, wire.FrameAnswerEnd, &wire.AnswerEnd{RequestID: head.RequestID, Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline})
			return
		}
		wire.Write(s, wire.FrameAnswer, &wire.AnswerHead{RequestID: head.RequestID, Status: http.StatusInternalServerError, BodyBytes: -1})
		for s.WriteFrame(wire.FrameData, make([]byte, 32<<10)) == nil {
		}
	})
	v := testView()
	v.Config.Kinds["order"].Idempotent = true
	v.Upstreams = map[string][]board.Upstream{"shop": nil}
	for _, id := range []fleet.UpstreamID{"u1", "u2"} {
		v.Upstreams["shop"] = append(v.Upstreams["shop"], board.Upstream{Upstream: fleet.Upstream{ID: id, Service: "shop", Slots: 1}, Node: "n", LinkAddr: "self"})
	}
	in := New(Config{Log: logging.Discard(), View: func() *board.View { return v }, Dialer: &link.LocalDialer{Addr: "self", Name: "a", Mux: mux}})
	in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://shop.example/orders", nil))
	assert.Equal(t, len(heads), 2)
	assert.Assert(t, heads[1].MayHaveRun && !heads[1].Retry)
}
