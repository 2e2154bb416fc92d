package controld

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/distribute"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/gossip"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Fleet connects a member of the control group to the nodes: it distributes the configuration, and
// takes part in gossip membership to learn which nodes have it in force.
type Fleet struct {
	holder  *distribute.Holder
	burn    *burn.Store
	gossip  atomic.Pointer[gossip.Gossip]
	dialer  link.Dialer
	stopped chan struct{}
	cancel  context.CancelFunc
}

// NewFleet returns a Fleet and the options that connect a daemon to it. Close disconnects it.
func NewFleet() (*Fleet, Options) {
	f := &Fleet{holder: distribute.NewHolder(), burn: burn.NewStore(time.Now()), stopped: make(chan struct{})}
	return f, Options{
		Holder:           f.holder,
		Register:         f.register,
		VersionsInForce:  server.FleetSource(f.nodes),
		Background:       f.placeGroups,
		Fleet:            f.nodes,
		Burn:             f.burnReport,
		ControlLinkAddrs: f.controlLinkAddrs,
	}
}

// controlLinkAddrs returns the link addresses of the control VMs that membership
// knows.
func (f *Fleet) controlLinkAddrs() []string {
	g := f.gossip.Load()
	if g == nil {
		return nil
	}
	var out []string
	for _, n := range g.Members() {
		if n.Control && n.Usable() {
			out = append(out, n.LinkAddr)
		}
	}
	return out
}

// nodes returns the nodes that membership knows, without control VMs.
func (f *Fleet) nodes() []fleet.Node {
	g := f.gossip.Load()
	if g == nil {
		return nil
	}
	return fleet.NodesOnly(g.Members())
}

// handleBurn adds the totals that a node reports to the burn store.
func (f *Fleet) handleBurn(_ context.Context, s link.Stream, first link.Frame) {
	var t burn.Totals
	if wire.Decode(first.Payload, &t) != nil || wire.Write(s, wire.FrameBurnReply, f.burn.Add(time.Now(), t)) != nil {
		s.Reset()
		return
	}
	s.Close()
}

func (f *Fleet) burnReport(now time.Time) burn.Report {
	return f.burn.Report(now, resource.Compile(f.holder.Current()))
}

// placeGroups runs the placer of idempotency groups until ctx ends, if the settings enable it.
func (f *Fleet) placeGroups(ctx context.Context, p Parts, r control.Replicator) {
	if !p.Settings.IdempotencyGroups {
		return
	}
	pl := &placer{id: p.Settings.NodeID, machine: p.Machine, replicator: r, nodes: f.nodes, log: p.Log, askStatus: f.askStatus}
	pl.run(ctx)
}

func (f *Fleet) register(p Parts) error {
	host, _, err := net.SplitHostPort(p.Settings.LinkAddr)
	if err != nil {
		return fmt.Errorf("controld: link address: %w", err)
	}
	server := distribute.NewServer(distribute.Config{}, f.holder, p.Log)
	server.ProveCurrent()
	pull := f.requireCurrent(p, server.HandlePull)
	p.Mux.Handle(wire.FrameConfigPull, answerPulls(p, server.HandlePull, pull, pacedProofs(pull)))
	p.Mux.Handle(wire.FrameConfigWatch, f.requireCurrent(p, server.HandleWatch))
	f.dialer = tlslink.NewDialer(host, p.Ring.Client(keys.RoleNode))
	self := fleet.Node{
		ID:            fleet.NodeID(p.Settings.NodeID),
		Incarnation:   uint64(time.Now().UnixMilli()),
		Region:        p.Settings.Region,
		FailureDomain: p.Settings.FailureDomain,
		LinkAddr:      p.Settings.linkTarget(),
		GossipAddr:    p.Settings.GossipAddr,
		Control:       true,
	}
	departures := newDepartureFile(p.Settings.DataDir)
	g, err := gossip.New(gossip.Config{Seeds: p.Settings.Seeds, Departures: departures}, self, p.Ring.Gossip, f.dialer, p.Log)
	if err != nil {
		return err
	}
	f.gossip.Store(g)
	p.Mux.Handle(wire.FrameBurn, f.handleBurn)
	p.Mux.Handle(wire.FrameMembers, g.HandleStream)
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(f.stopped)
		g.Run(ctx)
	}()
	return nil
}

// holderTimeout bounds the wait for the holder to receive the version that this member has applied.
const holderTimeout = 5 * time.Second

// requireCurrent passes streams to h while this member's configuration is current, and resets them
// otherwise, so that nodes try another member. A member that is replaying its log or was partitioned
// would hand out a configuration that is no longer in force.
func (f *Fleet) requireCurrent(p Parts, h link.Handler) link.Handler {
	return func(ctx context.Context, s link.Stream, first link.Frame) {
		current, err := waitForCurrent(ctx, p)
		if err != nil || !f.waitForHolder(ctx, p.Machine.Version()) {
			s.Reset()
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(current, cancel)()
		h(ctx, s, first)
	}
}

// answerPulls passes polls of the version to poll while this member is confirmed, and resets them
// otherwise. All nodes poll all the time, so a poll starts no confirmation; a version that is a little
// old does no harm, since the node polls again. Polls for a proof go to prove, other pulls to pull.
func answerPulls(p Parts, poll, pull, prove link.Handler) link.Handler {
	return func(ctx context.Context, s link.Stream, first link.Frame) {
		switch {
		case distribute.AsksProof(first):
			prove(ctx, s, first)
		case !distribute.AsksVersionOnly(first):
			pull(ctx, s, first)
		case p.Confirmed():
			poll(ctx, s, first)
		default:
			s.Reset()
		}
	}
}

// currentTimeout bounds the wait for this member's configuration to be current. It is shorter than
// the time for which nodes wait for an answer. Without the wait, all members would refuse nodes while
// there is no leader, and the nodes would back off for longer than a change may take to reach them.
const currentTimeout = time.Second

func waitForCurrent(ctx context.Context, p Parts) (context.Context, error) {
	ctx, cancel := context.WithTimeout(ctx, currentTimeout)
	defer cancel()
	for {
		current, err := p.Current(ctx)
		if err == nil || !sleep(ctx, leaderPollInterval/2) {
			return current, err
		}
	}
}

// waitForHolder waits until the holder has version v, which another goroutine offers to it. It
// returns false if that takes longer than holderTimeout or ctx ends.
func (f *Fleet) waitForHolder(ctx context.Context, v resource.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	for f.holder.Version().Less(v) {
		if !sleep(ctx, time.Millisecond) {
			return false
		}
	}
	return true
}

// Close stops taking part in membership and closes the dialer.
func (f *Fleet) Close() error {
	if f.cancel == nil {
		return nil
	}
	f.cancel()
	<-f.stopped
	return f.dialer.Close()
}
