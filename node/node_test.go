package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/explain"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// fakeMembership implements Membership without a network: one value is shared by all nodes and
// reports each of them to all. As in package gossip, a subscriber gets the changes in order:
// two changes of a node that overtake each other leave the board with the older one.
type fakeMembership struct {
	announce.NoDepartures
	mu          sync.Mutex
	nodes       map[fleet.NodeID]fleet.Node
	subscribers []chan fleet.Node
	config      *resource.Set
}

// fakeMembershipQueue is the number of changes that a subscriber may be behind before SetLocal blocks.
const fakeMembershipQueue = 1024

func (m *fakeMembership) SetLocal(n fleet.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[n.ID] = n
	for _, changes := range m.subscribers {
		changes <- n
	}
}

func (m *fakeMembership) Subscribe(f func(fleet.Node)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := make(chan fleet.Node, fakeMembershipQueue)
	m.subscribers = append(m.subscribers, changes)
	for _, n := range m.nodes {
		changes <- n
	}
	go func() {
		for n := range changes {
			f(n)
		}
	}()
}

func (m *fakeMembership) Incarnation() uint64 { return 1 }

func (m *fakeMembership) Leave(context.Context) error { return nil }
func (m *fakeMembership) Close() error                { return nil }

type fixedConfig struct{ config *resource.Set }

func (c fixedConfig) Subscribe(f func(*resource.Set)) { go f(c.config) }
func (c fixedConfig) Control() ControlDialer          { return ControlDialer{} }

func (c fixedConfig) Confirm(context.Context) (resource.Version, bool) {
	return resource.Version{}, true
}
func (c fixedConfig) Fresh(resource.Version) bool    { return true }
func (c fixedConfig) ProofsChanged() <-chan struct{} { return nil }
func (c fixedConfig) Run(ctx context.Context) error  { <-ctx.Done(); return nil }

func testSet() *resource.Set {
	s := resource.NewSet(resource.Version{Epoch: 1})
	rev := s.Advance()
	for _, o := range []resource.Object{
		&resource.Rank{Meta: resource.Meta{Name: "urgent", Revision: rev}, Level: 0},
		&resource.Rank{Meta: resource.Meta{Name: "normal", Revision: rev}, Level: 1, Share: 0.2},
		&resource.Service{Meta: resource.Meta{Name: "shop", Revision: rev}, Floor: 1},
		&resource.Route{Meta: resource.Meta{Name: "all", Revision: rev}, Host: "*", PathPrefix: "/", Service: "shop"},
		&resource.RequestKind{Meta: resource.Meta{Name: "browse", Revision: rev}, Service: "shop", Method: "GET", Path: "/*", Idempotent: true, Rank: "normal", DeadlineMs: 2000, LatencyObjectiveMs: 100, AvailabilityObjective: 0.99},
		&resource.RequestKind{Meta: resource.Meta{Name: "order", Revision: rev}, Service: "shop", Method: "POST", Path: "/orders", Rank: "urgent", DeadlineMs: 2000, LatencyObjectiveMs: 100, AvailabilityObjective: 0.99},
	} {
		s.Put(o)
	}
	return s
}

// freeAddr returns an address on 127.0.0.1 whose port was free at the time of the call.
func freeAddr(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func startNode(t testing.TB, m *fakeMembership, keyDir, name, transport string) (*Node, func()) {
	return startNodeWith(t, m, keyDir, name, transport, func(*Settings) {})
}

// startNodeWith starts a node with settings that the function change has modified.
func startNodeWith(t testing.TB, m *fakeMembership, keyDir, name, transport string, change func(*Settings)) (*Node, func()) {
	return startNodeOptions(t, m, keyDir, name, transport, change, Options{})
}

// startNodeOptions starts a node with settings that the function change has modified, and with options.
func startNodeOptions(t testing.TB, m *fakeMembership, keyDir, name, transport string, change func(*Settings), options Options) (*Node, func()) {
	dir := filepath.Join(t.TempDir(), name)
	assert.NilError(t, keys.Issue(keyDir, dir, name, keys.RoleNode, time.Hour))
	settings := Defaults()
	settings.NodeID, settings.Region, settings.FailureDomain = name, "r", "fd"
	settings.KeysDir, settings.LinkTransport = dir, transport
	settings.CallerAddr, settings.LinkAddr, settings.AnnounceAddr = freeAddr(t), freeAddr(t), freeAddr(t)
	change(&settings)
	log, err := logging.New(os.Stderr, logging.Text, "warn")
	assert.NilError(t, err)
	options.Join = func(Parts) (Membership, ConfigSource, error) { return m, fixedConfig{m.config}, nil }
	n, err := New(settings, log, options)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); assert.Check(t, <-done) }) }
	t.Cleanup(stop)
	return n, stop
}

