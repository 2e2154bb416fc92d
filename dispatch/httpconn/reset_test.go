package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessBody is the body of an upload that goes on until it is closed.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an answer that was reset on its way and is taken for complete, since the reset was reported to the
// writer of the request: the reader then sees the end of the connection.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const attempts = 40
	for answer, text := range map[string]string{
		"no length":      "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart",
		"no length, 1.0": "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\npart",
		"no body yet":    "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"chunks":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"length":         "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\npart",
		"within head":    "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
		"before head":    "",
	} {
		for upload, length := range map[string]int64{"length": 1 << 30, "chunks": -1} {
			t.Run(fmt.Sprint(answer, ", upload by ", upload), func(t *testing.T) {
				u := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
					io.WriteString(c, text)
					time.Sleep(2 * time.Millisecond) // the request is still being written
					c.(*net.TCPConn).SetLinger(0)
					return false
				})
				complete := 0
				for range attempts {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					resp, err := u.client(true).Do(ctx, newRequest(endlessBody{}, length), "a")
					if err == nil {
						if _, err = io.ReadAll(resp.Body); err == nil {
							complete++
						}
						resp.Body.Close()
					}
					cancel()
				}
				assert.Equal(t, complete, 0, "of %d", attempts)
			})
		}
	}
}

// Guards against a complete answer that counts as cut off, since it ends with its connection while the request is
// still being written, or since the connection is reset after its end.
func TestEarlyAnswerByCloseIsComplete(t *testing.T) {
	for upload, length := range map[string]int64{"length": 1 << 30, "chunks": -1} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(upload, ", reset afterwards: ", reset), func(t *testing.T) {
				read, hasReset := make(chan struct{}), make(chan struct{})
				u := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole")
					c.(*net.TCPConn).CloseWrite()
					if reset {
						c.(*net.TCPConn).SetLinger(0)
						c.Close()
					}
					close(hasReset)
					<-read
					return false
				})
				defer close(read)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				resp, err := u.client(true).Do(ctx, newRequest(endlessBody{}, length), "a")
				assert.NilError(t, err)
				<-hasReset
				b, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(b), "whole")
			})
		}
	}
}

// silentBody gives no bytes until it is closed.
type silentBody struct{ closed chan struct{} }

func (b silentBody) Read([]byte) (int, error) { <-b.closed; return 0, errors.New("closed") }

// Guards against an answer that waits for a caller whose upload has stalled.
func TestAnswerByCloseDoesNotWaitForTheUpload(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole")
		return false
	})
	body := silentBody{make(chan struct{})}
	defer close(body.closed)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := u.client(true).Do(ctx, newRequest(body, 1<<30), "a")
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "whole")
}
