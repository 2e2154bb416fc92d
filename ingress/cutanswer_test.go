package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/httpdrain"
)

// Guards against an answer that was cut and looks complete to a caller of HTTP/1.0, for whom an answer without a length
// ends with the connection.
func TestCutAnswerIsNotCompleteForOldCallers(t *testing.T) {
	const size = 4 * maxBuffered
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("cut: ", cut), func(t *testing.T) {
			f := newTestFleet(t, make([]float64, 1), 1, 0)
			f.nodes[0].fault = func(w http.ResponseWriter, _ *http.Request) {
				http.NewResponseController(w).Flush() // no length
				io.WriteString(w, strings.Repeat("x", size))
				http.NewResponseController(w).Flush()
				if cut {
					panic(http.ErrAbortHandler)
				}
			}
			callers := httptest.NewUnstartedServer(f.nodes[0].process.Load().ingress)
			callers.Listener = httpdrain.Listener(ListenForCallers(callers.Listener))
			callers.Start()
			t.Cleanup(callers.Close)
			c, err := net.Dial("tcp", callers.Listener.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			io.WriteString(c, "POST /orders HTTP/1.0\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
			b, err := io.ReadAll(c)
			assert.Equal(t, err != nil, cut, "read %d bytes", len(b))
			assert.Assert(t, cut || strings.HasSuffix(string(b), strings.Repeat("x", size)), strconv.Itoa(len(b)))
		})
	}
}
