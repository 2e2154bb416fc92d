package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that never end since their callers do not read the answer, and that keep memory and
// hold up planned stops. A caller that reads late, and the next request on its connection, are served.
func TestRequestsOfCallersThatDoNotReadEnd(t *testing.T) {
	t.Parallel()
	const size = 32 << 20
	f := newTestFleet(t, make([]float64, 1), 5, 0)
	f.nodes[0].fault = func(w http.ResponseWriter, _ *http.Request) {
		for range size / (64 << 10) {
			w.Write(make([]byte, 64<<10))
		}
	}
	in := f.nodes[0].process.Load().ingress
	ended := make(chan struct{}, 4)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		in.ServeHTTP(w, r)
	}))
	defer s.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	request := func(c net.Conn, timeoutMs int) {
		fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop.example\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", HeaderTimeoutMs, timeoutMs)
	}
	request(dial(), 100)
	select {
	case <-ended:
	case <-time.After(callerWriteTimeout + 2*time.Second):
		t.Fatal("the request has not ended")
	}

	c := dial()
	for range 2 {
		request(c, 3000)
		time.Sleep(500 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, n, int64(size))
	}
}