func announceUpstream(t testing.TB, n *Node, id, addr string, draining bool) {
	body := fmt.Sprintf(`{"service":"shop","addr":%q,"slots":5,"connections":400,"leaseMs":60000,"draining":%v}`, addr, draining)
	req, _ := http.NewRequest("PUT", "http://"+n.settings.AnnounceAddr+"/v1/upstreams/"+id, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
}

func waitForUpstreams(t testing.TB, n *Node, want int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		v := n.board.View()
		if v.Config != nil && len(v.Upstreams["shop"]) == want {
			return poll.Success()
		}
		return poll.Continue("%d upstreams", len(v.Upstreams["shop"]))
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a broken request path between nodes, over either transport: a request that
// arrives at one node is served by an upstream of another.
func TestRequestCrossesNodes(t *testing.T) {
	for _, transport := range []string{"tls", "quic"} {
		t.Run(transport, func(t *testing.T) { testRequestCrossesNodes(t, transport) })
	}
}

func testRequestCrossesNodes(t *testing.T, transport string) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	a, _ := startNode(t, m, keyDir, "a", transport)
	b, _ := startNode(t, m, keyDir, "b", transport)
	upstream := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go upstream.Serve(ln)
	defer upstream.Close()
	announceUpstream(t, b, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, a, 1)

	http2 := new(http.Protocols)
	http2.SetUnencryptedHTTP2(true)
	for _, c := range []struct {
		client                   *http.Client
		method, path, body, want string
	}{
		{http.DefaultClient, "GET", "/list", "", "GET /list "},
		{http.DefaultClient, "POST", "/orders", "lotus", "POST /orders lotus"},
		{&http.Client{Transport: &http.Transport{Protocols: http2}}, "POST", "/orders", "reed", "POST /orders reed"},
	} {
		req, _ := http.NewRequest(c.method, "http://"+a.settings.CallerAddr+c.path, strings.NewReader(c.body))
		resp, err := c.client.Do(req)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, string(got), c.want)
		assert.Equal(t, resp.Header.Get("Godwithub-Outcome"), "answered")
	}
	testExplainRoute(t, a, b)
}

// testExplainRoute guards against an explanation that leaves out the upstream at b, or counts as traffic at a node.
func testExplainRoute(t *testing.T, a, b *Node) {
	counts := func() string { return a.ingress.Metrics().String() + b.dispatcher.Metrics().String() }
	before, w := counts(), httptest.NewRecorder()
	a.debugHandler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/route?method=POST&host=shop&path=/orders", nil))
	var r explain.Route
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &r))
	assert.Equal(t, r.Parts[0].Kind+" at "+r.Parts[0].Candidates[0].Upstream+": "+r.Parts[0].Candidates[0].Tier, "order at u1: near")
	assert.Equal(t, len(r.Parts[0].Refusals), 0)
	assert.Equal(t, counts(), before)
}

// Guards against a node that reaches the upstream of its own VM over the network, through the address that it
// advertises.
func TestOwnUpstreamNeedsNoNetwork(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	n, _ := startNodeWith(t, m, keyDir, "a", "tls", func(s *Settings) { s.LinkAdvertise = freeAddr(t) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done") })}
	go upstream.Serve(ln)
	defer upstream.Close()
	announceUpstream(t, n, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, n, 1)
	resp, err := http.Get("http://" + n.settings.CallerAddr + "/list")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK, resp.Header.Get("Godwithub-Reason"))
}
