package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// Guards against a planned stop that cuts requests off without an answer: one whose head was read in
// part when the listener closed, one on a connection that was accepted just before, one with a body
// that is still on its way, and one that its upstream is at work on.
func TestStopAnswersRequestsThatWereAccepted(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	n, stop := startNode(t, m, keyDir, "a", "tls")
	upstream := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "done")
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go upstream.Serve(ln)
	defer upstream.Close()
	announceUpstream(t, n, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, n, 1)

	halfHead, halfBody, silent, running := dial(t, n.settings.CallerAddr), dial(t, n.settings.CallerAddr), dial(t, n.settings.CallerAddr), dial(t, n.settings.CallerAddr)
	io.WriteString(halfHead, "GET /list HTTP/1.1\r\nHost: shop\r\n")
	io.WriteString(halfBody, "POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\nlo")
	io.WriteString(running, "GET /list HTTP/1.1\r\nHost: shop\r\n\r\n")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.dispatcher.Metrics().Get("attempts").String() == "1" {
			return poll.Success()
		}
		return poll.Continue("the first request is not at its upstream")
	}, poll.WithDelay(time.Millisecond))
	go stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", n.settings.CallerAddr)
		if err != nil {
			return poll.Success()
		}
		c.Close()
		return poll.Continue("the listener is open")
	}, poll.WithDelay(time.Millisecond))
	io.WriteString(silent, "GET /list HTTP/1.1\r\nHost: shop\r\n\r\n")
	// The last bytes arrive after the request that was running has ended.
	assert.Equal(t, readStatus(t, running), http.StatusOK)
	io.WriteString(halfHead, "\r\n")
	io.WriteString(halfBody, "tus")
	for name, c := range map[string]net.Conn{"half a head": halfHead, "half a body": halfBody, "silent": silent} {
		status := readStatus(t, c)
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%s: status %d", name, status)
	}
}

// Guards against a fleet that sends nothing to the upstreams of a node while it stops, which takes seconds, and
// against requests that are lost at its end.
func TestStoppingNodeServesShortRequestsOfOthers(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	lameDuck := func(s *Settings) { s.LameDuck, s.DrainTimeout = time.Second, 2*time.Second }
	a, _ := startNodeWith(t, m, keyDir, "a", "tls", lameDuck)
	b, stop := startNodeWith(t, m, keyDir, "b", "tls", lameDuck)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done") })}
	go upstream.Serve(ln)
	defer upstream.Close()
	announceUpstream(t, b, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, a, 1)
	request := func() (status int, outcome string) {
		resp, err := http.Post("http://"+a.settings.CallerAddr+"/orders", "text/plain", strings.NewReader("lotus"))
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Godwithub-Outcome")
	}
	status, _ := request()
	assert.Equal(t, status, http.StatusOK)
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := a.board.View().Upstreams["shop"]; len(u) > 0 && !u[0].LeavingSince.IsZero() {
			return poll.Success()
		}
		return poll.Continue("a does not know that b is leaving")
	}, poll.WithDelay(time.Millisecond))
	status, _ = request()
	assert.Equal(t, status, http.StatusOK)
	for {
		status, outcome := request()
		assert.Assert(t, status == http.StatusOK || strings.HasPrefix(outcome, "not-run"), "status %d, %s", status, outcome)
		select {
		case <-stopped:
			return
		default:
		}
	}
}

// readStatus reads a whole answer and returns its status, or 0 if the connection ended without one.
func readStatus(t *testing.T, c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Logf("no answer: %v", err)
		return 0
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against a planned stop that cuts off a request which the stopping node took from another node although
// it could outlast the stop.
func TestStopCutsNoRequestOfOthersThatRunsLong(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	for o := range m.config.All {
		if k, ok := o.(*resource.RequestKind); ok {
			k.DeadlineMs = 10_000
		}
	}
	lameDuck := func(s *Settings) { s.LameDuck, s.DrainTimeout = time.Second, time.Second }
	a, _ := startNodeWith(t, m, keyDir, "a", "tls", lameDuck)
	b, stop := startNodeWith(t, m, keyDir, "b", "tls", lameDuck)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	begun := make(chan struct{}, 1)
	upstream := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Long") != "" {
			begun <- struct{}{}
			<-r.Context().Done()
		}
	})}
	go upstream.Serve(ln)
	defer upstream.Close()
	announceUpstream(t, b, "u1", ln.Addr().String(), false)
	waitForUpstreams(t, a, 1)
	for range 20 {
		resp, err := http.Post("http://"+a.settings.CallerAddr+"/orders", "text/plain", strings.NewReader("lotus"))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	go stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := a.board.View().Upstreams["shop"]; len(u) > 0 && !u[0].LeavingSince.IsZero() {
			return poll.Success()
		}
		return poll.Continue("a does not know that b is leaving")
	}, poll.WithDelay(time.Millisecond))
	req, err := http.NewRequest("POST", "http://"+a.settings.CallerAddr+"/orders", strings.NewReader("lotus"))
	assert.NilError(t, err)
	req.Header.Set("Long", "yes")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	select {
	case <-begun:
		t.Errorf("the upstream was at work on a request that was answered with status %d, %s", resp.StatusCode, resp.Header.Get("Godwithub-Outcome"))
	default:
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
}

// Guards against an idempotent request that fails since the node on which it runs stops, although another node could
// still run it.
func TestStopHandsIdempotentRequestsBack(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	a, _ := startNode(t, m, keyDir, "a", "tls")
	b, stop := startNodeWith(t, m, keyDir, "b", "tls", func(s *Settings) { s.DrainTimeout = time.Second })
	begun := make(chan struct{}, 1)
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	defer hanging.Close()
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	defer other.Close()
	announceUpstream(t, b, "u1", hanging.Listener.Addr().String(), false)
	waitForUpstreams(t, a, 1)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + a.settings.CallerAddr + "/list")
		if assert.Check(t, err) {
			resp.Body.Close()
			status <- resp.StatusCode
		}
	}()
	<-begun
	announceUpstream(t, a, "u2", other.Listener.Addr().String(), false)
	waitForUpstreams(t, a, 2)
	stop()
	assert.Equal(t, <-status, http.StatusOK)
}

// Guards against a request that is read so late in a stop that the end of the process cuts it off: its head was not whole
// when the wait for unread requests was over, and another node's upstream is at work on it.
func TestRequestThatIsReadLateInAStopIsNotBegun(t *testing.T) {
	f := startLongRunWith(t, startNodeWith)
	ended := make(chan error, 1)
	go func() { ended <- f.send("HTTP/1.1") }()
	<-f.begun
	late := dial(t, f.far.settings.CallerAddr)
	io.WriteString(late, "POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\n")
	other := startCallingUpstream(t, f.near.settings.CallerAddr)
	announceUpstream(t, f.near, "u2", other.addr, false)
	waitForUpstreams(t, f.far, 2)
	go f.stopFar()
	awaitLameDuckEnd(t, f.far)
	f.awaitNoUpstream(t)
	io.WriteString(late, "\r\n")
	assert.Equal(t, readStatus(t, late), http.StatusServiceUnavailable)
	close(f.release)
	assert.NilError(t, <-ended)
}
