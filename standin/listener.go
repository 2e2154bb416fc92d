package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func exitProcess(code int) { os.Exit(code) }

// costlyListener accepts one connection after the other, each at a cost, and
// closes those beyond its limit.
type costlyListener struct {
	net.Listener
	limit    int64
	cost     time.Duration
	open     atomic.Int64
	accepted atomic.Int64
	refused  atomic.Int64
	peak     atomic.Int64
}

func newCostlyListener(l net.Listener, limit int, cost time.Duration) *costlyListener {
	return &costlyListener{Listener: l, limit: int64(limit), cost: cost}
}

// Accept implements net.Listener. The cost is waited out rather than computed,
// so that stand-ins that share a machine do not disturb each other.
func (l *costlyListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.cost)
		l.accepted.Add(1)
		if l.open.Load() >= l.limit {
			l.refused.Add(1)
			c.Close()
			continue
		}
		n := l.open.Add(1)
		if n > l.peak.Load() {
			l.peak.Store(n)
		}
		return &countedConn{Conn: c, listener: l}, nil
	}
}

// countedConn takes itself off its listener's count when it closes.
type countedConn struct {
	net.Conn
	listener *costlyListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
