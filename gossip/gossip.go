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

// receiveBufferSize is the size of the socket's receive buffer, in bytes. It holds the bursts of
// datagrams that follow a mass event.
const receiveBufferSize = 1 << 20

// Gossip runs the membership protocol for one node. All methods are safe for concurrent use.
type Gossip struct {
	cfg              Config
	log              *slog.Logger
	dialer           link.Dialer
	conn             *net.UDPConn
	sealer           *sealer
	opener           *opener
	counters         *counters
	wake             chan struct{} // signals that the next tick may be due earlier
	exchangeRequests chan string   // link address of the node to run a full exchange with
	storeDue         chan struct{} // signals that departures have to be stored

	mu   sync.Mutex
	core *core

	events *events
	recall *recall
}

// New opens the node's socket on local.GossipAddr; if the port is 0, a free port is chosen and
// announced. The node takes part in membership once Run is called. Streams that begin with
// wire.FrameMembers must be routed to HandleStream.
func New(cfg Config, local fleet.Node, key [keys.GossipKeySize]byte, d link.Dialer, log *slog.Logger) (*Gossip, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if !validName(string(local.ID)) {
		return nil, fmt.Errorf("gossip: node ID %q is not 1 to %d bytes long", local.ID, maxName)
	}
	addr, err := netip.ParseAddrPort(local.GossipAddr)
	if err != nil {
		return nil, fmt.Errorf("gossip: invalid gossip address %q: %w", local.GossipAddr, err)
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
		cfg:              cfg,
		log:              logging.Part(log, "gossip"),
		dialer:           d,
		conn:             conn,
		sealer:           s,
		opener:           newOpener(key, local.ID),
		counters:         &counters{},
		wake:             make(chan struct{}, 1),
		exchangeRequests: make(chan string, 1),

		storeDue: make(chan struct{}, 1),
		events:   newEvents(),
		recall:   newRecall(),
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		g.log.Warn("cannot enlarge the receive buffer of the gossip socket", "err", err)
	}
	g.core = newCore(cfg, local, rand.Uint64(), time.Now(), g.counters)
	g.loadDepartures()
	return g, nil
}

// Run takes part in membership until ctx is done. If Leave was called, the node announces itself
// as dead before Run returns.
func (g *Gossip) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(g.readDatagrams)
	tasks.Go(func() { g.runTimer(ctx) })
	tasks.Go(func() { g.runExchanges(ctx) })
	tasks.Go(func() { g.events.run(ctx) })
	tasks.Go(func() { g.saveDepartures(ctx) })
	<-ctx.Done()
	g.announceDead()
	err := g.conn.Close()
	tasks.Wait()
	return err
}

// updateCore runs f on the core, then sends the resulting packets and publishes the changes.
func (g *Gossip) updateCore(f func(c *core, now time.Time)) {
	g.mu.Lock()
	before := g.core.nextTick()
	f(g.core, time.Now())
	packets, changed := g.core.takeOutput()
	recalled := g.core.takeRecalled()
	storeDue := g.core.storing.due
	g.core.storing.due = false
	sooner := g.core.nextTick().Before(before)
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
	g.recall.deliver(recalled)
	if storeDue {
		select {
		case g.storeDue <- struct{}{}:
		default:
		}
	}
}

func (g *Gossip) sendPacket(p packet) {
	addr, err := netip.ParseAddrPort(p.addr)
	if err == nil {
		b := g.sealer.seal(p.receiver, p.payload)
		g.counters.DatagramsSent.Add(1)
		g.counters.BytesSent.Add(uint64(len(b) + packetOverhead))
		_, err = g.conn.WriteToUDPAddrPort(b, addr)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		g.counters.SendErrors.Add(1)
		g.log.Debug("cannot send datagram", "to", p.receiver, "addr", p.addr, "err", err)
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
			// The error may be an ICMP reply to an earlier datagram.
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
		g.updateCore(func(c *core, now time.Time) { err = c.receive(now, src, payload) })
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
	g.log.Debug("received datagram was refused", "from", from, "err", err)
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
			g.updateCore(func(c *core, now time.Time) {
				c.tick(now)
				if addr, ok := c.bulkPartner(now); ok {
					g.requestExchange(addr)
				}
			})
		}
		g.mu.Lock()
		next := g.core.nextTick()
		g.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

// requestExchange requests a full exchange with the node at addr, unless another request is
// pending.
func (g *Gossip) requestExchange(addr string) {
	select {
	case g.exchangeRequests <- addr:
	default:
	}
}

// SetLocal sets what is announced of this node. The ID, Incarnation and GossipAddr of n are
// ignored. Changes are pushed to a few members at once. NodeLeaving can't be undone.
func (g *Gossip) SetLocal(n fleet.Node) {
	g.updateCore(func(c *core, now time.Time) {
		n.GossipAddr = c.self.meta.GossipAddr
		c.setLocal(now, n)
	})
}

// Local returns this node as announced.
func (g *Gossip) Local() fleet.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.self.node()
}

// SetConfig announces the configuration version that this node applies, and leaves the rest of
// the announced node unchanged. SetConfig and SetLocal ignore a version that is lower than the
// announced one.
func (g *Gossip) SetConfig(v resource.Version) {
	g.updateCore(func(c *core, now time.Time) {
		if c.raiseConfigVersion(v) {
			c.pushConfigNotice()
		}
	})
}

// Members returns the known nodes, sorted by ID. They include this node and dead nodes that have
// not expired.
func (g *Gossip) Members() []fleet.Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.nodes()
}

// Subscribe registers f to be called for each node that changes from now on. The calls are made in
// order from one goroutine, so f should return quickly. Several changes of a node may be reported
// as one.
func (g *Gossip) Subscribe(f func(fleet.Node)) { g.events.subscribe(f) }

// Leave announces that the node is shutting down and takes no new work. It returns when the change
// has been sent as many times as the retransmit limit asks for, or when ctx is done. The node
// answers probes until Run returns.
func (g *Gossip) Leave(ctx context.Context) error {
	g.updateCore(func(c *core, now time.Time) { c.setOwnState(now, fleet.NodeLeaving) })
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

// announcing reports whether other members may not have heard of this node's state yet.
func (g *Gossip) announcing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.announcingSelf()
}

// announceDead announces this node as dead if it is leaving, so that the others don't have to detect
// its death.
func (g *Gossip) announceDead() {
	g.updateCore(func(c *core, now time.Time) {
		if c.self.status.State == fleet.NodeLeaving {
			c.setOwnState(now, fleet.NodeDead)
		}
	})
}

// events delivers changes to subscribers. A newer change of a node replaces its pending one, so
// at most one change per member is pending.
type events struct {
	mu          sync.Mutex
	subscribers []func(fleet.Node)
	pending     map[fleet.NodeID]fleet.Node
	order       []fleet.NodeID
	ready       chan struct{}
}

func newEvents() *events {
	return &events{pending: map[fleet.NodeID]fleet.Node{}, ready: make(chan struct{}, 1)}
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
		if _, ok := e.pending[n.ID]; !ok {
			e.order = append(e.order, n.ID)
		}
		e.pending[n.ID] = n
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
		nodes = append(nodes, e.pending[id])
	}
	clear(e.pending)
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
