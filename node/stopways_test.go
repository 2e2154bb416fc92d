package node

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

// longRunBytes is the size of large bodies. It is more than is held of a request or read ahead of an answer at once.
const longRunBytes = 4 << 20

// longRun is a request whose run lasts until it is released. Its caller is at the near node, its upstream at the far one.
type longRun struct {
	membership *fakeMembership
	near, far  *Node
	stopNear   func()
	stopFar    func()
	begun      chan struct{}
	release    chan struct{}
}

// startLongRun starts nodes that recognize calls.
func startLongRun(t *testing.T) *longRun {
	return startLongRunWith(t, func(t testing.TB, m *fakeMembership, keyDir, name, _ string, change func(*Settings)) (*Node, func()) {
		return startNodeWithCalls(t, m, keyDir, name, change)
	})
}

type nodeStarter func(t testing.TB, m *fakeMembership, keyDir, name, transport string, change func(*Settings)) (*Node, func())

func startLongRunWith(t *testing.T, start nodeStarter) *longRun {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	set := testSet()
	set.Put(&resource.Limits{Meta: resource.Meta{Name: resource.LimitsName, Revision: 1}, MaxBodyBytes: 2 * longRunBytes})
	for o := range set.All {
		if k, ok := o.(*resource.RequestKind); ok {
			k.DeadlineMs = 20_000
		}
	}
	f := &longRun{
		membership: &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: set},
		begun:      make(chan struct{}, 1), release: make(chan struct{}),
	}
	lameDuck := func(s *Settings) { s.LameDuck, s.DrainTimeout = 100*time.Millisecond, 30*time.Second }
	f.near, f.stopNear = start(t, f.membership, keyDir, "a", "tls", lameDuck)
	f.far, f.stopFar = start(t, f.membership, keyDir, "b", "tls", lameDuck)
	s := http.Server{Handler: http.HandlerFunc(f.serve)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	announceUpstream(t, f.far, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, f.near, 1)
	return f
}

// serve answers with the hash of the request's body, and then with as many bytes as the request asks for.
func (f *longRun) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Long") == "" {
		return
	}
	f.begun <- struct{}{}
	h := sha256.New()
	if _, err := io.Copy(h, r.Body); err != nil {
		return
	}
	io.WriteString(w, hex.EncodeToString(h.Sum(nil)))
	if r.Header.Get("Large") != "" {
		io.WriteString(w, strings.Repeat("x", longRunBytes/2))
		http.NewResponseController(w).Flush()
	}
	<-f.release
	if r.Header.Get("Large") != "" {
		io.WriteString(w, strings.Repeat("x", longRunBytes/2))
	}
}

// send sends a request of a shape, and returns nil if the whole answer has come back.
func (f *longRun) send(shape string) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(shape != "HTTP/2")
	protocols.SetUnencryptedHTTP2(shape == "HTTP/2")
	client := http.Client{Transport: &http.Transport{Protocols: protocols, DisableKeepAlives: shape != "HTTP/2"}}
	body, want := io.Reader(strings.NewReader("lotus")), hashOf([]byte("lotus"))
	if shape == "upload" {
		whole := randomBytes(1, longRunBytes)
		want = hashOf(whole)
		body = io.MultiReader(strings.NewReader(string(whole[:longRunBytes/2])), waitingReader{f.release}, strings.NewReader(string(whole[longRunBytes/2:])))
	}
	req, err := http.NewRequest("POST", "http://"+f.near.settings.CallerAddr+"/orders", body)
	if err != nil {
		return err
	}
	req.Header.Set(dispatch.HeaderRequestID, "run")
	req.Header.Set("Long", "yes")
	if shape == "download" {
		req.Header.Set("Large", "yes")
		want += strings.Repeat("x", longRunBytes)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	<-f.release // a caller that reads late
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d, %s", resp.StatusCode, resp.Header.Get("Godwithub-Reason"))
	case string(got) != want:
		return fmt.Errorf("%d bytes in place of %d", len(got), len(want))
	}
	return nil
}

