package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/internal/testwait"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/wire"
)

func testRing(t *testing.T) *keys.Ring {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, keys.Init(dir))
	assert.NilError(t, keys.Issue(dir, dir, "test", keys.RoleNode, time.Hour))
	ring, err := keys.Load(dir)
	assert.NilError(t, err)
	return ring
}

// startNode runs a node on loopback until the test ends or stop is called.
func startNode(t *testing.T, ring *keys.Ring, i int, seeds ...string) (g *Gossip, stop func()) {
	t.Helper()
	l, err := tlslink.Listen("127.0.0.1:0", ring.Server())
	assert.NilError(t, err)
	d := tlslink.NewDialer("", ring.Client(keys.RoleNode))
	local := fleet.Node{
		ID: fleet.NodeID(fmt.Sprintf("node-%d", i)), Region: "here", LinkAddr: l.Addr(), GossipAddr: "127.0.0.1:0",
	}
	cfg := Config{Seeds: seeds, ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond}
	if i < 2 {
		local.Control, cfg.Departures = true, &memDisk{}
	}
	g, err = New(cfg, local, ring.Gossip, d, logging.Discard())
	assert.NilError(t, err)
	mux := link.NewMux(logging.Discard())
	mux.Handle(wire.FrameMembers, g.HandleStream)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { g.Run(ctx) })
	tasks.Go(func() { mux.Serve(ctx, l) })
	stop = sync.OnceFunc(func() { cancel(); tasks.Wait(); l.Close(); d.Close() })
	t.Cleanup(stop)
	return g, stop
}

func stateAt(g *Gossip, id fleet.NodeID) string {
	for _, n := range g.Members() {
		if n.ID == id {
			return n.State.String()
		}
	}
	return "unknown"
}

func waitState(t *testing.T, g *Gossip, id fleet.NodeID, want string) {
	t.Helper()
	testwait.Until(t, 10*time.Second, fmt.Sprint(id, " is ", want), func() bool { return stateAt(g, id) == want })
}

// Guards against a node that joins, leaves or dies without the others learning of it over real
// sockets.
func TestNodeJoinsLeavesAndDies(t *testing.T) {
	ring := testRing(t)
	a, _ := startNode(t, ring, 0)
	seed := a.Local().LinkAddr
	b, _ := startNode(t, ring, 1, seed)
	c, stopC := startNode(t, ring, 2, seed)
	_, stopD := startNode(t, ring, 3, seed)
	var mu sync.Mutex
	seen := map[fleet.NodeState]bool{}
	b.Subscribe(func(n fleet.Node) {
		mu.Lock()
		defer mu.Unlock()
		if n.ID == "node-2" {
			seen[n.State] = true
		}
	})
	for _, g := range []*Gossip{a, b, c} {
		for i := range 4 {
			waitState(t, g, fleet.NodeID(fmt.Sprintf("node-%d", i)), "alive")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, c.Leave(ctx))
	waitState(t, a, "node-2", "leaving")
	stopC()
	stopD() // stops without Leave, as if killed
	for _, g := range []*Gossip{a, b} {
		waitState(t, g, "node-2", "dead")
		waitState(t, g, "node-3", "dead")
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, seen[fleet.NodeLeaving] && seen[fleet.NodeDead])
	s := a.Stats()
	assert.Assert(t, s.Alive == 2 && s.Dead == 2 && s.Corrupt == 0 && s.Replayed == 0 && s.Malformed == 0, "%+v", s)
}

// Guards against refused datagrams that are missing from Stats.
func TestRefusedDatagramsAreCounted(t *testing.T) {
	ring := testRing(t)
	a, _ := startNode(t, ring, 0)
	conn, err := net.Dial("udp", a.Local().GossipAddr)
	assert.NilError(t, err)
	defer conn.Close()
	s, err := newSealer(ring.Gossip)
	assert.NilError(t, err)
	junk := s.seal("node-0", []byte("junk"))
	altered := append([]byte{}, junk...)
	altered[40] ^= 1
	for _, b := range [][]byte{junk, junk, altered, []byte("noise")} {
		_, err = conn.Write(b)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := a.Stats(); s.Malformed != 1 || s.Replayed != 1 || s.Corrupt != 2 {
			return poll.Continue("%+v", s)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
