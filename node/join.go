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

// JoinFleet returns the Join that a daemon uses: gossip for membership, and
// distribution of the configuration from control and other nodes.
func JoinFleet(set Settings) Join {
	return func(p Parts) (Membership, ConfigSource, error) {
		g, err := gossip.New(gossip.Config{Seeds: set.Seeds}, p.Self, p.Ring.Gossip, p.Dialer, p.Log)
		if err != nil {
			return nil, nil, err
		}
		host, _, err := net.SplitHostPort(set.LinkAddr)
		if err != nil {
			return nil, nil, fmt.Errorf("node: link address: %w", err)
		}
		// Control always listens on TLS over TCP: its few streams are long-lived,
		// and QUIC brings nothing there.
		control := tlslink.NewDialer(host, p.Ring.Client(keys.RoleControl))
		holder := distribute.NewHolder()
		f := distribute.NewFollower(distribute.Config{}, p.Self, holder, g,
			distribute.Dialers{Nodes: p.Dialer, Control: control, ControlAddrs: set.ControlAddrs}, p.Log)
		p.Mux.Handle(wire.FrameMembers, g.HandleStream)
		p.Mux.Handle(wire.FrameConfigPull, f.Server().HandlePull)
		p.Mux.Handle(wire.FrameConfigWatch, f.Server().HandleWatch)
		p.Stats["gossip"] = func() any { return g.Stats() }
		p.Stats["distribute"] = func() any { return f.Stats() }
		return newMembers(g), &follower{f, holder, ControlDialer{control, set.ControlAddrs}}, nil
	}
}

// members runs gossip from its first subscriber on.
type members struct {
	*gossip.Gossip
	cancel context.CancelFunc
	done   chan struct{}
	start  sync.Once
}

func newMembers(g *gossip.Gossip) *members {
	return &members{Gossip: g, done: make(chan struct{})}
}

// Subscribe implements Membership.
func (m *members) Subscribe(f func(fleet.Node)) {
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
func (m *members) Incarnation() uint64 { return m.Gossip.Local().Incarnation }

// Close implements Membership.
func (m *members) Close() error {
	if m.cancel != nil {
		m.cancel()
		<-m.done
	}
	return nil
}

// follower brings configurations from control and other nodes.
type follower struct {
	*distribute.Follower
	holder  *distribute.Holder
	control ControlDialer
}

// Subscribe implements ConfigSource.
func (f *follower) Subscribe(do func(*resource.Set)) {
	f.holder.Subscribe(do)
	if s := f.holder.Current(); s.Version() != (resource.Version{}) {
		do(s)
	}
}

// Run implements ConfigSource.
func (f *follower) Run(ctx context.Context) error {
	f.Follower.Run(ctx)
	return f.control.Dialer.Close()
}

// Control implements ConfigSource.
func (f *follower) Control() ControlDialer { return f.control }
