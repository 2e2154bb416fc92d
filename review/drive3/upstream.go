package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in of an application server on a side machine.
type upstream struct {
	machine *machine
	id      string
	service string
	slots   int
	born    int64
	// behave answers a request. It returns false if the connection is to be closed.
	behave func(u *upstream, c *exchange) bool

	ln       net.Listener
	sequence atomic.Int64
	state    atomic.Value // string
	stop     chan struct{}
	stopOnce sync.Once
	mu       sync.Mutex
	conns    map[net.Conn]bool
	acked    atomic.Int64 // heartbeats
}

// exchange is a request at an upstream.
type exchange struct {
	upstream *upstream
	conn     net.Conn
	reader   *bufio.Reader
	req      *http.Request
	body     []byte
	id       string
}

func newUpstream(m *machine, id string, slots int, behave func(*upstream, *exchange) bool) (*upstream, error) {
	ln, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		machine: m, id: id, service: m.service, slots: slots, born: time.Now().UnixMilli(), behave: behave, ln: ln,
		stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	u.state.Store("ready")
	go u.accept()
	return u, nil
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

// close ends the upstream as if its process had been killed.
func (u *upstream) close() {
	u.stopOnce.Do(func() { close(u.stop) })
	u.ln.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.Close()
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x := &exchange{upstream: u, conn: c, reader: r, req: req, id: req.Header.Get("X-Attempt-Id")}
		if req.URL.Path == "/healthz" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+u.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !u.behave(u, x) {
			return
		}
	}
}

// readBody reads the whole body of the request.
func (x *exchange) readBody() error {
	b, err := io.ReadAll(x.req.Body)
	x.body = b
	return err
}

// expected reports whether the request is for this upstream.
func (x *exchange) expected() bool {
	e := x.req.Header.Get("X-Expect-Instance")
	return e == "" || e == x.upstream.id
}

func (x *exchange) write(s string) bool {
	_, err := io.WriteString(x.conn, s)
	return err == nil
}

// head returns the head of an answer without the headers that say where its body ends.
func (x *exchange) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\n", status, http.StatusText(status), x.id, x.stamp(status))
}

// stamp returns the signature of an answer of this upstream.
func (x *exchange) stamp(status int) string { return stampOf(x.upstream.id, x.id, status) }

func stampOf(upstream, id string, status int) string {
	sum := sha256.Sum256([]byte(upstream + " " + id + " " + strconv.Itoa(status)))
	return upstream + "." + hex.EncodeToString(sum[:6])
}

// wrongInstance is the answer to a request for another upstream.
func (x *exchange) wrongInstance() bool {
	return x.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + x.id + "\r\nX-Instance-Id: " + x.upstream.id + "\r\nContent-Length: 0\r\n\r\n")
}

// answer sends a complete answer with a length.
func (x *exchange) answer(status int, body []byte) bool {
	return x.write(x.head(status) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body))
}

// heartbeat sends one announcement and returns the status of the answer.
func (u *upstream) heartbeat() int {
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.machine.addr(portApp), "zone": u.machine.zone, "version": "v1", "slots": u.slots,
		"state": u.state.Load(), "cold_remaining_ms": 0, "sequence": u.sequence.Add(1), "born": u.born,
	})
	return u.call("instances.heartbeat", body)
}

func (u *upstream) call(call string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+u.machine.addr(portControl)+"/rpc?call="+call+"&of="+u.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// announce sends announcements until the upstream ends.
func (u *upstream) announce() {
	wait := time.Duration(rand.Int64N(int64(200 * time.Millisecond)))
	for {
		select {
		case <-u.stop:
			return
		case <-time.After(wait):
		}
		wait = heartbeatInterval
		if u.heartbeat() != http.StatusOK {
			wait = 300 * time.Millisecond
		} else {
			u.acked.Add(1)
		}
	}
}

// bodyOf returns the body that an upstream answers a request with.
func bodyOf(id string, n int) []byte {
	line := id + "\n"
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}
