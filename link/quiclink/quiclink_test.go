package quiclink

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/internal/testwait"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
)

const waitLimit = 10 * time.Second

func (d *Dialer) peerCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers)
}

// serveEcho serves exchanges until the listener is closed. answered is called after each one.
func serveEcho(t *testing.T, ring *keys.Ring, answered func()) *Listener {
	l, err := Listen("127.0.0.1:0", ring.Server())
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	m := link.NewMux(logging.Discard())
	m.Handle(1, func(_ context.Context, s link.Stream, first link.Frame) {
		s.WriteFrame(first.Type, first.Payload)
		s.Close()
		answered()
	})
	go m.Serve(t.Context(), l)
	return l
}

func call(t *testing.T, d *Dialer, addr string) error {
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	return link.Call(ctx, d, addr, func(s link.Stream) error {
		if err := s.WriteFrame(1, nil); err != nil {
			return err
		}
		_, err := s.ReadFrame()
		return err
	})
}

func newTestDialer(t *testing.T) (*Dialer, *keys.Ring) {
	dir := t.TempDir()
	assert.NilError(t, keys.Init(dir))
	assert.NilError(t, keys.Issue(dir, dir, "n", keys.RoleNode, time.Hour))
	ring, err := keys.Load(dir)
	assert.NilError(t, err)
	d, err := NewDialer("127.0.0.1", ring.Client(keys.RoleNode), 1)
	assert.NilError(t, err)
	t.Cleanup(func() { d.Close() })
	return d, ring
}

// Guards against peers of a process that has ended as planned and that use their connections to it until they find them
// silent: each exchange then waits for its timeout, and it is not known whether the process has got it.
func TestClosedListenerEndsConnections(t *testing.T) {
	d, ring := newTestDialer(t)
	l := serveEcho(t, ring, func() {})
	assert.NilError(t, call(t, d, l.Addr()))
	assert.NilError(t, l.Close())
	testwait.Until(t, waitLimit, "the dialer has no connection to the closed listener", func() bool { return !d.peers[l.Addr()].connected() })
}

// Guards against answers that are lost since their listener is closed just after they were written.
func TestClosedListenerDeliversAnswers(t *testing.T) {
	d, ring := newTestDialer(t)
	for range 5 {
		answered, closed := make(chan bool, 1), make(chan error, 1)
		l := serveEcho(t, ring, func() { answered <- true })
		go func() {
			<-answered
			closed <- l.Close()
		}()
		assert.NilError(t, call(t, d, l.Addr()))
		assert.NilError(t, <-closed)
	}
}

// Guards against a dialer that keeps the connections of each node that has left the fleet, and against one that
// forgets a peer, and so its connection, while a stream to it is being opened.
func TestDialerForgetsPeersThatAreGone(t *testing.T) {
	d, ring := newTestDialer(t)
	open := func() *peer {
		l, err := Listen("127.0.0.1:0", ring.Server())
		assert.NilError(t, err)
		t.Cleanup(func() { l.Close() })
		s, err := d.Open(t.Context(), l.Addr())
		assert.NilError(t, err)
		s.Reset()
		return d.peers[l.Addr()]
	}
	gone := open()
	open()
	assert.Equal(t, d.peerCount(), 2)
	assert.NilError(t, gone.conns[0].CloseWithError(0, ""))

	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := d.Open(ctx, silent.LocalAddr().String())
		ended <- err
	}()
	testwait.Until(t, waitLimit, "the peer that is gone is replaced by the silent one", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.peers) == 2 && d.peers[silent.LocalAddr().String()] != nil
	})
	open()
	assert.Equal(t, d.peerCount(), 3, "the silent peer is kept")
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	open()
	assert.Equal(t, d.peerCount(), 3, "the silent peer is forgotten")
}
