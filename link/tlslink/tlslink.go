// Package tlslink implements link over TLS on TCP. A connection carries one
// exchange at a time and is kept for the next one.
//
// Without TLS settings it runs on plain TCP, for platforms that hand out no
// keys. The name of a peer is then its IP address.
package tlslink

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
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
	// dialTimeout bounds a new connection with its TLS handshake.
	dialTimeout = 2 * time.Second
	// maxDialing bounds the handshakes in progress with one peer.
	maxDialing = 4
	// handshakeTimeout bounds the TLS handshake at the listener.
	handshakeTimeout = 5 * time.Second
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Dialer opens streams over pooled TLS connections.
type Dialer struct {
	// connect makes a new connection, with its handshake.
	connect func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
	idle  int // idle connections to all peers
	// generations counts the generations given out to all peers.
	generations int
	closed      bool
	stop        chan struct{}
}

// peer is the pool of connections to one address.
type peer struct {
	idle []idleConn // the longest idle first
	// waiters are calls of Open that wait for a connection, the oldest first.
	waiters []chan dialed
	dialing int
	// generation changes with each call of Replace. A connection of an earlier
	// generation is not kept.
	generation int
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// dialed is what a waiting Open gets.
type dialed struct {
	conn *conn
	err  error
}

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	reader     *link.FrameReader
	buffered   *bufio.Reader
	generation int
}

func newConn(c net.Conn, generation int) *conn {
	br := bufio.NewReaderSize(c, readBuffer)
	return &conn{c, link.NewFrameReader(br), br, generation}
}

// abort closes the TCP connection without the closing alert of TLS, whose write
// could block on a connection gone silent.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*tls.Conn); ok {
		tc.NetConn().Close()
		return
	}
	c.Conn.Close()
}

// NewDialer returns a dialer that connects from localIP, or from any address
// if localIP is empty. Without c it uses plain TCP.
func NewDialer(localIP string, c *tls.Config) *Dialer {
	nd := &net.Dialer{}
	if localIP != "" {
		nd.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	d := &Dialer{
		connect: nd.DialContext,
		peers:   map[string]*peer{},
		stop:    make(chan struct{}),
	}
	if c != nil {
		d.connect = (&tls.Dialer{NetDialer: nd, Config: c}).DialContext
	}
	go d.closeIdle()
	return d
}

// Open implements link.Dialer. It takes an idle connection, or else whichever
// comes first: a new connection, or one that another exchange gives back.
// Dialling for each waiting call without a bound would let a short stall turn
// into a storm of handshakes that keeps the stall going.
func (d *Dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	c, wait, err := d.take(addr)
	if err != nil {
		return nil, err
	}
	if c == nil {
		select {
		case r := <-wait:
			c, err = r.conn, r.err
		case <-ctx.Done():
			c, err = d.stopWaiting(addr, wait), ctx.Err()
		}
		if c == nil {
			return nil, fmt.Errorf("tlslink: dial %s: %w", addr, err)
		}
	}
	return &stream{FrameWriter: link.NewFrameWriter(c), conn: c, done: func() { d.put(addr, c) }}, nil
}

// take returns an idle connection, or a channel that will bring one.
func (d *Dialer) take(addr string) (*conn, chan dialed, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, link.ErrClosed
	}
	p := d.peers[addr]
	if p == nil {
		d.generations++
		p = &peer{generation: d.generations}
		d.peers[addr] = p
	}
	if n := len(p.idle); n > 0 {
		// The most recently used connection is the least likely to be closed by
		// the other side, and lets the rest run into the idle timeout.
		c := p.idle[n-1].conn
		p.idle = p.idle[:n-1]
		d.idle--
		return c, nil, nil
	}
	wait := make(chan dialed, 1)
	p.waiters = append(p.waiters, wait)
	d.dial(addr, p)
	return nil, wait, nil
}

// dial starts as many dials as are allowed and waited for. d.mu is held.
func (d *Dialer) dial(addr string, p *peer) {
	for p.dialing < min(maxDialing, len(p.waiters)) {
		p.dialing++
		generation := p.generation
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			nc, err := d.connect(ctx, "tcp", addr)
			d.mu.Lock()
			defer d.mu.Unlock()
			p.dialing--
			if err != nil {
				p.hand(dialed{err: err})
			} else if c := newConn(nc, generation); !p.hand(dialed{conn: c}) {
				d.keep(p, c)
			}
			d.dial(addr, p)
		}()
	}
}

// hand gives r to the longest waiting Open, if any. The dialer's mu is held.
func (p *peer) hand(r dialed) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- r
	p.waiters = p.waiters[1:]
	return true
}

// stopWaiting withdraws a waiting Open whose context ended. A connection that
// came in the meantime is kept by the caller.
func (d *Dialer) stopWaiting(addr string, wait chan dialed) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A peer with a waiter is never dropped, but one whose last waiter has just
	// been served may be.
	if p := d.peers[addr]; p != nil {
		if i := slices.Index(p.waiters, wait); i >= 0 {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			return nil
		}
	}
	return (<-wait).conn
}

func (d *Dialer) put(addr string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	if d.closed || p == nil || c.generation != p.generation {
		c.abort()
		return
	}
	if !p.hand(dialed{conn: c}) {
		d.keep(p, c)
	}
}

// keep adds c to the idle connections, or closes it if there are enough. d.mu
// is held.
func (d *Dialer) keep(p *peer, c *conn) {
	if d.closed || c.generation != p.generation || len(p.idle) >= maxIdlePerPeer || d.idle >= maxIdleTotal {
		c.abort()
		return
	}
	p.idle = append(p.idle, idleConn{c, time.Now()})
	d.idle++
}

// Replace implements link.Dialer.
func (d *Dialer) Replace(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	if p == nil {
		return
	}
	d.generations++
	p.generation = d.generations
	for _, i := range p.idle {
		i.conn.abort()
	}
	d.idle -= len(p.idle)
	p.idle = nil
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
	for addr, p := range d.peers {
		n := 0
		for n < len(p.idle) && p.idle[n].since.Before(limit) {
			p.idle[n].conn.abort()
			n++
		}
		p.idle = slices.Delete(p.idle, 0, n)
		d.idle -= n
		if len(p.idle)+len(p.waiters)+p.dialing == 0 {
			delete(d.peers, addr)
		}
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
	for _, p := range d.peers {
		for _, i := range p.idle {
			i.conn.abort()
		}
		d.idle -= len(p.idle)
		p.idle = nil
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

// Listen accepts TLS connections on addr, an IP and TCP port. Without c it
// accepts plain TCP.
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

// serve passes each exchange on c to Accept, one after the other.
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
		ended := make(chan bool, 1)
		s := &stream{FrameWriter: link.NewFrameWriter(c), conn: c, done: func() { ended <- true }, broken: func() { ended <- false }}
		if !l.queue.Put(s) || !<-ended {
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
	*link.FrameWriter
	conn *conn
	once sync.Once
	// done and broken end the exchange; broken may be nil.
	done, broken func()
}

func (s *stream) ReadFrame() (link.Frame, error) { return s.conn.reader.ReadFrame() }

func (s *stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

func (s *stream) Reset() {
	s.once.Do(func() {
		s.conn.abort()
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
	tc, ok := s.conn.Conn.(*tls.Conn)
	if !ok {
		host, _, _ := net.SplitHostPort(s.conn.RemoteAddr().String())
		return host
	}
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}
