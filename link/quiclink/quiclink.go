// Package quiclink implements package link over QUIC. Each exchange has a QUIC stream of its own,
// on one of a few connections to the peer.
package quiclink

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/godwithub/godwithub/link"
)

const (
	// alpnProtocol is the ALPN protocol name of links.
	alpnProtocol = "godwithub-link/1"
	// idleTimeout is how long a connection may receive nothing before it is closed.
	idleTimeout = 60 * time.Second
	// maxStreams is how many streams a peer may have open on one connection.
	maxStreams = 4096
	// resetCode is the application error code of a reset stream.
	resetCode = 1
	// readBuffer is the size of a stream's read buffer, in bytes.
	readBuffer = 4 << 10
	// closeDelay is how long a listener serves its connections on before it closes them: a stream of a closed
	// connection drops the bytes that were not read yet. It covers a round trip between regions.
	closeDelay = 100 * time.Millisecond
	// closeCode is the application error code of a connection that a listener has closed.
	closeCode = 0
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

func withProtocol(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.NextProtos = []string{alpnProtocol}
	return c
}

// Dialer opens streams over QUIC. It keeps up to connsPerPeer connections to each peer and uses
// them round-robin.
type Dialer struct {
	tls          *tls.Config
	transport    *quic.Transport
	connsPerPeer int

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

type peer struct {
	opening int // calls of Open in progress; guarded by Dialer.mu

	mu    sync.Mutex
	conns []*quic.Conn
	next  int
	// generation is the number of calls of Replace.
	generation int
}

// NewDialer returns a dialer that sends from its own UDP socket, bound to localIP if that is not
// empty. A connsPerPeer below 1 counts as 1.
func NewDialer(localIP string, c *tls.Config, connsPerPeer int) (*Dialer, error) {
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(localIP)})
	if err != nil {
		return nil, fmt.Errorf("quiclink: %w", err)
	}
	return &Dialer{
		tls:          withProtocol(c),
		transport:    &quic.Transport{Conn: udp},
		connsPerPeer: max(1, connsPerPeer),
		peers:        map[string]*peer{},
	}, nil
}

// beginOpen returns the peer at addr. It is kept until endOpen is called.
func (d *Dialer) beginOpen(addr string) (*peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, link.ErrClosed
	}
	p := d.peers[addr]
	if p == nil {
		maps.DeleteFunc(d.peers, func(_ string, p *peer) bool { return p.opening == 0 && !p.connected() })
		p = &peer{}
		d.peers[addr] = p
	}
	p.opening++
	return p, nil
}

func (d *Dialer) endOpen(p *peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.opening--
}

// Open implements link.Dialer.
func (d *Dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	p, err := d.beginOpen(addr)
	if err != nil {
		return nil, err
	}
	defer d.endOpen(p)
	conn, err := d.connection(ctx, p, addr)
	if err != nil {
		return nil, err
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("quiclink: open stream to %s: %w", addr, err)
	}
	return newStream(s, conn), nil
}

func (d *Dialer) connection(ctx context.Context, p *peer, addr string) (*quic.Conn, error) {
	p.mu.Lock()
	p.dropClosed()
	if len(p.conns) >= d.connsPerPeer {
		conn := p.conns[p.next%len(p.conns)]
		p.next++
		p.mu.Unlock()
		return conn, nil
	}
	generation := p.generation
	p.mu.Unlock()

	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("quiclink: %w", err)
	}
	conn, err := d.transport.Dial(ctx, udpAddr, d.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("quiclink: dial %s: %w", addr, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// A connection that was dialed before a call of Replace, or concurrently with others that have
	// filled conns since, is not kept and carries a single stream.
	if generation == p.generation && len(p.conns) < d.connsPerPeer {
		p.conns = append(p.conns, conn)
	}
	return conn, nil
}

// connected reports whether the peer has an open connection.
func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropClosed()
	return len(p.conns) > 0
}

