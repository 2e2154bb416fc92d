package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests and answers that are refused, or answers that are lost after their request has run, since a
// header value has bytes above 0x7f; and against other bytes that no header may have and that reach an upstream.
func TestBytesOfHeaderValues(t *testing.T) {
	f := newTestFleet(t, make([]float64, 1), 1, 0)
	received := make(chan string, 1)
	f.nodes[0].fault = func(w http.ResponseWriter, r *http.Request) {
		note := r.Header.Get("X-Note")
		received <- note
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Disposition: "+note+"\r\nContent-Length: 2\r\n\r\nok")
	}
	callers := httptest.NewServer(f.nodes[0].process.Load().ingress)
	t.Cleanup(callers.Close)
	for value, status := range map[string]int{
		"plain": 200, "caf\xe9": 200, "caf\u00e9": 200, "\xff\x80 \xfe": 200, "tab\tbed": 200,
		"bell\x07": 400, "del\x7f": 400, "nul\x00": 400,
	} {
		c, err := net.Dial("tcp", callers.Listener.Addr().String())
		assert.NilError(t, err)
		fmt.Fprintf(c, "POST /orders HTTP/1.1\r\nHost: shop.example\r\nX-Note: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", value)
		b, err := io.ReadAll(c)
		c.Close()
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(b), fmt.Sprintf("HTTP/1.1 %d ", status)), "%q: %.200q", value, b)
		if status == http.StatusOK {
			assert.Equal(t, <-received, value)
			assert.Assert(t, strings.Contains(string(b), "Content-Disposition: "+value+"\r\n"), "%q", b)
		}
		assert.Equal(t, len(received), 0)
	}
}
