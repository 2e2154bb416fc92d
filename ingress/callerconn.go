package ingress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// callerSendBuffer is the size of the send buffer of a caller's connection, in bytes. By default the
	// system lets it grow to megabytes.
	callerSendBuffer = 64 << 10
	// callerStallTimeout is how long a caller may read nothing while an answer waits to be sent. It is shorter
	// than the time after which upstreams cut off an answer that is not read. A caller that reads 20 KB/s
	// announces its progress every 3.3 s, for half of a receive buffer of 128 KiB.
	callerStallTimeout = 4 * time.Second
	// stallCheckInterval is how often a blocked write checks whether the caller reads.
	stallCheckInterval = 500 * time.Millisecond
)

// errCallerStalled means that the caller has not read for callerStallTimeout.
var errCallerStalled = fmt.Errorf("ingress: the caller does not read the answer: %w", os.ErrDeadlineExceeded)

// ListenForCallers returns a listener whose connections have small send buffers, and whose writes fail once the
// caller has read nothing for some seconds. A caller that reads slowly is served.
func ListenForCallers(ln net.Listener) net.Listener { return callerListener{ln} }

type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	tcp, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		return c, err
	}
	tcp.SetWriteBuffer(callerSendBuffer)
	return &callerConn{TCPConn: tcp}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	// deadline is the write deadline as a Unix time in ns; 0: none.
	deadline atomic.Int64
}

// SetWriteDeadline implements net.Conn. A blocked write notices it within stallCheckInterval.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.deadline.Store(0)
	} else {
		c.deadline.Store(max(t.UnixNano(), 1))
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// Write implements net.Conn. It fails with errCallerStalled if no byte is taken or acknowledged for
// callerStallTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	written, previous := 0, -1 // previous is the last count of unacknowledged bytes; -1: none
	now := time.Now()
	for progress := now; ; now = time.Now() {
		limit := now.Add(stallCheckInterval)
		if d := c.deadline.Load(); d != 0 && d < limit.UnixNano() {
			limit = time.Unix(0, d)
		}
		c.TCPConn.SetWriteDeadline(limit)
		n, err := c.TCPConn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now = time.Now()
		if d := c.deadline.Load(); d != 0 && d <= now.UnixNano() {
			return written, err
		}
		left := c.unacknowledged()
		if n > 0 || left < previous {
			progress = now
		}
		previous = left
		if now.Sub(progress) >= callerStallTimeout {
			return written, errCallerStalled
		}
	}
}

// unacknowledged returns how many sent bytes the caller's system has not acknowledged.
func (c *callerConn) unacknowledged() int {
	n := 0
	raw, err := c.SyscallConn()
	if err != nil {
		return n
	}
	raw.Control(func(fd uintptr) { n = unacknowledgedBytes(fd) })
	return n
}