func (p *peer) dropClosed() {
	kept := p.conns[:0]
	for _, c := range p.conns {
		if c.Context().Err() == nil {
			kept = append(kept, c)
		}
	}
	clear(p.conns[len(kept):])
	p.conns = kept
}

// Replace implements link.Dialer.
func (d *Dialer) Replace(addr string) {
	d.mu.Lock()
	p := d.peers[addr]
	d.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = nil
	p.generation++
}

// Close implements link.Dialer.
func (d *Dialer) Close() error {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	err := d.transport.Close()
	d.transport.Conn.Close()
	return err
}

// Listener accepts streams over QUIC.
type Listener struct {
	queue    *link.AcceptQueue
	listener *quic.Listener

	mu     sync.Mutex
	conns  map[*quic.Conn]struct{}
	closed bool
}

// Listen returns a listener for QUIC connections on addr, an IP and UDP port.
func Listen(addr string, c *tls.Config) (*Listener, error) {
	ln, err := quic.ListenAddr(addr, withProtocol(c), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("quiclink: %w", err)
	}
	l := &Listener{queue: link.NewAcceptQueue(), listener: ln, conns: map[*quic.Conn]struct{}{}}
	go l.acceptConnections()
	return l, nil
}

func (l *Listener) acceptConnections() {
	for {
		conn, err := l.listener.Accept(context.Background())
		if err != nil {
			l.queue.Close()
			return
		}
		go l.acceptStreams(conn)
	}
}

// track adds an accepted connection. It reports false if the listener is closed.
func (l *Listener) track(conn *quic.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.conns[conn] = struct{}{}
	}
	return !l.closed
}

func (l *Listener) forget(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Listener) hasConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > 0
}

// stopTracking returns the open connections. No more are added.
func (l *Listener) stopTracking() []*quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return slices.Collect(maps.Keys(l.conns))
}

func (l *Listener) acceptStreams(conn *quic.Conn) {
	if !l.track(conn) {
		conn.CloseWithError(closeCode, "")
		return
	}
	defer l.forget(conn)
	for {
		s, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		stream := newStream(s, conn)
		if !l.queue.Put(stream) {
			stream.Reset()
		}
	}
}

// Accept implements link.Listener.
func (l *Listener) Accept(ctx context.Context) (link.Stream, error) { return l.queue.Accept(ctx) }

// Addr implements link.Listener.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close implements link.Listener. It also closes the accepted connections, after closeDelay: the end of a process sends
// nothing to its peers, which would use the connections until they find them silent.
func (l *Listener) Close() error {
	if l.hasConns() {
		time.Sleep(closeDelay)
	}
	l.queue.Close()
	err := l.listener.Close()
	for _, conn := range l.stopTracking() {
		conn.CloseWithError(closeCode, "")
	}
	return err
}

type stream struct {
	*link.FrameReader
	*link.FrameWriter
	s    *quic.Stream
	conn *quic.Conn
}

func newStream(s *quic.Stream, conn *quic.Conn) *stream {
	return &stream{link.NewFrameReader(bufio.NewReaderSize(s, readBuffer)), link.NewFrameWriter(s), s, conn}
}

func (s *stream) SetReadDeadline(t time.Time) error { return s.s.SetReadDeadline(t) }

func (s *stream) Reset() {
	s.s.CancelRead(resetCode)
	s.s.CancelWrite(resetCode)
}

// Close ends both directions. The side that closes first asks the other side to stop sending, so
// the other side's Close may fail because its direction has ended already. After a complete
// exchange that is not an error, and it is ignored.
func (s *stream) Close() error {
	s.s.CancelRead(resetCode)
	s.s.Close()
	return nil
}

func (s *stream) PeerName() string {
	certs := s.conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func (s *stream) PeerHasRole(role string) bool {
	certs := s.conn.ConnectionState().TLS.PeerCertificates
	return len(certs) > 0 && slices.Contains(certs[0].DNSNames, role)
}
