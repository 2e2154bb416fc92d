package node

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/godwithub/godwithub/distribute"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/gossip"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// JoinFleet returns the Join for a running fleet: gossip for membership, and distribution of
// the configuration by the control VMs and other nodes.
func JoinFleet(settings Settings) Join {
	return func(p Parts) (Membership, ConfigSource, error) {
		g, err := gossip.New(gossip.Config{Seeds: settings.Seeds, DepartureDisks: settings.DepartureDisks}, p.Self, p.Ring.Gossip, p.Dialer, p.Log)
		if err != nil {
			return nil, nil, err
		}
		host, _, err := net.SplitHostPort(settings.LinkAddr)
		if err != nil {
			return nil, nil, fmt.Errorf("node: link address: %w", err)
		}
		// Control always listens on TLS over TCP: its few streams are long-lived,
		// so QUIC would bring no benefit.
		control := tlslink.NewDialer(host, p.Ring.Client(keys.RoleControl))
		holder := distribute.NewHolder()
		f := distribute.NewFollower(distribute.Config{LeaseBound: leaseBound(settings.RevocationBound)}, p.Self, holder, g,
			distribute.Dialers{Nodes: p.Dialer, Control: control, ControlAddrs: settings.ControlAddrs}, p.Log)
		p.Mux.Handle(wire.FrameMembers, g.HandleStream)
		p.Mux.Handle(wire.FrameConfigPull, f.Server().HandlePull)
		p.Mux.Handle(wire.FrameConfigWatch, f.Server().HandleWatch)
		p.Stats["gossip"] = func() any { return g.Stats() }
		p.Stats["distribute"] = func() any { return f.Stats() }
		return newGossipMembership(g), &configFollower{f, holder, ControlDialer{control, settings.ControlAddrs}}, nil
	}
}

// gossipMembership implements Membership by gossip. Gossip starts with the first subscriber.
type gossipMembership struct {
	*gossip.Gossip
	cancel context.CancelFunc
	done   chan struct{}
	start  sync.Once
}

func newGossipMembership(g *gossip.Gossip) *gossipMembership {
	return &gossipMembership{Gossip: g, done: make(chan struct{})}
}

// Subscribe implements Membership.
func (m *gossipMembership) Subscribe(f func(fleet.Node)) {
	m.Gossip.Subscribe(f)
	m.start.Do(func() {
		ctx, cancel := context.WithCancel(context.Background())
		m.cancel = cancel
		go func() {
			defer close(m.done)
			m.Gossip.Run(ctx)
		}()
	})
	for _, n := range m.Gossip.Members() {
		f(n)
	}
}

// Incarnation implements Membership.
func (m *gossipMembership) Incarnation() uint64 { return m.Gossip.Local().Incarnation }

// Close implements Membership.
func (m *gossipMembership) Close() error {
	if m.cancel != nil {
		m.cancel()
		<-m.done
	}
	return nil
}

// configFollower implements ConfigSource: it follows the configuration of control and other
// nodes.
type configFollower struct {
	*distribute.Follower
	holder  *distribute.Holder
	control ControlDialer
}

// Subscribe implements ConfigSource.
func (f *configFollower) Subscribe(notify func(*resource.Set)) {
	f.holder.Subscribe(notify)
	if s := f.holder.Current(); s.Version() != (resource.Version{}) {
		notify(s)
	}
}

// Run implements ConfigSource.
func (f *configFollower) Run(ctx context.Context) error {
	f.Follower.Run(ctx)
	return f.control.Dialer.Close()
}

// Control implements ConfigSource.
func (f *configFollower) Control() ControlDialer { return f.control }
