package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// socketBuffer is the size of the socket's receive buffer, in bytes. It takes
// the bursts after a mass event.
const socketBuffer = 1 << 20

// Gossip is one node's part in membership. All methods are safe for concurrent
// use.
type Gossip struct {
	cfg      Config
	log      *slog.Logger
	dialer   link.Dialer
	conn     *net.UDPConn
	sealer   *sealer
	opener   *opener
	counters *counters
	wake     chan struct{} // the time of the next tick may have moved up
	asked    chan string   // link address of a node for an exchange that is due

	mu   sync.Mutex
	core *core

	events *events
}

// New opens the node's socket on local.GossipAddr; if its port is 0, one is
// chosen and announced. The node takes part once Run is called. Streams that
// begin with wire.FrameMembers go to HandleStream.
func New(cfg Config, local fleet.Node, key [keys.GossipKeySize]byte, d link.Dialer, log *slog.Logger) (*Gossip, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if !validName(string(local.ID)) {
		return nil, fmt.Errorf("gossip: node id %q is not 1 to %d bytes", local.ID, maxName)
	}
	addr, err := netip.ParseAddrPort(local.GossipAddr)
	if err != nil {
		return nil, fmt.Errorf("gossip: address %q: %w", local.GossipAddr, err)
	}
	s, err := newSealer(key)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	local.GossipAddr = conn.LocalAddr().String()
	g := &Gossip{
		cfg:      cfg,
		log:      logging.Part(log, "gossip"),
		dialer:   d,
		conn:     conn,
		sealer:   s,
		opener:   newOpener(key, local.ID),
		counters: &counters{},
		wake:     make(chan struct{}, 1),
		asked:    make(chan string, 1),
		events:   newEvents(),
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		g.log.Warn("receive buffer was not enlarged", "err", err)
	}
	g.core = newCore(cfg, local, rand.Uint64(), time.Now(), g.counters)
	return g, nil
}

// Run takes part in membership until ctx ends. A node that was told to Leave
// says on its way out that it has ended.
func (g *Gossip) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(g.readDatagrams)
	tasks.Go(func() { g.runTimer(ctx) })
	tasks.Go(func() { g.runExchanges(ctx) })
	tasks.Go(func() { g.events.run(ctx) })
	<-ctx.Done()
	g.announceEnd()
	err := g.conn.Close()
	tasks.Wait()
	return err
}

// do runs f on the core, then sends and publishes what came of it.
func (g *Gossip) do(f func(c *core, now time.Time)) {
	g.mu.Lock()
	before := g.core.next()
	f(g.core, time.Now())
	packets, changed := g.core.drain()
	sooner := g.core.next().Before(before)
	g.events.add(changed)
	g.mu.Unlock()
	if sooner {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	for _, p := range packets {
		g.sendPacket(p)
	}
}

func (g *Gossip) sendPacket(p packet) {
	addr, err := netip.ParseAddrPort(p.addr)
	if err == nil {
		b := g.sealer.seal(p.to, p.payload)
		g.counters.DatagramsSent.Add(1)
		g.counters.BytesSent.Add(uint64(len(b) + packetOverhead))
		_, err = g.conn.WriteToUDPAddrPort(b, addr)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.counters.SendErrors.Add(1)
		g.log.Debug("datagram was not sent", "to", p.to, "addr", p.addr, "err", err)
	}
}

func (g *Gossip) readDatagrams() {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For instance an ICMP answer to an earlier datagram.
			continue
		}
		g.receive(from, buf[:n])
	}
}

func (g *Gossip) receive(from netip.AddrPort, datagram []byte) {
	g.counters.DatagramsReceived.Add(1)
	g.counters.BytesReceived.Add(uint64(len(datagram) + packetOverhead))
	payload, err := g.opener.open(datagram)
	if err == nil {
		src := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		g.do(func(c *core, now time.Time) { err = c.receive(now, src, payload) })
	}
	switch {
	case err == nil:
		return
	case errors.Is(err, errReplayed), errors.Is(err, errStale):
		g.counters.Replayed.Add(1)
	case errors.Is(err, errCorrupt):
		g.counters.Corrupt.Add(1)
	default:
		g.counters.Malformed.Add(1)
	}
	g.log.Debug("datagram was refused", "from", from, "err", err)
}

