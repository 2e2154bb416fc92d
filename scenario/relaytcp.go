package scenario

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pipeChunk is the maximum size of a read in bytes.
	pipeChunk = 32 << 10
	// pipeQueue is the number of queued chunks in one direction. A full queue blocks
	// the sender, as a full TCP window does.
	pipeQueue = 64
	// relayDialTimeout bounds connecting to the target.
	relayDialTimeout = 5 * time.Second
)

// pipe is one TCP connection through a relay, with one connection to each side.
type pipe struct {
	relay  *relay
	client net.Conn
	target net.Conn
	peer   netip.Addr
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
}

// chunk is queued data with the time at which it is delivered. Nil data stands for the
// end of the stream.
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
	// A TCP handshake needs both directions: a connection that is opened during a cut
	// carries no data until the cut ends.
	if !r.faults.waitHealed(toTarget, peer, r.stop) || !r.faults.waitHealed(fromTarget, peer, r.stop) {
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
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(toTarget, c, target) })
	wg.Go(func() { p.forward(fromTarget, target, c) })
	wg.Wait()
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

// forward copies the data of one direction until the stream ends.
func (p *pipe) forward(dir direction, from, to net.Conn) {
	queue := make(chan chunk, pipeQueue)
	go p.read(dir, from, queue)
	for c := range queue {
		if !p.deliver(dir, to, c) {
			p.close()
			break
		}
	}
	// Drain the queue, so that the reader does not block on it.
	for range queue {
	}
}

// read queues the data that arrives. The end of the stream is queued too, so that cuts
// and delays apply to it as they do to data.
func (p *pipe) read(dir direction, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		b := make([]byte, pipeChunk)
		n, err := from.Read(b)
		due := time.Now().Add(p.relay.faults.delay(dir))
		if n > 0 {
			queue <- chunk{b[:n], due}
		}
		if err != nil {
			queue <- chunk{nil, due}
			return
		}
	}
}

// deliver forwards one chunk. It returns false when the connection has ended.
func (p *pipe) deliver(dir direction, to net.Conn, c chunk) bool {
	if wait := time.Until(c.due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-p.done:
			return false
		}
	}
	if !p.relay.faults.waitHealed(dir, p.peer, p.done) {
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