// waitingReader ends when a channel is closed.
type waitingReader struct{ closed <-chan struct{} }

func (r waitingReader) Read([]byte) (int, error) {
	<-r.closed
	return 0, io.EOF
}

// awaitNoUpstream waits until the near node sends nothing to the far node's upstream.
func (f *longRun) awaitNoUpstream(t *testing.T) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, u := range f.near.board.View().Upstreams["shop"] {
			if u.ID == "u1" && u.State != fleet.UpstreamDraining {
				return poll.Continue("state %v", u.State)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// changeState makes membership report the far node in a state.
func (f *longRun) changeState(state fleet.NodeState) {
	f.membership.mu.Lock()
	n := f.membership.nodes["b"]
	f.membership.mu.Unlock()
	n.State, n.Incarnation = state, n.Incarnation+1
	f.near.post(board.NodeChanged{Node: n})
}

// Guards against a request that is given up while its upstream is at work, since something else ends that is planned:
// a node, the announcement of an upstream, a node's place in the membership, or a configuration.
func TestRunOutlivesPlannedChanges(t *testing.T) {
	events := map[string]func(t *testing.T, f *longRun){
		"the node of the caller stops": func(t *testing.T, f *longRun) {
			go f.stopNear()
			awaitLameDuckEnd(t, f.near)
		},
		"the node of the upstream stops": func(t *testing.T, f *longRun) {
			go f.stopFar()
			awaitLameDuckEnd(t, f.far)
			f.awaitNoUpstream(t)
		},
		"both nodes stop": func(t *testing.T, f *longRun) {
			go f.stopNear()
			go f.stopFar()
			awaitLameDuckEnd(t, f.near)
			awaitLameDuckEnd(t, f.far)
		},
		"the node of the upstream is taken for dead": func(t *testing.T, f *longRun) {
			f.changeState(fleet.NodeDead)
			f.awaitNoUpstream(t)
		},
		"the upstream drains": func(t *testing.T, f *longRun) {
			announcementSink{f.far}.Announce(announce.Announcement{ID: "u1", Service: "shop", Draining: true, LeaseMs: 60_000})
			f.awaitNoUpstream(t)
		},
		"the upstream leaves": func(t *testing.T, f *longRun) {
			announcementSink{f.far}.Withdraw("u1")
			f.awaitNoUpstream(t)
		},
		"the upstream leaves and its node stops": func(t *testing.T, f *longRun) {
			announcementSink{f.far}.Withdraw("u1")
			go f.stopFar()
			awaitLameDuckEnd(t, f.far)
			f.awaitNoUpstream(t)
		},
		"a configuration shortens the deadline": func(t *testing.T, f *longRun) {
			s := testSet()
			s.Advance()
			for o := range s.All {
				if k, ok := o.(*resource.RequestKind); ok {
					k.DeadlineMs = 1
				}
			}
			c := resource.Compile(s)
			for _, n := range []*Node{f.near, f.far} {
				n.post(board.ConfigChanged{Config: c})
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if n.board.View().Config == c {
						return poll.Success()
					}
					return poll.Continue("the configuration is not in force")
				}, poll.WithDelay(time.Millisecond))
			}
		},
	}
	for name, event := range events {
		for _, shape := range []string{"HTTP/1.1", "HTTP/2", "upload", "download"} {
			t.Run(name+"/"+shape, func(t *testing.T) {
				t.Parallel()
				f := startLongRun(t)
				ended := make(chan error, 1)
				go func() { ended <- f.send(shape) }()
				<-f.begun
				event(t, f)
				select {
				case err := <-ended:
					t.Errorf("the request ended while its upstream was at work: %v", err)
					close(f.release)
				default:
					close(f.release)
					assert.NilError(t, <-ended)
				}
			})
		}
	}
}
