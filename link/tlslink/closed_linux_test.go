package tlslink

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
)

// serveEcho serves exchanges on addr until the listener is closed.
func serveEcho(t testing.TB, addr string, c *tls.Config) *Listener {
	ln, err := Listen(addr, c)
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	m := link.NewMux(logging.Discard())
	m.Handle(1, echo)
	go m.Serve(context.Background(), ln)
	return ln
}

// addUnusedConn adds an idle connection to addr that has not carried an exchange.
func addUnusedConn(t *testing.T, d *Dialer, addr string) *conn {
	nc, err := d.connect(t.Context(), "tcp", addr)
	assert.NilError(t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	c := newConn(nc, p.generation)
	d.addIdle(p, c)
	return c
}

// awaitEvent waits until poll reports an event on the socket of c.
func awaitEvent(t *testing.T, c *conn, event int16) {
	raw, err := c.tcp().(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: event}}
		n, err := unix.Poll(fds, 5000)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 5000)
		}
		assert.Check(t, err == nil && n == 1, "%v", err)
	}))
}

// awaitAccepted waits until the listener has accepted a number of connections.
func awaitAccepted(t *testing.T, l *Listener, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.conns) == want {
			return poll.Success()
		}
		return poll.Continue("%d of %d connections are accepted", len(l.conns), want)
	}, poll.WithDelay(time.Millisecond))
}

// Guards against exchanges over connections that their peer has closed, as after a planned restart of a node: they
// fail, and it is not known whether the peer has got them. A session ticket that was not read must neither hide the
// end of a connection nor count as one.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	assert.NilError(t, keys.Issue(keyDir, keyDir, "n", keys.RoleNode, time.Hour))
	ring, err := keys.Load(keyDir)
	assert.NilError(t, err)
	plain := keys.NewPlainRing("127.0.0.1")
	for name, ring := range map[string]*keys.Ring{"plain": plain, "TLS": ring} {
		t.Run(name, func(t *testing.T) {
			ln := serveEcho(t, "127.0.0.1:0", ring.Server())
			addr := ln.Addr()
			d := NewDialer("", ring.Client(keys.RoleNode))
			defer d.Close()
			assert.NilError(t, call(d, addr, "first"))
			for range 3 {
				c := addUnusedConn(t, d, addr)
				if ring != plain {
					awaitEvent(t, c, unix.POLLIN)
				}
				assert.Assert(t, !c.isClosedByPeer())
			}
			awaitAccepted(t, ln, 4)
			assert.NilError(t, ln.Close())
			for _, idle := range d.peers[addr].idle {
				awaitEvent(t, idle.conn, unix.POLLRDHUP)
			}
			assert.Equal(t, d.idle, 4)
			serveEcho(t, addr, ring.Server())
			assert.NilError(t, call(d, addr, "second"))
			assert.Equal(t, d.idle, 1)
		})
	}
}

// BenchmarkClosedByPeer measures what the reuse of a connection costs more.
func BenchmarkClosedByPeer(b *testing.B) {
	ln := serveEcho(b, "127.0.0.1:0", nil)
	d := NewDialer("", nil)
	defer d.Close()
	assert.NilError(b, call(d, ln.Addr(), "first"))
	c := d.peers[ln.Addr()].idle[0].conn
	b.ReportAllocs()
	for b.Loop() {
		c.isClosedByPeer()
	}
}
