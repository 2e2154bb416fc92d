package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a request.
func newID(prefix string) string {
	return fmt.Sprintf("%s%013x%04x", prefix, time.Now().UnixNano()>>10, lastID.Add(1)&0xffff)
}

// call is a request of a caller.
type call struct {
	id       string
	method   string
	host     string
	target   string
	body     []byte
	chunked  bool
	deadline time.Duration
	headers  []string // further header lines
}

// reply is what the caller of a request has seen.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	reused   bool // sent on a connection that was used before
	err      error
}

// callerConn is a connection of a caller to the node of its machine.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

func dialNode(m *machine) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", m.addr(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, reader: bufio.NewReaderSize(c, 16<<10)}, nil
}

// send writes a request.
func (c *callerConn) send(q *call) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	for _, h := range q.headers {
		head += h + "\r\n"
	}
	c.SetWriteDeadline(time.Now().Add(q.deadline))
	switch {
	case q.chunked:
		if _, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for b := q.body; len(b) > 0; {
			n := min(len(b), 4000)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, b[:n]); err != nil {
				return err
			}
			b = b[n:]
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	case len(q.body) > 0 || q.method != http.MethodGet:
		head += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+string(q.body))
	return err
}

// receive reads the answer to a request.
func (c *callerConn) receive(q *call) *reply {
	c.SetReadDeadline(time.Now().Add(q.deadline))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return &reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, header: resp.Header, body: body, complete: err == nil, err: err}
}

// do sends a request and reads its answer. reusable says that the connection can carry another request.
func (c *callerConn) do(q *call) (r *reply, reusable bool) {
	reused := c.used > 0
	c.used++
	if err := c.send(q); err != nil {
		// The answer may have come before the whole request was sent.
		r := c.receive(q)
		r.reused = reused
		r.err = errors.Join(err, r.err)
		return r, false
	}
	r = c.receive(q)
	r.reused = reused
	return r, r.err == nil && r.header.Get("Connection") != "close"
}
