package controld

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/wire"
)

// askForAck sends an empty consensus frame that asks for an acknowledgement, as a process with a certificate for
// role.
func (g *testGroup) askForAck(to, name string, role keys.Role) error {
	g.t.Helper()
	dir := g.path("keys-of-peer-" + name)
	assert.NilError(g.t, keys.Issue(g.path("ca"), dir, name, role, time.Hour))
	ring, err := keys.Load(dir)
	assert.NilError(g.t, err)
	dialer := tlslink.NewDialer("127.0.0.1", ring.Client(keys.RoleControl))
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
	defer cancel()
	return link.Call(ctx, dialer, g.addrs[to].linkAddr, func(s link.Stream) error {
		const wantsAck = 1 << 1 // see package replica
		if err := s.WriteFrame(wire.FrameConsensus, []byte{wantsAck}); err != nil {
			return err
		}
		_, err := s.ReadFrame()
		return err
	})
}

// Guards against consensus messages from nodes, and against a member that refuses those of a control process that
// it does not know yet.
func TestConsensusStreamsAreForControlProcesses(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t, "c1")
	g.start("c1", "c1")
	g.write(g.client("c1"), "a")
	assert.NilError(t, g.askForAck("c1", "unknown", keys.RoleControl))
	assert.Assert(t, g.askForAck("c1", "node", keys.RoleNode) != nil)
}
