package tlslink

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
)

// Guards against links that require keys on a platform that provides none, and against peers that
// have no name there.
func TestPlainLink(t *testing.T) {
	ring := keys.NewPlainRing("127.0.0.1")
	ln, err := Listen("127.0.0.1:0", ring.Server())
	assert.NilError(t, err)
	defer ln.Close()
	names := make(chan string, 1)
	m := link.NewMux(logging.Discard())
	m.Handle(1, func(ctx context.Context, s link.Stream, first link.Frame) {
		names <- s.PeerName()
		echo(ctx, s, first)
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go m.Serve(ctx, ln)
	d := NewDialer("127.0.0.1", ring.Client(keys.RoleNode))
	defer d.Close()
	assert.NilError(t, call(d, ln.Addr(), "hello"))
	assert.Equal(t, <-names, ring.Name)
}
