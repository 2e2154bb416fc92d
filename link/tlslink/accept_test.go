package tlslink

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/link"
)

// exhaustedListener fails some accepts for want of descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that is out of reach for good after it had no descriptor left for a moment.
func TestListenerOutlivesFailedAccepts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	exhausted := &exhaustedListener{Listener: ln}
	exhausted.failures.Store(3)
	l := newListener(exhausted, nil)
	defer l.Close()
	d := NewDialer("", nil)
	defer d.Close()
	s, err := d.Open(t.Context(), l.Addr())
	assert.NilError(t, err)
	assert.NilError(t, s.WriteFrame(link.FrameType(1), []byte("ping")))
	accepted, err := l.Accept(t.Context())
	assert.NilError(t, err)
	f, err := accepted.ReadFrame()
	assert.NilError(t, err)
	assert.Equal(t, string(f.Payload), "ping")
	assert.NilError(t, l.Close())
	_, err = l.Accept(t.Context())
	assert.ErrorIs(t, err, link.ErrClosed)
}
