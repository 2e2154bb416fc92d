package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/keys"
)

// startNodeWithCalls starts a node that recognizes the calls of running requests.
func startNodeWithCalls(t testing.TB, m *fakeMembership, keyDir, name string, change func(*Settings)) (*Node, func()) {
	callers := ingress.OwnProtocol()
	callers.RequestID, callers.CallSeparator = dispatch.HeaderRequestID, "."
	return startNodeOptions(t, m, keyDir, name, "tls", change, Options{CallerProtocol: callers})
}

// callingUpstream is an upstream whose run of the request "run" makes a call once it is told to.
type callingUpstream struct {
	addr string
	// begun receives a value when the run has begun. The run makes its call after a receive from call.
	begun, call chan struct{}
}

// startCallingUpstream starts an upstream that makes its call through the node at callerAddr.
func startCallingUpstream(t *testing.T, callerAddr string) *callingUpstream {
	u := &callingUpstream{begun: make(chan struct{}, 1), call: make(chan struct{})}
	s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(dispatch.HeaderRequestID)
		if id != "run" {
			return
		}
		u.begun <- struct{}{}
		<-u.call
		if status, err := get(callerAddr, id+".call"); err != nil || status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
			fmt.Fprintf(w, "the call failed: status %d, %v", status, err)
		}
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	u.addr = ln.Addr().String()
	return u
}

// get sends a request with an ID over a new connection.
func get(addr, id string) (status int, err error) {
	req, err := http.NewRequest("GET", "http://"+addr+"/list", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set(dispatch.HeaderRequestID, id)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// awaitLameDuckEnd waits until a node takes no new requests of callers.
func awaitLameDuckEnd(t *testing.T, n *Node) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, err := get(n.settings.CallerAddr, "probe"); err != nil || status == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("the node takes requests")
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against a run that fails in a planned stop of its node, since a call that it makes after the lame-duck time
// is refused.
func TestStoppingNodeTakesCallsOfRunningRequests(t *testing.T) {
	for name, c := range map[string]struct {
		lameDuck time.Duration
		// fromOther says that the caller of the run is at another node.
		fromOther bool
	}{
		"caller at the stopping node": {lameDuck: 200 * time.Millisecond},
		"caller at another node":      {lameDuck: 200 * time.Millisecond, fromOther: true},
		"without a lame-duck time":    {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			keyDir := t.TempDir()
			assert.NilError(t, keys.Init(keyDir))
			m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
			settings := func(s *Settings) { s.LameDuck, s.DrainTimeout = c.lameDuck, 10*time.Second }
			other, _ := startNodeWithCalls(t, m, keyDir, "a", settings)
			n, stop := startNodeWithCalls(t, m, keyDir, "b", settings)
			u := startCallingUpstream(t, n.settings.CallerAddr)
			announceUpstream(t, n, "u1", u.addr, false)
			waitForUpstreams(t, n, 1)
			waitForUpstreams(t, other, 1)
			idle := dial(t, n.settings.CallerAddr)
			caller := n
			if c.fromOther {
				caller = other
			}
			ended := make(chan string, 1)
			go func() { ended <- postRun(caller.settings.CallerAddr) }()
			<-u.begun
			// Calls go to an upstream of a node that does not leave.
			second := startCallingUpstream(t, n.settings.CallerAddr)
			announceUpstream(t, other, "u2", second.addr, false)
			waitForUpstreams(t, n, 2)
			stopped := make(chan struct{})
			go func() { stop(); close(stopped) }()
			awaitLameDuckEnd(t, n)
			io.WriteString(idle, "GET /list HTTP/1.1\r\nHost: shop\r\n"+dispatch.HeaderRequestID+": kept\r\n\r\n")
			assert.Check(t, readStatus(t, idle) == http.StatusServiceUnavailable, "a kept connection is not answered")
			_, err := idle.Read(make([]byte, 1))
			assert.Check(t, errors.Is(err, io.EOF), "%v", err)
			close(u.call)
			assert.Equal(t, <-ended, "200 ")
			<-stopped
		})
	}
}

// Guards against a stopping node that takes a call which its end could cut off while the call's upstream is at work.
func TestStoppingNodeTakesNoCallThatCouldBeCut(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	other, _ := startNodeWithCalls(t, m, keyDir, "a", func(*Settings) {})
	// The deadline of a call is 2 s.
	n, stop := startNodeWithCalls(t, m, keyDir, "b", func(s *Settings) { s.LameDuck, s.DrainTimeout = 200*time.Millisecond, 2*time.Second })
	u := startCallingUpstream(t, n.settings.CallerAddr)
	announceUpstream(t, n, "u1", u.addr, false)
	waitForUpstreams(t, n, 1)
	waitForUpstreams(t, other, 1)
	ended := make(chan string, 1)
	go func() { ended <- postRun(other.settings.CallerAddr) }()
	<-u.begun
	second := startCallingUpstream(t, n.settings.CallerAddr)
	announceUpstream(t, other, "u2", second.addr, false)
	waitForUpstreams(t, n, 2)
	go stop()
	awaitLameDuckEnd(t, n)
	close(u.call)
	assert.Equal(t, <-ended, "500 the call failed: status 503, <nil>")
}

// postRun sends the request "run", and returns the status and body of the answer.
func postRun(addr string) string {
	req, _ := http.NewRequest("POST", "http://"+addr+"/orders", strings.NewReader("lotus"))
	req.Header.Set(dispatch.HeaderRequestID, "run")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}

// Guards against a stop that lasts longer than the lame-duck time although nothing runs, since callers hold
// connections or open new ones.
func TestStopWithoutRunsIsShort(t *testing.T) {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: testSet()}
	const lameDuck, drain = 100 * time.Millisecond, 20 * time.Second
	n, stop := startNodeWithCalls(t, m, keyDir, "a", func(s *Settings) { s.LameDuck, s.DrainTimeout = lameDuck, drain })
	waitForUpstreams(t, n, 0)
	dial(t, n.settings.CallerAddr)
	stopped := make(chan struct{})
	began := time.Now()
	go func() { stop(); close(stopped) }()
	for running := true; running; {
		get(n.settings.CallerAddr, "probe")
		select {
		case <-stopped:
			running = false
		default:
		}
	}
	t.Logf("the stop took %v", time.Since(began))
	assert.Assert(t, time.Since(began) < drain/4, "%v", time.Since(began))
}
