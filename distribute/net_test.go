package distribute

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// network is an in-memory network for streams and membership, for use in a synctest bubble.
type network struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]*host           // by address
	cut   func(from, to string) bool // whether everything sent between two addresses is lost
	// refused reports whether an address refuses new streams.
	refused func(to string) bool
	// newsLoss is the share of the messages of membership that are lost.
	newsLoss float64
	// nodeConfig holds the settings of the nodes.
	nodeConfig Config
	// withoutProofs says that control proves nothing.
	withoutProofs bool
}

// host is a control replica or a node of the network.
type host struct {
	mux      map[link.FrameType]link.Handler
	member   *membership // nil at control
	ctx      context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	holder   *Holder
	server   *Server
	follower *Follower
}

// newNetwork returns a network whose hosts are stopped when the test ends.
func newNetwork(t *testing.T) *network {
	n := &network{t: t, hosts: map[string]*host{}, cut: func(_, _ string) bool { return false }}
	t.Cleanup(n.stop)
	return n
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) setNewsLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.newsLoss = share
}

func (n *network) setRefused(refused func(to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

func (n *network) refuses(to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused != nil && n.refused(to)
}

// silent reports whether everything sent from one address to another is lost.
func (n *network) silent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.hosts[to] == nil || n.hosts[from] == nil
}

type dialer struct {
	network *network
	from    string
}

func (d dialer) Replace(string) {}
func (d dialer) Close() error   { return nil }

func (d dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	if d.network.silent(d.from, addr) || d.network.silent(addr, d.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.network.refuses(addr) {
		return nil, errors.New("connection refused")
	}
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	toRemote, toLocal := make(chan link.Frame, 1024), make(chan link.Frame, 1024)
	local := &stream{network: d.network, from: d.from, to: addr, in: toLocal, out: toRemote, ended: ended, end: end}
	remote := &stream{network: d.network, from: addr, to: d.from, in: toRemote, out: toLocal, ended: ended, end: end}
	d.network.mu.Lock()
	h := d.network.hosts[addr]
	d.network.mu.Unlock()
	h.tasks.Go(func() {
		if f, err := remote.ReadFrame(); err == nil {
			h.mux[f.Type](h.ctx, remote, f)
		}
	})
	return local, nil
}

type stream struct {
	network  *network
	from, to string
	in, out  chan link.Frame
	ended    chan struct{}
	end      func()
	deadline time.Time
}

func (s *stream) ReadFrame() (link.Frame, error) {
	var expired <-chan time.Time
	if !s.deadline.IsZero() {
		timer := time.NewTimer(time.Until(s.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case f := <-s.in:
		return f, nil
	default:
	}
	select {
	case f := <-s.in:
		return f, nil
	case <-s.ended:
		return link.Frame{}, link.ErrReset
	case <-expired:
		return link.Frame{}, os.ErrDeadlineExceeded
	}
}

func (s *stream) WriteFrame(t link.FrameType, payload []byte) error {
	if len(payload) > link.MaxPayload {
		return link.ErrFrameTooLarge
	}
	time.Sleep(time.Millisecond)
	if s.network.silent(s.from, s.to) {
		return nil
	}
	select {
	case s.out <- link.Frame{Type: t, Payload: payload}:
		return nil
	case <-s.ended:
		return link.ErrReset
	}
}

func (s *stream) BufferFrame(link.FrameType, []byte) error { panic("not used by distribution") }

func (s *stream) SetReadDeadline(t time.Time) error { s.deadline = t; return nil }
func (s *stream) Reset()                            { s.end() }
func (s *stream) PeerName() string                  { return s.to }
func (s *stream) PeerHasRole(string) bool           { return true }

// Close does nothing, so that the other side can still read what was sent.
func (s *stream) Close() error { return nil }

// membership simulates gossip: it sends the entry of its own node to random members.
type membership struct {
	network *network
	addr    string

	mu          sync.Mutex
	self        fleet.Node
	known       map[fleet.NodeID]fleet.Node
	subscribers []func(fleet.Node)
}

func (m *membership) Members() []fleet.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []fleet.Node{m.self}
	for _, n := range m.known {
		out = append(out, n)
	}
	return out
}

func (m *membership) Subscribe(f func(fleet.Node)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

func (m *membership) SetConfig(v resource.Version) {
	m.mu.Lock()
	m.self.ConfigVersion = v
	m.mu.Unlock()
	m.sendSelf(8, false)
}

// sendSelf sends the entry of the own node to random members. If reply is true, they reply with
// theirs, as to a probe of gossip.
func (m *membership) sendSelf(count int, reply bool) {
	m.network.mu.Lock()
	newsLoss := m.network.newsLoss
	var others []*membership
	for _, h := range m.network.hosts {
		if h.member != nil && h.member != m {
			others = append(others, h.member)
		}
	}
	m.network.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	for _, other := range others[:min(count, len(others))] {
		if !m.network.silent(m.addr, other.addr) && rand.Float64() >= newsLoss {
			delay := time.Millisecond + rand.N(30*time.Millisecond)
			time.AfterFunc(delay, func() {
				other.receive(self)
				if reply && !m.network.silent(other.addr, m.addr) {
					time.AfterFunc(delay, func() { m.receive(other.Members()[0]) })
				}
			})
		}
	}
}

func (m *membership) receive(n fleet.Node) {
	m.mu.Lock()
	m.known[n.ID] = n
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, f := range subscribers {
		f(n)
	}
}

func nodeAddr(i int) string { return fmt.Sprintf("node-%d", i) }

// control starts a control replica at addr and returns its Holder.
func (n *network) control(addr string) *Holder {
	h := &host{holder: NewHolder()}
	h.ctx, h.stop = context.WithCancel(context.Background())
	s := NewServer(Config{}, h.holder, logging.Discard())
	if !n.withoutProofs {
		s.ProveCurrent()
	}
	h.server = s
	h.mux = map[link.FrameType]link.Handler{wire.FrameConfigPull: s.HandlePull, wire.FrameConfigWatch: s.HandleWatch}
	n.mu.Lock()
	n.hosts[addr] = h
	n.mu.Unlock()
	return h.holder
}

// node starts node i, which knows all other nodes of the network.
func (n *network) node(i, regions int, controlAddrs ...string) *host {
	addr := nodeAddr(i)
	self := fleet.Node{
		ID: fleet.NodeID(addr), LinkAddr: addr, Incarnation: 1,
		Region: fmt.Sprint(i % regions), FailureDomain: fmt.Sprint(i % 4),
	}
	h := &host{holder: NewHolder(), member: &membership{network: n, addr: addr, self: self, known: map[fleet.NodeID]fleet.Node{}}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	d := dialer{n, addr}
	h.follower = NewFollower(n.nodeConfig, self, h.holder, h.member, Dialers{d, d, controlAddrs}, logging.Discard())
	s := h.follower.Server()
	h.mux = map[link.FrameType]link.Handler{wire.FrameConfigPull: s.HandlePull, wire.FrameConfigWatch: s.HandleWatch}
	n.mu.Lock()
	others := make([]*membership, 0, len(n.hosts))
	for _, o := range n.hosts {
		if o.member != nil {
			others = append(others, o.member)
		}
	}
	n.hosts[addr] = h
	n.mu.Unlock()
	for _, o := range others {
		o.receive(self)
		h.member.receive(o.Members()[0])
	}
	h.tasks.Go(func() { h.follower.Run(h.ctx) })
	h.tasks.Go(func() {
		for sleep(h.ctx, time.Second) {
			h.member.sendSelf(1, true)
		}
	})
	return h
}

func (n *network) stop() {
	n.mu.Lock()
	hosts := n.hosts
	n.hosts = map[string]*host{}
	n.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		h.tasks.Wait()
	}
	time.Sleep(time.Minute)
}

// applyChange makes one change at a control replica and returns the new version.
func applyChange(t *testing.T, h *Holder, source *resource.Set) resource.Version {
	t.Helper()
	rev := source.Advance()
	source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", rev%7), Revision: rev}, Weight: int(rev)})
	d, err := source.Since(h.Version())
	assert.NilError(t, err)
	assert.NilError(t, h.Offer(d))
	return source.Version()
}

// waitForVersion waits until all hosts hold version v and returns the time that it took. It fails the
// test after limit.
func waitForVersion(t *testing.T, limit time.Duration, v resource.Version, hosts ...*host) time.Duration {
	t.Helper()
	start := time.Now()
	for _, h := range hosts {
		for h.holder.Version() != v {
			if time.Since(start) > limit {
				t.Fatalf("%s holds %s after %v, want %s", h.member.addr, h.holder.Version(), limit, v)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(start)
}
