// Package tlslink implements package link over TLS on TCP. A connection carries one exchange at a
// time, and is kept for the next one.
//
// Without a TLS configuration it uses plain TCP, for platforms that provide no keys. The name of a
// peer is then its IP address.
package tlslink

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
)

const (
	// maxIdlePerPeer bounds the idle connections kept to one peer.
	maxIdlePerPeer = 32
	// maxIdleTotal bounds the idle connections kept to all peers together. At about 40 KB each, they
	// take up to 10 MB.
	maxIdleTotal = 256
	// idleTimeout is how long the dialer keeps an idle connection. The listener waits longer; see
	// listenerIdleTimeout.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds making a connection, including its TLS handshake.
	dialTimeout = 2 * time.Second
	// silentAfter is how long a stream has to have been open without an answer, when it is reset, for the
	// idle connections to the same peer to be given up.
	silentAfter = 100 * time.Millisecond
	// maxDialing bounds the connections to one peer that are being made at the same time.
	maxDialing = 4
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Dialer opens streams over pooled TLS connections.
type Dialer struct {
	// connect makes a new connection, including its TLS handshake.
	connect func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
	idle  int // idle connections to all peers
	// lastGeneration is the generation that was assigned last, to any peer.
	lastGeneration int
	closed         bool
	stop           chan struct{}
}

// peer is the connection pool of one address.
type peer struct {
	idle []idleConn // the longest idle first
	// waiters holds a channel for each call of Open that waits for a connection, the oldest first.
	waiters []chan dialResult
	dialing int // connections being made
	// generation changes with each call of Replace. Connections of an earlier generation are not
	// kept.
	generation int
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// dialResult is what a waiting Open receives.
type dialResult struct {
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

// closeTCP closes the TCP connection without sending the TLS close_notify alert, since that write
// could block if the peer no longer responds. What was written is still sent.
func (c *conn) closeTCP() { c.tcp().Close() }

// abort closes the connection like closeTCP, but drops the bytes that are not sent yet. Otherwise the
// system would go on sending them, and they could arrive long after the stream was given up.
func (c *conn) abort() {
	nc := c.tcp()
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// isClosedByPeer reports whether the peer is known to have closed the connection.
func (c *conn) isClosedByPeer() bool {
	tcp, ok := c.tcp().(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = closedByPeer(fd) })
	return closed || err != nil
}

func (c *conn) tcp() net.Conn {
	if tc, ok := c.Conn.(*tls.Conn); ok {
		return tc.NetConn()
	}
	return c.Conn
}

// NewDialer returns a dialer that connects from localIP, or from any address if localIP is empty.
// If c is nil, it uses plain TCP.
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
	go d.runIdleCloser()
	return d
}

// Open implements link.Dialer. It uses an idle connection if there is one, and otherwise whichever
// is available first: a new connection, or one released by another exchange. The number of
// concurrent dials is bounded, since one dial per waiting call could turn a short stall into a
// storm of handshakes that prolongs it.
func (d *Dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	c, wait, err := d.acquire(addr)
	if err != nil {
		return nil, err
	}
	if c == nil {
		select {
		case r := <-wait:
			c, err = r.conn, r.err
		case <-ctx.Done():
			c, err = d.cancelWait(addr, wait), ctx.Err()
		}
		if c == nil {
			return nil, fmt.Errorf("tlslink: dial %s: %w", addr, err)
		}
	}
	s := &stream{FrameWriter: link.NewFrameWriter(c), conn: c, onClose: func() { d.release(addr, c) }}
	opened := time.Now()
	s.onReset = func() {
		if !s.hasRead.Load() && time.Since(opened) >= silentAfter {
			d.closeIdleOf(addr, opened)
		}
	}
	return s, nil
}

// acquire returns an idle connection, or a channel that will deliver a connection or an error.
func (d *Dialer) acquire(addr string) (*conn, chan dialResult, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, link.ErrClosed
	}
	p := d.peers[addr]
	if p == nil {
		d.lastGeneration++
		p = &peer{generation: d.lastGeneration}
		d.peers[addr] = p
	}
	if c := d.takeIdle(p); c != nil {
		return c, nil, nil
	}
	wait := make(chan dialResult, 1)
	p.waiters = append(p.waiters, wait)
	d.startDials(addr, p)
	return nil, wait, nil
}

// takeIdle removes an idle connection of p and returns it, or nil if there is none. It drops those that the peer
// has closed: an exchange over them would fail, and its caller could not tell whether the peer had got it.
// d.mu must be held.
func (d *Dialer) takeIdle(p *peer) *conn {
	for n := len(p.idle); n > 0; n-- {
		// The most recently used connection is the least likely to have been closed by the other
		// side. Using it lets the others reach the idle timeout.
		c := p.idle[n-1].conn
		p.idle = p.idle[:n-1]
		d.idle--
		if !c.isClosedByPeer() {
			return c
		}
		c.closeTCP()
	}
	return nil
}

// startDials starts dials until there is one for each waiter or maxDialing are in progress. d.mu
// must be held.
func (d *Dialer) startDials(addr string, p *peer) {
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
				p.deliver(dialResult{err: err})
			} else if c := newConn(nc, generation); !p.deliver(dialResult{conn: c}) {
				d.addIdle(p, c)
			}
			d.startDials(addr, p)
		}()
	}
}

