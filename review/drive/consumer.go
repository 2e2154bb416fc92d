package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// consumers send requests to the nodes of a fleet, at a fixed rate each.
type consumers struct {
	fleet *fleet
	rec   *record
	next  atomic.Int64
	wg    sync.WaitGroup
	stop  chan struct{}

	mu   sync.Mutex
	sent []*sent
}

// sent is one request of a consumer and what came of it.
type sent struct {
	id        string
	node      *machine
	route     *route
	kept      bool // sent on a connection that had served a request before
	at, ended time.Time
	status    int // 0: no complete answer
	stamp     string
	body      string
	fault     string
	gaveUp    bool // the consumer's own time limit has passed
}

// conn is a connection of a consumer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

func newConsumers(f *fleet) *consumers {
	return &consumers{fleet: f, rec: f.rec, stop: make(chan struct{})}
}

// run sends perSecond requests a second to each of the nodes until halt is called.
func (c *consumers) run(nodes []*machine, perSecond float64) {
	for _, m := range nodes {
		p := &pool{}
		c.wg.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
				}
				r := pickRoute()
				c.wg.Go(func() { c.send(m, r, p) })
			}
		})
	}
}

// halt ends the traffic and waits for the answers.
func (c *consumers) halt() {
	close(c.stop)
	c.wg.Wait()
}

func pickRoute() *route {
	x := rand.Float64()
	for i := range routes {
		if x -= routes[i].share; x < 0 {
			return &routes[i]
		}
	}
	return &routes[0]
}

// pool holds the idle connections of the consumers on a machine.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

func (p *pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// send sends one request and waits for its answer.
func (c *consumers) send(m *machine, r *route, p *pool) *sent {
	s := &sent{id: fmt.Sprintf("%08x%04x", rand.Uint32(), c.next.Add(1)), node: m, route: r, at: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	cn := p.take()
	if cn == nil {
		nc, err := net.DialTimeout("tcp", m.addr(portOutbound), time.Second)
		if err != nil {
			s.fault = err.Error()
			c.done(s)
			return s
		}
		cn = &conn{Conn: nc, reader: bufio.NewReader(nc)}
	}
	s.kept = cn.used
	s.at = time.Now()
	c.rec.add("consumer", "sends %s %s%s at %s, kept connection %v", s.id, r.method, r.prefix, m.name, s.kept)
	keep := c.exchange(cn, s)
	c.done(s)
	if keep {
		p.put(cn)
	} else {
		cn.Close()
	}
	return s
}

// exchange writes the request and reads its answer. It reports whether the connection can be kept.
func (c *consumers) exchange(cn *conn, s *sent) (keep bool) {
	limit := time.Duration(s.route.deadlineMs) * time.Millisecond
	cn.SetDeadline(s.at.Add(limit))
	cn.used = true
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", s.route.method, s.route.prefix, s.id, host, s.id, s.route.deadlineMs)
	if s.route.bodyBytes > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", s.route.bodyBytes)
	}
	b.WriteString("\r\n")
	b.Write(make([]byte, s.route.bodyBytes))
	if _, err := cn.Write(b.Bytes()); err != nil {
		s.fault = err.Error()
		return false
	}
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: s.route.method})
	if err != nil {
		s.fault, s.gaveUp = err.Error(), time.Since(s.at) >= limit
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		s.fault, s.gaveUp = err.Error(), time.Since(s.at) >= limit
		return false
	}
	s.status, s.stamp, s.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(body[:min(len(body), 80)])
	return !resp.Close && len(body) < 1<<20
}

func (c *consumers) done(s *sent) {
	s.ended = time.Now()
	c.rec.add("consumer", "%s ended with %d %s %s", s.id, s.status, s.stamp, s.fault)
}

// all returns the requests that were sent.
func (c *consumers) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.sent...)
}
