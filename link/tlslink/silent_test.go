package tlslink

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/link"
)

// silencingProxy passes bytes on to addr, until silence is called: the connections of that time stay open and
// carry nothing more, while new ones work.
type silencingProxy struct {
	net.Listener
	addr    string
	silence atomic.Int64 // connections up to this number are silent
	conns   atomic.Int64
}

func newSilencingProxy(t *testing.T, addr string) *silencingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &silencingProxy{Listener: ln, addr: addr}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", p.addr)
			if err != nil {
				c.Close()
				return
			}
			n := p.conns.Add(1)
			go p.pass(n, c, out)
			go p.pass(n, out, c)
		}
	}()
	return p
}

func (p *silencingProxy) pass(number int64, from, to net.Conn) {
	defer to.Close()
	for buf := make([]byte, 4<<10); ; {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if number > p.silence.Load() {
			to.Write(buf[:n])
		}
	}
}

// silenceAll silences the present connections.
func (p *silencingProxy) silenceAll() { p.silence.Store(p.conns.Load()) }

// Guards against one wait for an answer after the other, since each new stream uses another connection of the
// pool that has gone silent.
func TestSilentPoolIsGivenUpAtOnce(t *testing.T) {
	const conns, patience = 6, 2 * silentAfter
	ln, err := Listen("127.0.0.1:0", nil)
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			s, err := ln.Accept(t.Context())
			if err != nil {
				return
			}
			go func() {
				if f, err := s.ReadFrame(); err == nil {
					s.WriteFrame(f.Type, f.Payload)
					s.Close()
				}
			}()
		}
	}()
	p := newSilencingProxy(t, ln.Addr())
	d := NewDialer("", nil)
	defer d.Close()
	ask := func(s link.Stream) error {
		if err := s.WriteFrame(1, nil); err != nil {
			return err
		}
		s.SetReadDeadline(time.Now().Add(patience))
		_, err := s.ReadFrame()
		return err
	}
	var streams []link.Stream
	for range conns {
		s, err := d.Open(t.Context(), p.Addr().String())
		assert.NilError(t, err)
		streams = append(streams, s)
	}
	for _, s := range streams {
		assert.NilError(t, ask(s))
		assert.NilError(t, s.Close())
	}
	p.silenceAll()
	failed := 0
	for range conns {
		s, err := d.Open(t.Context(), p.Addr().String())
		assert.NilError(t, err)
		if ask(s) == nil {
			assert.NilError(t, s.Close())
			continue
		}
		s.Reset()
		failed++
	}
	assert.Equal(t, failed, 1)
}
