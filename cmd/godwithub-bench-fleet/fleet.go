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

// Shape of the fleets.
const (
	regions          = 3
	failureDomains   = 10
	upstreamsPerNode = 11
	slotsPerUpstream = 5
)

// process is one listener with its handlers, at a node or at control.
type process struct {
	listener *tlslink.Listener
	mux      *link.Mux
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func startProcess(ring *keys.Ring, handlers map[link.FrameType]link.Handler) (*process, error) {
	l, err := tlslink.Listen("127.0.0.1:0", ring.Server())
	if err != nil {
		return nil, err
	}
	p := &process{listener: l, mux: link.NewMux(logging.Discard())}
	for t, h := range handlers {
		p.mux.Handle(t, h)
	}
	return p, nil
}

func (p *process) serve(tasks ...func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.tasks.Go(func() { p.mux.Serve(ctx, p.listener) })
	for _, f := range tasks {
		p.tasks.Go(func() { f(ctx) })
	}
}

func (p *process) close() {
	p.stop()
	p.listener.Close()
	p.tasks.Wait()
	p.mux.Wait()
}

// node is one simulated VM with its upstreams.
type node struct {
	*process
	local    fleet.Node
	gossip   *gossip.Gossip
	holder   *distribute.Holder
	follower *distribute.Follower
	nodes    *tlslink.Dialer
	control  *tlslink.Dialer
}

// cluster is a fleet with its control.
type cluster struct {
	nodeRing, controlRing *keys.Ring
	control               *process
	holder                *distribute.Holder
	source                *resource.Set
	nodes                 []*node
	watch                 *watcher
	stopped               sums // of nodes that were restarted
}

func newCluster(objects int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "bench-fleet")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &cluster{holder: distribute.NewHolder(), source: resource.NewSet(resource.Version{Epoch: 1}), watch: newWatcher()}
	if err := keys.Init(dir); err != nil {
		return nil, err
	}
	if c.nodeRing, err = issue(dir, keys.RoleNode); err != nil {
		return nil, err
	}
	if c.controlRing, err = issue(dir, keys.RoleControl); err != nil {
		return nil, err
	}
	s := distribute.NewServer(distribute.Config{}, c.holder, logging.Discard())
	c.control, err = startProcess(c.controlRing, map[link.FrameType]link.Handler{
		wire.FrameConfigPull: s.HandlePull, wire.FrameConfigWatch: s.HandleWatch,
	})
	if err != nil {
		return nil, err
	}
	c.control.serve()
	rev := c.source.Advance()
	for i := range objects {
		c.source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", i), Revision: rev}, Weight: 1})
	}
	return c, c.offer()
}

func issue(dir string, role keys.Role) (*keys.Ring, error) {
	if err := keys.Issue(dir, dir, "bench", role, time.Hour); err != nil {
		return nil, err
	}
	return keys.Load(dir)
}

func (c *cluster) offer() error {
	d, err := c.source.Since(c.holder.Version())
	if err != nil {
		return err
	}
	return c.holder.Offer(d)
}

// change makes one change of the configuration and returns its version.
func (c *cluster) change() (resource.Version, error) {
	rev := c.source.Advance()
	c.source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", rev%100), Revision: rev}, Weight: int(rev%1000) + 1})
	return c.source.Version(), c.offer()
}

func newLocal(i int) fleet.Node {
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

// start starts node i, which joins through the first one.
func (c *cluster) start(i int) (*node, error) {
	n := &node{local: newLocal(i), holder: distribute.NewHolder()}
	// The handlers are set once the listener's address is known.
	p, err := startProcess(c.nodeRing, nil)
	if err != nil {
		return nil, err
	}
	n.process = p
	n.local.LinkAddr = p.listener.Addr()
	n.nodes = tlslink.NewDialer("", c.nodeRing.Client(keys.RoleNode))
	n.control = tlslink.NewDialer("", c.nodeRing.Client(keys.RoleControl))
	cfg := gossip.Config{}
	for _, other := range c.nodes {
		if other != nil {
			cfg.Seeds = append(cfg.Seeds, other.local.LinkAddr)
		}
		if len(cfg.Seeds) == 3 {
			break
		}
	}
	if n.gossip, err = gossip.New(cfg, n.local, c.nodeRing.Gossip, n.nodes, logging.Discard()); err != nil {
		return nil, err
	}
	n.gossip.Subscribe(func(m fleet.Node) { c.watch.member(i, m) })
	n.holder.Subscribe(func(s *resource.Set) { c.watch.config(i, s.Version()) })
	n.follower = distribute.NewFollower(distribute.Config{}, n.local, n.holder, n.gossip, distribute.Dialers{
		Nodes: n.nodes, Control: n.control, ControlAddrs: []string{c.control.listener.Addr()},
	}, logging.Discard())
	s := n.follower.Server()
	p.mux.Handle(wire.FrameMembers, n.gossip.HandleStream)
	p.mux.Handle(wire.FrameConfigPull, s.HandlePull)
	p.mux.Handle(wire.FrameConfigWatch, s.HandleWatch)
	p.serve(func(ctx context.Context) { n.gossip.Run(ctx) }, n.follower.Run)
	return n, nil
}

func (n *node) close() {
	n.process.close()
	n.nodes.Close()
	n.control.Close()
}

// announce tells the fleet of the node's upstreams.
func (n *node) announce() {
	n.local.Config = n.holder.Version()
	n.gossip.SetLocal(n.local)
}

func (c *cluster) close() {
	var closing sync.WaitGroup
	for _, n := range c.nodes {
		if n != nil {
			closing.Go(n.close)
		}
	}
	closing.Wait()
	c.control.close()
}

// converged reports whether each node knows all nodes with all upstreams and
// holds the newest configuration.
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

// quiet reports whether no change is being sent any more.
func (c *cluster) quiet() bool {
	for _, n := range c.nodes {
		if n.gossip.Stats().Queued > 0 {
			return false
		}
	}
	return true
}
