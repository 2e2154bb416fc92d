package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const idHeader = "X-Id"

// rawUpstream is an upstream whose bytes a test writes itself.
type rawUpstream struct {
	net.Listener
	conns atomic.Int64
}

// startUpstream calls serve for each request, with the number of the request on its connection. serve
// returns false to close the connection.
func startUpstream(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) *rawUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &rawUpstream{Listener: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil || !serve(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func (u *rawUpstream) client(required bool) *Client {
	return New(Config{Addr: u.Addr().String(), MaxConns: 8, IDHeader: idHeader, IDRequired: required})
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func drainRequest(r *http.Request) { io.Copy(io.Discard, r.Body) }

func newRequest(body io.Reader, length int64) *http.Request {
	r, _ := http.NewRequest("POST", "http://upstream/path", nil)
	if body != nil {
		r.Body, r.ContentLength = io.NopCloser(body), length
	}
	return r
}

// get sends a request without a body and returns the whole body of its answer.
func get(t *testing.T, c *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r := newRequest(nil, 0)
	r.Header.Set(idHeader, id)
	resp, err := c.Do(ctx, r, id)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a second copy of an answer that reaches the next caller on the connection: glued to
// the first answer, on the idle connection, or after the next request was sent. In the last case the
// right answer follows and is delivered.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	for name, copyAfter := range map[string]time.Duration{"glued": 0, "idle": 20 * time.Millisecond, "with the next": -1} {
		t.Run(name, func(t *testing.T) {
			var answers sync.Map // last answer by connection
			u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
				id := r.Header.Get(idHeader)
				answer := answerTo(id, "for "+id)
				switch {
				case copyAfter == 0:
					io.WriteString(c, answer+answer)
				case copyAfter > 0:
					io.WriteString(c, answer)
					time.Sleep(copyAfter)
					io.WriteString(c, answer)
				default:
					if last, ok := answers.Swap(c, answer); ok {
						io.WriteString(c, last.(string))
						time.Sleep(time.Millisecond)
					}
					io.WriteString(c, answer)
				}
				return true
			})
			c := u.client(true)
			for i := range 6 {
				id := fmt.Sprint("r", i)
				body, err := get(t, c, id)
				assert.NilError(t, err)
				assert.Equal(t, body, "for "+id)
				time.Sleep(copyAfter * 2)
			}
			assert.Assert(t, u.conns.Load() >= 3, "a connection with an unexpected answer was used again")
		})
	}
}

// Guards against an answer without an ID that is taken for the answer to another request: connections
// of an upstream that returns no IDs are not kept.
func TestAnswersWithoutIDsAreNotMixed(t *testing.T) {
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		body := r.Header.Get(idHeader)
		io.WriteString(c, strings.Repeat(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 2))
		return true
	})
	c := u.client(false)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		body, err := get(t, c, id)
		assert.NilError(t, err)
		assert.Equal(t, body, id)
	}
	assert.Equal(t, u.conns.Load(), int64(5))
	_, err := get(t, u.client(true), "x")
	assert.ErrorIs(t, err, ErrForeignAnswer)
}

// Guards against bytes that are no answer, or not all of it, and reach a caller as a complete success
// or take memory or time without bound.
func TestBrokenAnswers(t *testing.T) {
	endless := func(c net.Conn, head, unit string) {
		io.WriteString(c, head)
		for {
			if _, err := io.WriteString(c, unit); err != nil {
				return
			}
		}
	}
	id := idHeader + ": r\r\n"
	tests := map[string]struct {
		serve func(c net.Conn)
		want  error
	}{
		"no answer":  {func(c net.Conn) { io.WriteString(c, "\x00\x01garbage\r\n\r\n") }, nil},
		"closed":     {func(c net.Conn) {}, io.ErrUnexpectedEOF},
		"head cut":   {func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id) }, io.ErrUnexpectedEOF},
		"body short": {func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"Content-Length: 9\r\n\r\nfour") }, io.ErrUnexpectedEOF},
		"no last chunk": {func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")
		}, io.ErrUnexpectedEOF},
		"reset at the end": {func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id+"\r\nfour")
			time.Sleep(5 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}, nil},
		"head endless":    {func(c net.Conn) { endless(c, "HTTP/1.1 200 OK\r\n", "A: "+strings.Repeat("a", 1000)+"\r\n") }, ErrHeadTooLarge},
		"line endless":    {func(c net.Conn) { endless(c, "", "aaaaaaaaaaaaaaaa") }, ErrHeadTooLarge},
		"interim endless": {func(c net.Conn) { endless(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n") }, ErrHeadTooLarge},
		"switch": {func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")
		}, nil},
		"other's": {func(c net.Conn) { io.WriteString(c, answerTo("other", "x")) }, ErrForeignAnswer},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool { test.serve(c); return false })
			_, err := get(t, u.client(true), "r")
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
			if test.want != nil {
				assert.ErrorIs(t, err, test.want)
			}
		})
	}
}

