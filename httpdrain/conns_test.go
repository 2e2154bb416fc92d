package httpdrain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refuseAll starts a server that refuses all requests without reading their bodies. It returns its address.
func refuseAll(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	conns := New()
	s := &http.Server{ConnState: conns.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "refused")
	})}
	go s.Serve(Listener(ln))
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// Guards against a refusal that is lost because the connection is reset while the caller still writes its
// body: such callers read the answer only afterwards.
func TestRefusalReachesACallerThatWritesOn(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", refuseAll(t))
	assert.NilError(t, err)
	defer c.Close()
	const parts, size = 20, 1 << 20
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts*size)
	for range parts {
		_, err := c.Write(make([]byte, size))
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "refused")
}

// Guards against connections that are kept for callers which neither read their refusal nor go on writing.
func TestIdleCallerIsNotWaitedForLong(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", refuseAll(t))
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, err = c.Write(make([]byte, 300<<10))
	assert.NilError(t, err)
	began := time.Now()
	for err == nil {
		_, err = c.Write([]byte{0})
		if err == nil {
			// The first byte after the end of the wait is answered by a reset.
			time.Sleep(lingerIdle + time.Second)
		}
	}
	assert.Assert(t, time.Since(began) < 4*(lingerIdle+time.Second))
}
