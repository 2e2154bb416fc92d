package tlslink

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
)

func newTestPair(t *testing.T, handle link.Handler) (*Dialer, string) {
	dir := t.TempDir()
	assert.NilError(t, keys.Init(dir))
	assert.NilError(t, keys.Issue(dir, dir, "n", keys.RoleNode, time.Hour))
	ring, err := keys.Load(dir)
	assert.NilError(t, err)
	ln, err := Listen("127.0.0.1:0", ring.Server())
	assert.NilError(t, err)
	m := link.NewMux(logging.Discard())
	m.Handle(1, handle)
	ctx, cancel := context.WithCancel(context.Background())
	go m.Serve(ctx, ln)
	d := NewDialer("", ring.Client(keys.RoleNode))
	t.Cleanup(func() { cancel(); d.Close(); ln.Close() })
	return d, ln.Addr()
}

func echo(_ context.Context, s link.Stream, first link.Frame) {
	if s.WriteFrame(2, first.Payload) != nil {
		s.Reset()
		return
	}
	s.Close()
}

func call(d *Dialer, addr, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return link.Call(ctx, d, addr, func(s link.Stream) error {
		if err := s.WriteFrame(1, []byte(text)); err != nil {
			return err
		}
		f, err := s.ReadFrame()
		if err == nil && string(f.Payload) != text {
			err = fmt.Errorf("got %q for %q", f.Payload, text)
		}
		return err
	})
}

// Guards against exchanges that receive each other's frames when connections are reused, and
// against calls that wait for a connection forever.
func TestExchangesDoNotShareFrames(t *testing.T) {
	d, addr := newTestPair(t, echo)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			for j := range 50 {
				if i == 0 && j%10 == 0 {
					d.Replace(addr)
				}
				assert.Check(t, call(d, addr, fmt.Sprintf("%d/%d", i, j)))
			}
		})
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[addr]
	assert.Assert(t, len(p.idle) <= maxIdlePerPeer && d.idle == len(p.idle) && len(p.waiters) == 0)
}

// Guards against an Open that outlives its context while the peer does not answer the handshake,
// and against its waiter staying in the queue, where it would take a connection from a later call.
func TestWaitingOpenEndsWithContext(t *testing.T) {
	d, _ := newTestPair(t, echo)
	// The listener never accepts: the TCP connection is made, but the handshake hangs.
	silent := newSilentListener(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := d.Open(ctx, silent)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, len(d.peers[silent].waiters), 0)
}

func newSilentListener(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}
