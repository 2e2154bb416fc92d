package tlslink

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/godwithub/godwithub/link"
)

const (
	// listenerIdleTimeout is longer than idleTimeout, so that it is the dialer that closes a connection.
	listenerIdleTimeout = 90 * time.Second
	// handshakeTimeout bounds the TLS handshake at the listener.
	handshakeTimeout = 5 * time.Second
	// acceptRetryDelay is the wait after a failed accept, as when the process has no descriptor left.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener accepts streams over TLS connections.
type Listener struct {
	queue    *link.AcceptQueue
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen returns a listener for TLS connections on addr, an IP and TCP port. If c is nil, it
// accepts plain TCP.
func Listen(addr string, c *tls.Config) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("tlslink: %w", err)
	}
	return newListener(ln, c), nil
}

func newListener(ln net.Listener, c *tls.Config) *Listener {
	l := &Listener{queue: link.NewAcceptQueue(), listener: ln, conns: map[net.Conn]struct{}{}}
	go l.acceptConnections(c)
	return l
}

func (l *Listener) acceptConnections(c *tls.Config) {
	for {
		nc, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			l.queue.Close()
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.track(nc, true)
		go func() {
			defer l.track(nc, false)
			l.serve(nc, c)
		}()
	}
}

func (l *Listener) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = struct{}{}
	} else {
		delete(l.conns, c)
	}
}

// serve queues a stream for each exchange on nc, one after the other.
func (l *Listener) serve(nc net.Conn, config *tls.Config) {
	defer nc.Close()
	if config != nil {
		tc := tls.Server(nc, config)
		if handshake(tc) != nil {
			return
		}
		defer tc.Close()
		nc = tc
	}
	c := newConn(nc, 0)
	for {
		c.SetReadDeadline(time.Now().Add(listenerIdleTimeout))
		if _, err := c.buffered.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		reusable := make(chan bool, 1)
		s := &stream{FrameWriter: link.NewFrameWriter(c), conn: c, onClose: func() { reusable <- true }, onReset: func() { reusable <- false }}
		if !l.queue.Put(s) || !<-reusable {
			return
		}
	}
}

func handshake(tc *tls.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return tc.HandshakeContext(ctx)
}

// Accept implements link.Listener.
func (l *Listener) Accept(ctx context.Context) (link.Stream, error) { return l.queue.Accept(ctx) }

// Addr implements link.Listener.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close implements link.Listener. It also closes the accepted connections.
func (l *Listener) Close() error {
	l.queue.Close()
	err := l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
	return err
}
