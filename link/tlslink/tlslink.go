// Package tlslink implements link over TLS on TCP. A connection carries one
// exchange at a time and is kept for the next one.
package tlslink

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/godwithub/godwithub/link"
)

const (
	// maxIdlePerPeer bounds the idle connections kept to one peer.
	maxIdlePerPeer = 32
	// maxIdleTotal bounds the idle connections kept to all peers together. At
	// about 40 KB each they take up to 10 MB.
	maxIdleTotal = 256
	// idleTimeout closes connections that carried nothing for this long. The
	// listener waits longer, so that the dialer is the one to close.
	idleTimeout         = 60 * time.Second
	listenerIdleTimeout = 90 * time.Second
	// handshakeTimeout bounds the TLS handshake at the listener.
	handshakeTimeout = 5 * time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Dialer opens streams over pooled TLS connections.
type Dialer struct {
	dialer tls.Dialer

	mu    sync.Mutex
	idle  map[string][]idleConn // by address, the longest idle first
	total int
	// generation counts calls of Replace by address. A connection made before
	// the last call is not kept.
	generation map[string]int
	closed     bool
	stop       chan struct{}
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// conn is a TLS connection with its read buffer.
type conn struct {
	*tls.Conn
	reader     *link.FrameReader
	buffered   *bufio.Reader
	generation int
}

func newConn(c *tls.Conn, generation int) *conn {
	br := bufio.NewReaderSize(c, readBuffer)
	return &conn{c, link.NewFrameReader(br), br, generation}
}

// NewDialer returns a dialer that connects from localIP, or from any address
// if localIP is empty.
func NewDialer(localIP string, c *tls.Config) *Dialer {
	nd := &net.Dialer{}
	if localIP != "" {
		nd.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	d := &Dialer{
		dialer:     tls.Dialer{NetDialer: nd, Config: c},
		idle:       map[string][]idleConn{},
		generation: map[string]int{},
		stop:       make(chan struct{}),
	}
	go d.closeIdle()
	return d
}

// Open implements link.Dialer.
func (d *Dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	c, generation, err := d.take(addr)
	if err != nil {
		return nil, err
	}
	if c == nil {
		nc, err := d.dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("tlslink: dial %s: %w", addr, err)
		}
		c = newConn(nc.(*tls.Conn), generation)
	}
	return &stream{conn: c, done: func() { d.put(addr, c) }}, nil
}

func (d *Dialer) take(addr string) (*conn, int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, 0, link.ErrClosed
	}
	list := d.idle[addr]
	if len(list) == 0 {
		return nil, d.generation[addr], nil
	}
	// The most recently used connection is the least likely to be closed by
	// the other side, and lets the rest run into the idle timeout.
	c := list[len(list)-1].conn
	d.setIdle(addr, list[:len(list)-1])
	return c, 0, nil
}

// setIdle replaces the idle list of addr. d.mu is held.
func (d *Dialer) setIdle(addr string, list []idleConn) {
	d.total += len(list) - len(d.idle[addr])
	if len(list) == 0 {
		delete(d.idle, addr)
		return
	}
	d.idle[addr] = list
}

func (d *Dialer) put(addr string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.idle[addr]
	if d.closed || c.generation != d.generation[addr] || len(list) >= maxIdlePerPeer || d.total >= maxIdleTotal {
		c.Close()
		return
	}
	d.setIdle(addr, append(list, idleConn{c, time.Now()}))
}

// Replace implements link.Dialer.
func (d *Dialer) Replace(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation[addr]++
	for _, i := range d.idle[addr] {
		i.conn.NetConn().Close()
	}
	d.setIdle(addr, nil)
}

func (d *Dialer) closeIdle() {
	tick := time.NewTicker(idleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case now := <-tick.C:
			d.closeIdleSince(now.Add(-idleTimeout))
		}
	}
}

func (d *Dialer) closeIdleSince(limit time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, list := range d.idle {
		n := 0
		for n < len(list) && list[n].since.Before(limit) {
			list[n].conn.Close()
			n++
		}
		d.setIdle(addr, list[n:])
	}
}

// Close implements link.Dialer. Open streams go on.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	close(d.stop)
	for addr, list := range d.idle {
		for _, i := range list {
			i.conn.Close()
		}
		d.setIdle(addr, nil)
	}
	return nil
}

// Listener accepts streams over TLS connections.
type Listener struct {
	queue    *link.AcceptQueue
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen accepts TLS connections on addr, an IP and TCP port.
func Listen(addr string, c *tls.Config) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("tlslink: %w", err)
	}
	l := &Listener{queue: link.NewAcceptQueue(), listener: ln, conns: map[net.Conn]struct{}{}}
	go l.acceptConnections(c)
	return l, nil
}

func (l *Listener) acceptConnections(c *tls.Config) {
	for {
		nc, err := l.listener.Accept()
		if err != nil {
			l.queue.Close()
			return
		}
		l.track(nc, true)
		go func() {
			defer l.track(nc, false)
			l.serve(tls.Server(nc, c))
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

// serve passes each exchange on c to Accept, one after the other.
func (l *Listener) serve(tc *tls.Conn) {
	defer tc.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	err := tc.HandshakeContext(ctx)
	cancel()
	if err != nil {
		return
	}
	c := newConn(tc, 0)
	for {
		tc.SetReadDeadline(time.Now().Add(listenerIdleTimeout))
		if _, err := c.buffered.Peek(1); err != nil {
			return
		}
		tc.SetReadDeadline(time.Time{})
		ended := make(chan bool, 1)
		s := &stream{conn: c, done: func() { ended <- true }, broken: func() { ended <- false }}
		if !l.queue.Put(s) || !<-ended {
			return
		}
	}
}

// Accept implements link.Listener.
func (l *Listener) Accept(ctx context.Context) (link.Stream, error) { return l.queue.Accept(ctx) }

// Addr implements link.Listener.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close implements link.Listener. Connections are closed as well.
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

type stream struct {
	conn *conn
	out  []byte
	once sync.Once
	// done and broken end the exchange; broken may be nil.
	done, broken func()
}

func (s *stream) ReadFrame() (link.Frame, error) { return s.conn.reader.ReadFrame() }

func (s *stream) BufferFrame(t link.FrameType, payload []byte) error {
	var err error
	s.out, err = link.AppendFrame(s.out, t, payload)
	return err
}

func (s *stream) WriteFrame(t link.FrameType, payload []byte) error {
	if err := s.BufferFrame(t, payload); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	return err
}

func (s *stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

func (s *stream) Reset() {
	s.once.Do(func() {
		// Closing the TCP connection directly skips the TLS closing alert,
		// whose write could block on a silent connection.
		s.conn.NetConn().Close()
		if s.broken != nil {
			s.broken()
		}
	})
}

func (s *stream) Close() error {
	s.once.Do(func() {
		s.conn.SetReadDeadline(time.Time{})
		s.done()
	})
	return nil
}

func (s *stream) PeerName() string {
	certs := s.conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}
