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

// network carries streams and membership in memory, for use in a synctest
// bubble. A cut makes everything between two addresses go silent.
type network struct {
	t     *testing.T
	mu    sync.Mutex
	hosts map[string]*host // by address
	cut   func(from, to string) bool
	// refused says whether an address refuses new streams.
	refused func(to string) bool
}

type host struct {
	mux    map[link.FrameType]link.Handler
	member *membership // nil at control
	ctx    context.Context
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	holder *Holder
	server *Server
	f      *Follower
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, hosts: map[string]*host{}, cut: func(_, _ string) bool { return false }}
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
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

// silent reports whether nothing gets from one address to another.
func (n *network) silent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to) || n.hosts[to] == nil || n.hosts[from] == nil
}

type dialer struct {
	n    *network
	from string
}

func (d dialer) Replace(string) {}
func (d dialer) Close() error   { return nil }

func (d dialer) Open(ctx context.Context, addr string) (link.Stream, error) {
	if d.n.silent(d.from, addr) || d.n.silent(addr, d.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.n.refuses(addr) {
		return nil, errors.New("connection refused")
	}
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	there, back := make(chan link.Frame, 1024), make(chan link.Frame, 1024)
	local := &stream{n: d.n, from: d.from, to: addr, in: back, out: there, ended: ended, end: end}
	remote := &stream{n: d.n, from: addr, to: d.from, in: there, out: back, ended: ended, end: end}
	d.n.mu.Lock()
	h := d.n.hosts[addr]
	d.n.mu.Unlock()
	h.tasks.Go(func() {
		if f, err := remote.ReadFrame(); err == nil {
			h.mux[f.Type](h.ctx, remote, f)
		}
	})
	return local, nil
}

type stream struct {
	n        *network
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
	if s.n.silent(s.from, s.to) {
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

// Close lets the other side read what was sent.
func (s *stream) Close() error { return nil }

// membership tells random members of a node's version, as gossip does.
type membership struct {
	n    *network
	addr string

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
	m.self.Config = v
	m.mu.Unlock()
	m.tell(8, false)
}

// tell sends the own entry to random members, which answer with theirs if
// asked to, as a probe does.
func (m *membership) tell(count int, answer bool) {
	m.n.mu.Lock()
	var to []*membership
	for _, h := range m.n.hosts {
		if h.member != nil && h.member != m {
			to = append(to, h.member)
		}
	}
	m.n.mu.Unlock()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	m.mu.Lock()
	self := m.self
	m.mu.Unlock()
	for _, other := range to[:min(count, len(to))] {
		if !m.n.silent(m.addr, other.addr) {
			delay := time.Millisecond + rand.N(30*time.Millisecond)
			time.AfterFunc(delay, func() {
				other.hear(self)
				if answer && !m.n.silent(other.addr, m.addr) {
					time.AfterFunc(delay, func() { m.hear(other.Members()[0]) })
				}
			})
		}
	}
}

func (m *membership) hear(n fleet.Node) {
	m.mu.Lock()
	m.known[n.ID] = n
	list := m.subscribers
	m.mu.Unlock()
	for _, f := range list {
		f(n)
	}
}

func nodeAddr(i int) string { return fmt.Sprintf("node-%d", i) }

// control starts a control at addr.
func (n *network) control(addr string) *Holder {
	h := &host{holder: NewHolder()}
	h.ctx, h.stop = context.WithCancel(context.Background())
	s := NewServer(Config{}, h.holder, logging.Discard())
	h.server = s
	h.mux = map[link.FrameType]link.Handler{wire.FrameConfigPull: s.HandlePull, wire.FrameConfigWatch: s.HandleWatch}
	n.mu.Lock()
	n.hosts[addr] = h
	n.mu.Unlock()
	return h.holder
}

// node starts node i, which knows all nodes of the network.
func (n *network) node(i, regions int, controls ...string) *host {
	addr := nodeAddr(i)
	self := fleet.Node{
		ID: fleet.NodeID(addr), LinkAddr: addr, Incarnation: 1,
		Region: fmt.Sprint(i % regions), FailureDomain: fmt.Sprint(i % 4),
	}
	h := &host{holder: NewHolder(), member: &membership{n: n, addr: addr, self: self, known: map[fleet.NodeID]fleet.Node{}}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	d := dialer{n, addr}
	h.f = NewFollower(Config{}, self, h.holder, h.member, Dialers{d, d, controls}, logging.Discard())
	s := h.f.Server()
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
		o.hear(self)
		h.member.hear(o.Members()[0])
	}
	h.tasks.Go(func() { h.f.Run(h.ctx) })
	h.tasks.Go(func() {
		for sleep(h.ctx, time.Second) {
			h.member.tell(1, true)
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

// change makes one change at control and returns its version.
func change(t *testing.T, h *Holder, source *resource.Set) resource.Version {
	t.Helper()
	rev := source.Advance()
	source.Put(&resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", rev%7), Revision: rev}, Weight: int(rev)})
	d, err := source.Since(h.Version())
	assert.NilError(t, err)
	assert.NilError(t, h.Offer(d))
	return source.Version()
}

// within waits until all hosts hold version v and returns the time taken.
func within(t *testing.T, limit time.Duration, v resource.Version, hosts ...*host) time.Duration {
	t.Helper()
	began := time.Now()
	for _, h := range hosts {
		for h.holder.Version() != v {
			if time.Since(began) > limit {
				t.Fatalf("%s holds %s after %v, want %s", h.member.addr, h.holder.Version(), limit, v)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}
