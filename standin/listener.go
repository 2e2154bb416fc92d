package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func exitProcess(code int) { os.Exit(code) }

// limitedListener accepts connections one at a time, each after acceptDelay, and closes those beyond
// its limit.
type limitedListener struct {
	net.Listener
	limit       int64
	acceptDelay time.Duration
	openConns   atomic.Int64
	accepted    atomic.Int64
	refused     atomic.Int64
	peakConns   atomic.Int64
}

func newLimitedListener(l net.Listener, limit int, acceptDelay time.Duration) *limitedListener {
	return &limitedListener{Listener: l, limit: int64(limit), acceptDelay: acceptDelay}
}

// Accept implements net.Listener. It sleeps for the cost of a connection instead of using the
// processor, so that stand-ins on one machine do not slow each other down.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.acceptDelay)
		l.accepted.Add(1)
		if l.openConns.Load() >= l.limit {
			l.refused.Add(1)
			c.Close()
			continue
		}
		n := l.openConns.Add(1)
		if n > l.peakConns.Load() {
			l.peakConns.Store(n)
		}
		return &countedConn{Conn: c, listener: l}, nil
	}
}

// countedConn decrements its listener's count of open connections when it is closed.
type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}
