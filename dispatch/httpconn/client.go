// Package httpconn carries HTTP/1.1 exchanges with one upstream over kept connections. Unlike the
// client of net/http it binds each answer to its request: an answer with the ID of an earlier request
// on the same connection is skipped, and a connection on which anything unexpected was read is not
// used again. It never sends a request twice, and it bounds the bytes of an answer's head.
package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultIdleTimeout is how long an idle connection is kept if the upstream names no shorter
	// time. It is short because an idle connection that has gone silent cannot be distinguished from
	// a good one.
	DefaultIdleTimeout = 15 * time.Second
	// idleFraction is the fraction of the idle time that the upstream names for which a connection
	// is kept. The rest allows for a request that is on its way when that time ends.
	idleFraction = 0.75
	// dialTimeout bounds the dial to an upstream, which is on the same VM.
	dialTimeout = time.Second
)

// Errors of Do. An error that does not wrap ErrNotSent means that the upstream may have received the
// request.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("httpconn: not sent")
	// ErrStale means that a kept connection ended right after the request was sent, before the first
	// byte of an answer. The upstream had probably closed it before.
	ErrStale = errors.New("httpconn: kept connection was closed")
	// ErrForeignAnswer means that the answer belongs, or may belong, to another request.
	ErrForeignAnswer = errors.New("httpconn: the answer is not bound to the request")
	// ErrHeadTooLarge means that the head of an answer, with interim answers, is over MaxHeadBytes.
	ErrHeadTooLarge = errors.New("httpconn: the head of the answer is too large")
	// ErrMalformed means that the answer is outside the protocol: its status line, its headers or its
	// lengths.
	ErrMalformed = errors.New("httpconn: malformed answer")
)

// Config describes an upstream.
type Config struct {
	Addr string // IP and port
	// MaxConns bounds the connections that are open at the same time.
	MaxConns int
	// IDHeader is the header in which the upstream returns the ID of the request.
	IDHeader string
	// IDRequired says that the upstream returns the ID with every answer. Otherwise connections are
	// kept only once it has returned one.
	IDRequired bool
}

// Client exchanges requests with one upstream. It is safe for concurrent use.
type Client struct {
	cfg Config
	// slots holds a token for each exchange that may begin.
	slots chan struct{}

	mu     sync.Mutex
	idle   []*conn // the one used last at the end
	open   int     // connections that are open
	closed bool
	// returnsIDs is set once an answer had the ID of its request.
	returnsIDs bool
}

// New returns a client without connections.
func New(cfg Config) *Client {
	cfg.MaxConns = max(1, cfg.MaxConns)
	return &Client{cfg: cfg, slots: make(chan struct{}, cfg.MaxConns), returnsIDs: cfg.IDRequired}
}

// Close closes the idle connections. Exchanges continue, and their connections are closed when they
// end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle()
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, cn := range idle {
		cn.Close()
	}
}

// acquire returns a kept connection or a new one. The caller has a token of c.slots.
func (c *Client) acquire(ctx context.Context) (*conn, error) {
	for cn := c.takeIdle(time.Now()); cn != nil; cn = c.takeIdle(time.Now()) {
		if cn.isQuiet() {
			return cn, nil
		}
		cn.discard()
	}
	c.makeRoom()
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.cfg.Addr)
	if err != nil {
		c.countClosed()
		return nil, err
	}
	return newConn(c, nc), nil
}

// takeIdle returns the connection that was used last, or nil if all have been idle for too long. The
// most recently used one is the least likely to have been closed by the upstream.
func (c *Client) takeIdle(now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Before(cn.idleUntil) {
			cn.busy = true
			return cn
		}
		// Its watcher sees the end of the connection and counts it as closed.
		cn.Close()
	}
	return nil
}

// makeRoom counts a connection that is about to be opened. It closes the connection that has been idle
// longest if there would be too many.
func (c *Client) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.cfg.MaxConns && len(c.idle) > 0 {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	c.open++
}

func (c *Client) countClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// keep makes a connection idle after an exchange. It reports false if the connection must be closed.
func (c *Client) keep(cn *conn, idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.returnsIDs {
		return false
	}
	cn.busy, cn.idleUntil = false, time.Now().Add(idleTimeout)
	c.idle = append(c.idle, cn)
	return true
}

// keepsConns reports whether connections are kept after an exchange.
func (c *Client) keepsConns() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnsIDs && !c.closed
}

func (c *Client) setReturnsIDs(returns bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returnsIDs = returns || c.cfg.IDRequired
}

// idleTimeout returns how long a connection may be idle after an answer with these headers.
func idleTimeout(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.ParseUint(value, 10, 16)
		if err == nil && strings.EqualFold(name, "timeout") {
			limit := time.Duration(idleFraction * float64(seconds) * float64(time.Second))
			return min(limit, DefaultIdleTimeout)
		}
	}
	return DefaultIdleTimeout
}
