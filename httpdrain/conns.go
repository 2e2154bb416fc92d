// Package httpdrain ends an HTTP server without cutting off requests. http.Server.Shutdown closes
// connections on which a request has just been read; here, every request of which something was read
// is answered.
package httpdrain

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unreadTimeout bounds, in a planned stop, the wait for the rest of requests whose heads were
	// read in part when the stop began.
	unreadTimeout = time.Second
	// firstByteTimeout bounds the wait for the first byte on a connection that was accepted just
	// before the listener closed. A client sends it one round trip after it has connected.
	firstByteTimeout = 200 * time.Millisecond
	// finishPollInterval is the time between two looks at the connections.
	finishPollInterval = 10 * time.Millisecond
)

// Conns tracks the connections of one server.
type Conns struct {
	mu    sync.Mutex
	conns map[*conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a tracker without connections.
func New() *Conns { return &Conns{conns: map[*conn]connState{}} }

// Track is the ConnState function of the server.
func (c *Conns) Track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	cn := nc.(*conn)
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, cn)
		return
	}
	c.conns[cn] = connState{state, time.Now()}
}

// closeUnused closes the connections without a request. It returns how many of the others have a
// request that is being answered, and how many have one that is being read or may be on its way.
func (c *Conns) closeUnused(now time.Time) (answering, unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cn, s := range c.conns {
		switch {
		case s.state == http.StateActive:
			answering++
		case s.state == http.StateNew && now.Sub(s.since) < firstByteTimeout, !cn.closeIfUnread(s.since):
			// Until the whole head has been read, the server reports a connection as new or idle.
			unread++
		}
	}
	return answering, unread
}

// Finish closes the connections as they become unused. It is called after the listener was closed, and
// returns once all requests are answered or ctx ends. Requests of which only a part of the head was read
// are waited for until unreadTimeout.
func (c *Conns) Finish(ctx context.Context) error {
	start := time.Now()
	tick := time.NewTicker(finishPollInterval)
	defer tick.Stop()
	for {
		answering, unread := c.closeUnused(time.Now())
		if answering == 0 && (unread == 0 || time.Since(start) >= unreadTimeout) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Listener returns the listener that the server has to serve. Closing ln ends Serve with
// http.ErrServerClosed.
func Listener(ln net.Listener) net.Listener { return listener{ln} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		return nil, http.ErrServerClosed
	case err != nil:
		return nil, err
	}
	return &conn{Conn: nc}, nil
}

// conn is a connection that is closed as unused only if nothing was read from it.
type conn struct {
	net.Conn
	mu       sync.Mutex
	lastRead time.Time
	closed   bool
	// lingering is set once linger will close the connection.
	lingering bool
}

// Read implements net.Conn. Bytes that arrive after closeIfUnread are not delivered, so that no part
// of their request counts as read.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, io.EOF
	}
	c.lastRead = time.Now()
	return n, err
}

// closeIfUnread closes the connection unless something was read since the given time. It reports
// whether it is closed.
func (c *conn) closeIfUnread(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRead.After(since) {
		return false
	}
	if !c.closed {
		c.closed = true
		c.Conn.Close()
	}
	return true
}