func (g *Gossip) runTimer(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
			g.do(func(c *core, now time.Time) {
				c.tick(now)
				if addr, ok := c.bulkPartner(now); ok {
					g.askExchange(addr)
				}
			})
		}
		g.mu.Lock()
		next := g.core.next()
		g.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

// askExchange has a full exchange made with the node at addr, unless another one
// waits.
func (g *Gossip) askExchange(addr string) {
	select {
	case g.asked <- addr:
	default:
	}
}

// SetLocal announces the own node. Its ID, Incarnation and GossipAddr are not
// read. Changes are pushed to a few members at once. A node set to NodeLeaving
// stays so.
func (g *Gossip) SetLocal(n fleet.Node) {
	g.do(func(c *core, now time.Time) {
		n.GossipAddr = c.self.meta.GossipAddr
		c.setLocal(now, n)
	})
}

// Local returns the own node as it is announced.
func (g *Gossip) Local() fleet.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.self.node()
}

// SetConfig announces the configuration version in force at this node, and
// leaves the rest as it was announced last. A lower version than before is
// ignored, also by SetLocal.
func (g *Gossip) SetConfig(v resource.Version) {
	g.do(func(c *core, now time.Time) {
		if c.raiseConfig(v) {
			c.pushNotice()
		}
	})
}

// Members returns the known nodes by id, with the own one and with dead ones
// that have not expired.
func (g *Gossip) Members() []fleet.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.nodes()
}

// Subscribe calls f for each node that changes from now on, in order, from one
// goroutine. Several changes of a node may be reported as one. f should return
// soon.
func (g *Gossip) Subscribe(f func(fleet.Node)) { g.events.subscribe(f) }

// Leave announces that the node is shutting down and takes no new work. It
// returns when the change was sent as often as any change is, or when ctx
// ends. The node still answers probes until Run returns.
func (g *Gossip) Leave(ctx context.Context) error {
	g.do(func(c *core, now time.Time) { c.setOwnState(now, fleet.NodeLeaving) })
	tick := time.NewTicker(g.cfg.ProbeInterval / 10)
	defer tick.Stop()
	for g.announcing() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// announcing reports whether the own state is still being sent to others.
func (g *Gossip) announcing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, queued := g.core.queue.items[part{g.core.self.id, partStatus, ""}]
	return queued && g.core.size() > 1
}

// announceEnd tells others that a node which left has ended, so that they need
// not find out.
func (g *Gossip) announceEnd() {
	g.do(func(c *core, now time.Time) {
		if c.self.status.State == fleet.NodeLeaving {
			c.setOwnState(now, fleet.NodeDead)
		}
	})
}

// events hands changes to subscribers. A change that waits is replaced by the
// next one of its node, so at most one per member waits.
type events struct {
	mu          sync.Mutex
	subscribers []func(fleet.Node)
	waiting     map[fleet.NodeID]fleet.Node
	order       []fleet.NodeID
	ready       chan struct{}
}

func newEvents() *events {
	return &events{waiting: map[fleet.NodeID]fleet.Node{}, ready: make(chan struct{}, 1)}
}

func (e *events) subscribe(f func(fleet.Node)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers = append(e.subscribers, f)
}

func (e *events) add(nodes []fleet.Node) {
	if len(nodes) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range nodes {
		if _, ok := e.waiting[n.ID]; !ok {
			e.order = append(e.order, n.ID)
		}
		e.waiting[n.ID] = n
	}
	select {
	case e.ready <- struct{}{}:
	default:
	}
}

func (e *events) take() ([]fleet.Node, []func(fleet.Node)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := make([]fleet.Node, 0, len(e.order))
	for _, id := range e.order {
		nodes = append(nodes, e.waiting[id])
	}
	clear(e.waiting)
	e.order = e.order[:0]
	return nodes, slices.Clone(e.subscribers)
}

func (e *events) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.ready:
		}
		nodes, subscribers := e.take()
		for _, n := range nodes {
			for _, f := range subscribers {
				f(n)
			}
		}
	}
}
