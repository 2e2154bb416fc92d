package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
)

func testView() *board.View {
	s := resource.NewSet(resource.Version{Epoch: 1})
	s.Advance()
	for _, o := range []resource.Object{
		&resource.Rank{Meta: resource.Meta{Name: "urgent"}, Level: 0},
		&resource.Service{Meta: resource.Meta{Name: "shop"}, Floor: 1},
		&resource.Route{Meta: resource.Meta{Name: "r"}, Host: "shop.example", PathPrefix: "/", Service: "shop"},
		&resource.RequestKind{Meta: resource.Meta{Name: "order"}, Service: "shop", Method: "POST", Path: "/orders", Rank: "urgent", DeadlineMs: 1000},
	} {
		s.Put(o)
	}
	return &board.View{Config: resource.Compile(s)}
}

const validRequest = "POST /orders?x=1 HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: k1\r\nContent-Length: 3\r\n\r\nabc"

// parseWhole parses the head of a request and reads its body.
func parseWhole(v *board.View, r *http.Request) (*request, error) {
	in := New(Config{})
	rq, err := in.parse(v, r, time.Now())
	if err == nil {
		err = in.readBody(v, rq, httptest.NewRecorder())
	}
	return rq, err
}

// Guards against invalid requests that crash a node or are run, and against refusals that do not
// name the invalid field.
func TestRefusalNamesTheBadField(t *testing.T) {
	for _, c := range []struct {
		replace, with string
		reason        outcome.Reason
		names         string
	}{
		{"shop.example", "other.example", outcome.ReasonNoRoute, "other.example"},
		{"/orders", "/unknown", outcome.ReasonNoKind, "/unknown"},
		{"POST", "PUT", outcome.ReasonNoKind, "PUT"},
		{"k1", "k 1", outcome.ReasonBadRequest, "Idempotency-Key"},
		{"k1", strings.Repeat("k", 256), outcome.ReasonBadRequest, "Idempotency-Key"},
		{"Idempotency-Key: k1", "Idempotency-Key: k1\r\nIdempotency-Key: k2", outcome.ReasonBadRequest, "Idempotency-Key"},
		{"Idempotency-Key: k1", "Godwithub-Timeout-Ms: -1", outcome.ReasonBadRequest, "Godwithub-Timeout-Ms"},
		{"Idempotency-Key: k1", "Godwithub-Timeout-Ms: x", outcome.ReasonBadRequest, "Godwithub-Timeout-Ms"},
		{"Idempotency-Key: k1", "Godwithub-Caller: Bad_Name", outcome.ReasonBadRequest, "Godwithub-Caller"},
		{"Content-Length: 3", "Content-Length: 9", outcome.ReasonBadRequest, "body"},
		{"Content-Length: 3", "Content-Length: 1048577", outcome.ReasonTooLarge, "1048577"},
	} {
		_, err := parseText(t, strings.Replace(validRequest, c.replace, c.with, 1))
		var r *refusal
		assert.Assert(t, errors.As(err, &r), "%s: %v", c.with, err)
		assert.Equal(t, r.reason, c.reason, c.with)
		assert.Assert(t, strings.Contains(r.message, c.names), "%q does not name %s", r.message, c.names)
	}
}

func parseText(t *testing.T, text string) (*request, error) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	assert.NilError(t, err)
	return parseWhole(testView(), r)
}

// Guards against a caller's timeout that extends the deadline of the request kind, and against a
// fingerprint that differs when the same request is sent again.
func TestParse(t *testing.T) {
	rq, err := parseText(t, validRequest)
	assert.NilError(t, err)
	assert.Equal(t, rq.key, "k1")
	assert.Equal(t, rq.deadline.Sub(rq.began), time.Second)
	again, err := parseText(t, validRequest)
	assert.NilError(t, err)
	assert.Equal(t, rq.fingerprint, again.fingerprint)
	assert.Assert(t, rq.id != again.id)

	for header, want := range map[string]time.Duration{"50": 50 * time.Millisecond, "600000": time.Second} {
		rq, err = parseText(t, strings.Replace(validRequest, "Idempotency-Key: k1", "Godwithub-Timeout-Ms: "+header, 1))
		assert.NilError(t, err)
		assert.Equal(t, rq.deadline.Sub(rq.began), want)
	}
}

// Guards against a caller's request that crashes the node. A request that parse accepts must be
// valid to send on to a dispatcher.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte("GET http://shop.example:80/%2F?a#b HTTP/1.0\r\n\r\n"))
	f.Add([]byte("POST /orders HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	v := testView()
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		rq, err := parseWhole(v, r)
		var refused *refusal
		if err != nil {
			assert.Assert(t, errors.As(err, &refused))
			return
		}
		head := rq.head("a", &board.Upstream{}, false, time.Now())
		assert.Equal(t, head.BodyBytes, int64(len(rq.body.Held())))
		head.URL("127.0.0.1:1")
	})
}

// Guards against reporting "not run" because the latest attempt has not run, although an earlier
// one may have run.
func TestCombineOutcomes(t *testing.T) {
	notRun := outcome.HasNotRun(outcome.ReasonPathDown)
	unknown := outcome.MayHaveRun(outcome.ReasonLostUpstream)
	answered := outcome.Ended{Outcome: outcome.Answered}
	assert.Equal(t, combineOutcomes(notRun, notRun, false), notRun)
	assert.Equal(t, combineOutcomes(unknown, notRun, true), unknown)
	assert.Equal(t, combineOutcomes(answered, notRun, true).Outcome, outcome.Unknown)
	assert.Equal(t, combineOutcomes(unknown, answered, true), answered)
}
