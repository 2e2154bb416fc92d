package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/godwithub/godwithub/distribute"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/gossip"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Composition of the fleets.
const (
	regions          = 3
	failureDomains   = 10
	upstreamsPerNode = 11
	slotsPerUpstream = 5
)

// linkServer is the listener of a node or of control, with its handlers and
// background tasks.
type linkServer struct {
	listener *tlslink.Listener
	mux      *link.Mux
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func startLinkServer(ring *keys.Ring, handlers map[link.FrameType]link.Handler) (*linkServer, error) {
	l, err := tlslink.Listen("127.0.0.1:0", ring.Server())
	if err != nil {
		return nil, err
	}
	s := &linkServer{listener: l, mux: link.NewMux(logging.Discard())}
	for t, h := range handlers {
		s.mux.Handle(t, h)
	}
	return s, nil
}

func (s *linkServer) serve(tasks ...func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.tasks.Go(func() { s.mux.Serve(ctx, s.listener) })
	for _, f := range tasks {
		s.tasks.Go(func() { f(ctx) })
	}
}

func (s *linkServer) close() {
	s.stop()
	s.listener.Close()
	s.tasks.Wait()
	s.mux.Wait()
}

// node is a simulated VM with its upstreams.
type node struct {
	*linkServer
	local         fleet.Node
	gossip        *gossip.Gossip
	holder        *distribute.Holder
	follower      *distribute.Follower
	nodeDialer    *tlslink.Dialer
	controlDialer *tlslink.Dialer
}

// cluster is a fleet and its control server.
type cluster struct {
	nodeRing, controlRing *keys.Ring
	control               *linkServer
	holder                *distribute.Holder
	source                *resource.Set
	nodes                 []*node
	changeWatcher         *watcher
	stoppedCounters       counters // of the nodes that restart has stopped
}

func newCluster(objects int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "bench-fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &cluster{holder: distribute.NewHolder(), source: resource.NewSet(resource.Version{Epoch: 1}), changeWatcher: newWatcher()}
	if err := keys.Init(dir); err != nil {
		return nil, err
	}
	if c.nodeRing, err = issueKeys(dir, keys.RoleNode); err != nil {
		return nil, err
	}
	if c.controlRing, err = issueKeys(dir, keys.RoleControl); err != nil {
		return nil, err
	}
	s := distribute.NewServer(distribute.Config{}, c.holder, logging.Discard())
	c.control, err = startLinkServer(c.controlRing, map[link.FrameType]link.Handler{
		wire.FrameConfigPull: s.HandlePull, wire.FrameConfigWatch: s.HandleWatch,
	})
	if err != nil {
		return nil, err
	}
	c.control.serve()
	revision := c.source.Advance()
	for i := range objects {
		c.source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", i), Revision: revision}, Weight: 1})
	}
	return c, c.publish()
}

func issueKeys(dir string, role keys.Role) (*keys.Ring, error) {
	if err := keys.Issue(dir, dir, "bench", role, time.Hour); err != nil {
		return nil, err
	}
	return keys.Load(dir)
}

func (c *cluster) publish() error {
	d, err := c.source.Since(c.holder.Version())
	if err != nil {
		return err
	}
	return c.holder.Offer(d)
}

// changeConfig makes one change of the configuration, publishes it and returns its version.
func (c *cluster) changeConfig() (resource.Version, error) {
	revision := c.source.Advance()
	c.source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", revision%100), Revision: revision}, Weight: int(revision%1000) + 1})
	return c.source.Version(), c.publish()
}

func newFleetNode(i int) fleet.Node {
	n := fleet.Node{
		ID:            fleet.NodeID(fmt.Sprintf("vm-%04d", i)),
		Region:        fmt.Sprintf("region-%d", i%regions),
		FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains),
		GossipAddr:    "127.0.0.1:0",
	}
	for u := range upstreamsPerNode {
		n.Upstreams = append(n.Upstreams, fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("vm-%04d-worker-%02d", i, u)), Service: "storefront", Slots: slotsPerUpstream,
		})
	}
	return n
}

// start starts node i, which joins through up to three of the first nodes.
func (c *cluster) start(i int) (*node, error) {
	n := &node{local: newFleetNode(i), holder: distribute.NewHolder()}
	// The handlers are added below, because they need the listener's address.
	server, err := startLinkServer(c.nodeRing, nil)
	if err != nil {
		return nil, err
	}
	n.linkServer = server
	n.local.LinkAddr = server.listener.Addr()
	n.nodeDialer = tlslink.NewDialer("", c.nodeRing.Client(keys.RoleNode))
	n.controlDialer = tlslink.NewDialer("", c.nodeRing.Client(keys.RoleControl))
	cfg := gossip.Config{}
	for _, other := range c.nodes {
		if other != nil {
			cfg.Seeds = append(cfg.Seeds, other.local.LinkAddr)
		}
		if len(cfg.Seeds) == 3 {
			break
		}
	}
	if n.gossip, err = gossip.New(cfg, n.local, c.nodeRing.Gossip, n.nodeDialer, logging.Discard()); err != nil {
		return nil, err
	}
	n.gossip.Subscribe(func(m fleet.Node) { c.changeWatcher.observeMember(i, m) })
	n.holder.Subscribe(func(s *resource.Set) { c.changeWatcher.observeConfig(i, s.Version()) })
	n.follower = distribute.NewFollower(distribute.Config{}, n.local, n.holder, n.gossip, distribute.Dialers{
		Nodes: n.nodeDialer, Control: n.controlDialer, ControlAddrs: []string{c.control.listener.Addr()},
	}, logging.Discard())
	s := n.follower.Server()
	server.mux.Handle(wire.FrameMembers, n.gossip.HandleStream)
	server.mux.Handle(wire.FrameConfigPull, s.HandlePull)
	server.mux.Handle(wire.FrameConfigWatch, s.HandleWatch)
	server.serve(func(ctx context.Context) { n.gossip.Run(ctx) }, n.follower.Run)
	return n, nil
}

func (n *node) close() {
	n.linkServer.close()
	n.nodeDialer.Close()
	n.controlDialer.Close()
}

// announce publishes the state of the node's upstreams and its configuration version to
// the fleet.
func (n *node) announce() {
	n.local.ConfigVersion = n.holder.Version()
	n.gossip.SetLocal(n.local)
}

func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, n := range c.nodes {
		if n != nil {
			wg.Go(n.close)
		}
	}
	wg.Wait()
	c.control.close()
}

// converged reports whether each node knows all nodes with all their upstreams and
// has the newest configuration.
func (c *cluster) converged() bool {
	for _, n := range c.nodes {
		if n.holder.Version() != c.holder.Version() {
			return false
		}
		alive := 0
		for _, m := range n.gossip.Members() {
			if m.State == fleet.NodeAlive && len(m.Upstreams) == upstreamsPerNode {
				alive++
			}
		}
		if alive != len(c.nodes) {
			return false
		}
	}
	return true
}

// quiet reports whether no node has membership changes left to send.
func (c *cluster) quiet() bool {
	for _, n := range c.nodes {
		if n.gossip.Stats().Queued > 0 {
			return false
		}
	}
	return true
}
