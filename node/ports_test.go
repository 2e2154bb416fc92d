package node

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
)

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Guards against requests whose head or body does not end, and which take memory or a connection of a
// node without limit.
func TestEndlessRequestsToLocalPorts(t *testing.T) {
	// After a refusal, net/http reads another 256 KiB of a body, here in chunks of one byte.
	const maxBytes, maxChunkedBytes = 64 << 10, 2 << 20
	for name, request := range map[string]struct {
		head, unit string
		pause      time.Duration
		maxBytes   int
	}{
		"head":        {"GET / HTTP/1.1\r\n", "A: " + strings.Repeat("a", 1000) + "\r\n", 0, maxBytes},
		"body":        {"PUT /v1/upstreams/u HTTP/1.1\r\nHost: u\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n", 0, maxChunkedBytes},
		"slow head":   {"GET / HTTP/1.1\r\n", "A: a\r\n", 50 * time.Millisecond, maxBytes},
		"slow body":   {"PUT /v1/upstreams/u HTTP/1.1\r\nHost: u\r\nContent-Length: 10000\r\n\r\n", " ", 50 * time.Millisecond, maxBytes},
		"ignored one": {"DELETE /v1/upstreams/u HTTP/1.1\r\nHost: u\r\nContent-Length: 10000\r\n\r\n", " ", 50 * time.Millisecond, maxBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLocalServer(announce.Handler(ignoredAnnouncements{}, logging.Discard()))
			near, far := net.Pipe()
			conns := make(chan net.Conn, 1)
			conns <- far
			go s.Serve(oneConn{conns: conns})
			go io.Copy(io.Discard, near)
			began := time.Now()
			written, err := io.WriteString(near, request.head)
			for err == nil && time.Since(began) < 2*localRequestTimeout {
				var n int
				n, err = io.WriteString(near, request.unit)
				written += n
				time.Sleep(request.pause)
			}
			assert.Assert(t, err != nil, "the connection is open after %v", time.Since(began))
			assert.Assert(t, written <= request.maxBytes, "%d bytes were read", written)
		})
	}
}

type ignoredAnnouncements struct{ announce.Sink }

func (ignoredAnnouncements) Withdraw(id fleet.UpstreamID) {}
