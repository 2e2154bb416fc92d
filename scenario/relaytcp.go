package scenario

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pipeChunk is the most that is read at once, in bytes.
	pipeChunk = 32 << 10
	// pipeQueue bounds the chunks under way in one direction. A full queue
	// stops the sender, as a full window does.
	pipeQueue = 64
	// relayDialTimeout bounds the connection to the target.
	relayDialTimeout = 5 * time.Second
)

// pipe is one TCP connection through a relay.
type pipe struct {
	relay  *relay
	client net.Conn
	target net.Conn
	peer   netip.Addr
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
}

// chunk is data under way, and when it is due. Empty data is the end.
type chunk struct {
	data []byte
	due  time.Time
}

func (r *relay) acceptTCP() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.serveTCP(c)
	}
}

func (r *relay) serveTCP(c net.Conn) {
	peer := clientAddr(c.RemoteAddr())
	// A TCP handshake needs both directions: a connection that begins during a
	// cut carries nothing until the cut ends.
	if !r.gate.waitOpen(toTarget, peer, r.stop) || !r.gate.waitOpen(fromTarget, peer, r.stop) {
		c.Close()
		return
	}
	target, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		c.Close()
		return
	}
	p := &pipe{relay: r, client: c, target: target, peer: peer, done: make(chan struct{})}
	r.mu.Lock()
	r.pipes[p] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(toTarget, c, target) })
	both.Go(func() { p.forward(fromTarget, target, c) })
	both.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

func (p *pipe) close() {
	p.once.Do(func() {
		close(p.done)
		p.client.Close()
		p.target.Close()
	})
}

// forward copies one direction until it ends.
func (p *pipe) forward(way direction, from, to net.Conn) {
	queue := make(chan chunk, pipeQueue)
	go p.read(way, from, queue)
	for c := range queue {
		if !p.deliver(way, to, c) {
			p.close()
			break
		}
	}
	// The reader must not block on a queue that nobody reads.
	for range queue {
	}
}

// read queues what arrives. The end of the stream is queued too, so that it
// is held by cuts and delays like data.
func (p *pipe) read(way direction, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		b := make([]byte, pipeChunk)
		n, err := from.Read(b)
		due := time.Now().Add(p.relay.gate.delay(way))
		if n > 0 {
			queue <- chunk{b[:n], due}
		}
		if err != nil {
			queue <- chunk{nil, due}
			return
		}
	}
}

// deliver passes one chunk on. It returns false when the connection is over.
func (p *pipe) deliver(way direction, to net.Conn, c chunk) bool {
	if wait := time.Until(c.due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-p.done:
			return false
		}
	}
	if !p.relay.gate.waitOpen(way, p.peer, p.done) {
		return false
	}
	if p.silent.Load() {
		<-p.done
		return false
	}
	if c.data == nil {
		if t, ok := to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		return true
	}
	_, err := to.Write(c.data)
	return err == nil
}