// deliver passes r to the Open that has waited longest, and reports whether there was one. The
// dialer's mu must be held.
func (p *peer) deliver(r dialResult) bool {
	if len(p.waiters) == 0 {
		return false
	}
	p.waiters[0] <- r
	p.waiters = p.waiters[1:]
	return true
}

// cancelWait removes the waiter of an Open whose context has ended. If a connection was delivered
// in the meantime, cancelWait returns it and Open uses it.
func (d *Dialer) cancelWait(addr string, wait chan dialResult) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A peer with a waiter is never removed, but p may be nil if the waiter has just been
	// served.
	if p := d.peers[addr]; p != nil {
		if i := slices.Index(p.waiters, wait); i >= 0 {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			return nil
		}
	}
	return (<-wait).conn
}

func (d *Dialer) release(addr string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	if d.closed || p == nil || c.generation != p.generation {
		c.closeTCP()
		return
	}
	if !p.deliver(dialResult{conn: c}) {
		d.addIdle(p, c)
	}
}

// addIdle adds c to the idle connections, or closes it if there are enough or it must not be used
// again. d.mu must be held.
func (d *Dialer) addIdle(p *peer, c *conn) {
	if d.closed || c.generation != p.generation || len(p.idle) >= maxIdlePerPeer || d.idle >= maxIdleTotal {
		c.closeTCP()
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
	d.lastGeneration++
	p.generation = d.lastGeneration
	for _, idle := range p.idle {
		idle.conn.closeTCP()
	}
	d.idle -= len(p.idle)
	p.idle = nil
}

// closeIdleOf closes the connections to a peer that have been idle since before a time. It is called when a
// stream got no answer: what has made its connection silent may have done the same to them.
func (d *Dialer) closeIdleOf(addr string, before time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[addr]; p != nil {
		d.closeOldestIdle(p, before)
	}
}

// closeOldestIdle closes the connections of p that have been idle since before a time. d.mu must be held.
func (d *Dialer) closeOldestIdle(p *peer, before time.Time) {
	n := 0
	for n < len(p.idle) && p.idle[n].since.Before(before) {
		p.idle[n].conn.closeTCP()
		n++
	}
	p.idle = slices.Delete(p.idle, 0, n)
	d.idle -= n
}

func (d *Dialer) runIdleCloser() {
	tick := time.NewTicker(idleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case now := <-tick.C:
			d.closeIdleBefore(now.Add(-idleTimeout))
		}
	}
}

func (d *Dialer) closeIdleBefore(limit time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, p := range d.peers {
		d.closeOldestIdle(p, limit)
		if len(p.idle)+len(p.waiters)+p.dialing == 0 {
			delete(d.peers, addr)
		}
	}
}

// Close implements link.Dialer. Open streams are not affected.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	close(d.stop)
	for _, p := range d.peers {
		for _, idle := range p.idle {
			idle.conn.closeTCP()
		}
		d.idle -= len(p.idle)
		p.idle = nil
	}
	return nil
}

type stream struct {
	*link.FrameWriter
	conn *conn
	once sync.Once
	// hasRead is set once a frame was read.
	hasRead atomic.Bool
	// onClose is called by Close, and onReset by Reset unless it is nil. Only one of them is called.
	onClose, onReset func()
}

func (s *stream) ReadFrame() (link.Frame, error) {
	f, err := s.conn.reader.ReadFrame()
	if err == nil && !s.hasRead.Load() {
		s.hasRead.Store(true)
	}
	return f, err
}

func (s *stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

func (s *stream) Reset() {
	s.once.Do(func() {
		s.conn.abort()
		if s.onReset != nil {
			s.onReset()
		}
	})
}

func (s *stream) Close() error {
	s.once.Do(func() {
		s.conn.SetReadDeadline(time.Time{})
		s.onClose()
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

func (s *stream) PeerHasRole(role string) bool {
	tc, ok := s.conn.Conn.(*tls.Conn)
	if !ok {
		return true
	}
	certs := tc.ConnectionState().PeerCertificates
	return len(certs) > 0 && slices.Contains(certs[0].DNSNames, role)
}