// Guards against an upload that blocks because the upstream answers before it has read the body, and
// against a later request whose bytes are taken for the rest of that body.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	const size = 8 << 20
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		id := r.Header.Get(idHeader)
		io.WriteString(c, answerTo(id, "early"))
		time.Sleep(10 * time.Millisecond)
		read, _ := io.Copy(io.Discard, r.Body)
		return read == r.ContentLength
	})
	c := u.client(true)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		r := newRequest(bytes.NewReader(make([]byte, size)), size)
		r.Header.Set(idHeader, id)
		resp, err := c.Do(t.Context(), r, id)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "early")
	}
	assert.Equal(t, u.conns.Load(), int64(4), "a connection was used again before the body was sent")
}

// Guards against a request that is reported as not sent although the upstream got it, and against one
// that is reported as possibly run although nothing was sent.
func TestNotSentIsTrue(t *testing.T) {
	var runs atomic.Int64
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		drainRequest(r)
		runs.Add(1)
		io.WriteString(c, answerTo(r.Header.Get(idHeader), ""))
		return n < 2
	})
	c := u.client(true)
	notSent := int64(0)
	for i := range 200 {
		if _, err := get(t, c, fmt.Sprint("r", i)); errors.Is(err, ErrNotSent) {
			notSent++
		}
	}
	assert.Assert(t, runs.Load() <= 200-notSent, "%d runs, %d reported as not sent", runs.Load(), notSent)
	u.Close()
	c.Close()
	_, err := get(t, u.client(true), "x")
	assert.ErrorIs(t, err, ErrNotSent)
}

// Guards against a caller that leaves and whose request the upstream goes on with, and against a slot
// that it keeps.
func TestCanceledExchangeClosesItsConnection(t *testing.T) {
	closed := make(chan struct{}, 100)
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 10\r\n\r\n")
		c.Read(make([]byte, 1))
		closed <- struct{}{}
		return false
	})
	c := u.client(true)
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		resp, err := c.Do(ctx, newRequest(nil, 0), "r")
		assert.NilError(t, err)
		cancel()
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil)
		<-closed
	}
}

// Guards against idle connections that are used after the upstream has closed them.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	assert.Equal(t, idleTimeout(http.Header{}), DefaultIdleTimeout)
	assert.Equal(t, idleTimeout(http.Header{"Keep-Alive": {"max=5, timeout=4"}}), 3*time.Second)
	assert.Equal(t, idleTimeout(http.Header{"Keep-Alive": {"timeout=1000"}}), DefaultIdleTimeout)
	assert.Equal(t, idleTimeout(http.Header{"Keep-Alive": {"timeout=0"}}), time.Duration(0))
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get(idHeader))
		return true
	})
	c := u.client(true)
	for i := range 3 {
		_, err := get(t, c, fmt.Sprint("r", i))
		assert.NilError(t, err)
	}
	assert.Equal(t, u.conns.Load(), int64(3))
}

// Guards against answers that are mixed up, connections over the limit, and lost bodies when many
// callers share an upstream that closes connections, answers late and sends copies at random.
func TestConcurrentExchanges(t *testing.T) {
	var open, peak atomic.Int64
	u := startUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		peak.Store(max(peak.Load(), open.Add(1)))
		defer open.Add(-1)
		body, _ := io.ReadAll(r.Body)
		answer := answerTo(r.Header.Get(idHeader), string(body))
		io.WriteString(c, answer)
		switch rand.IntN(20) {
		case 0:
			return false
		case 1:
			io.WriteString(c, answer)
		}
		return true
	})
	c := u.client(true)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for worker := range 30 {
		wg.Go(func() {
			for i := range 100 {
				id := fmt.Sprintf("%d-%d", worker, i)
				want := strings.Repeat(id, rand.IntN(2000))
				r := newRequest(strings.NewReader(want), int64(len(want)))
				r.Header.Set(idHeader, id)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := c.Do(ctx, r, id)
				if err == nil {
					var b []byte
					if b, err = io.ReadAll(resp.Body); err == nil && string(b) != want {
						t.Errorf("request %s got an answer of %d bytes, want %d", id, len(b), len(want))
					}
				}
				if err != nil {
					failed.Add(1)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, peak.Load() <= 8)
	assert.Assert(t, failed.Load() < 600, "%d of 3000 requests failed", failed.Load())
}
