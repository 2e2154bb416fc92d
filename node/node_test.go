package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// hub is a membership without a network: every node hears of all others.
type hub struct {
	mu    sync.Mutex
	nodes map[fleet.NodeID]fleet.Node
	subs  []func(fleet.Node)
	set   *resource.Set
}

func (h *hub) SetLocal(n fleet.Node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodes[n.ID] = n
	for _, f := range h.subs {
		go f(n)
	}
}

func (h *hub) Subscribe(f func(fleet.Node)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs = append(h.subs, f)
	for _, n := range h.nodes {
		go f(n)
	}
}

func (h *hub) Incarnation() uint64         { return 1 }
func (h *hub) Leave(context.Context) error { return nil }
func (h *hub) Close() error                { return nil }

type fixedConfig struct{ set *resource.Set }

func (c fixedConfig) Subscribe(f func(*resource.Set)) { go f(c.set) }
func (c fixedConfig) Control() ControlDialer          { return ControlDialer{} }
func (c fixedConfig) Run(ctx context.Context) error   { <-ctx.Done(); return nil }

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

// freeAddr returns an address on 127.0.0.1 that was free a moment ago.
func freeAddr(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func startNode(t testing.TB, h *hub, keyDir, name, transport string) (*Node, func()) {
	dir := filepath.Join(t.TempDir(), name)
	assert.NilError(t, keys.Issue(keyDir, dir, name, keys.RoleNode, time.Hour))
	set := Defaults()
	set.NodeID, set.Region, set.FailureDomain = name, "r", "fd"
	set.KeysDir, set.LinkTransport = dir, transport
	set.CallerAddr, set.LinkAddr, set.AnnounceAddr = freeAddr(t), freeAddr(t), freeAddr(t)
	log, err := logging.New(os.Stderr, logging.Text, "warn")
	assert.NilError(t, err)
	n, err := New(set, log, Options{Join: func(Parts) (Membership, ConfigSource, error) { return h, fixedConfig{h.set}, nil }})
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
	req, _ := http.NewRequest("PUT", "http://"+n.set.AnnounceAddr+"/v1/upstreams/"+id, strings.NewReader(body))
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

// Guards against the thin path breaking over either transport: a request taken
// by one node is served by an upstream beside another.
func TestRequestCrossesNodes(t *testing.T) {
	for _, transport := range []string{"tls", "quic"} {
		t.Run(transport, func(t *testing.T) { testRequestCrossesNodes(t, transport) })
	}
}

func testRequestCrossesNodes(t *testing.T, transport string) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	h := &hub{nodes: map[fleet.NodeID]fleet.Node{}, set: testSet()}
	a, _ := startNode(t, h, keyDir, "a", transport)
	b, _ := startNode(t, h, keyDir, "b", transport)
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
		req, _ := http.NewRequest(c.method, "http://"+a.set.CallerAddr+c.path, strings.NewReader(c.body))
		resp, err := c.client.Do(req)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, string(got), c.want)
		assert.Equal(t, resp.Header.Get("Godwithub-Outcome"), "answered")
	}
}
