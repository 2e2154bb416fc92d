package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

// longRunHeader is the header of a request whose run the upstream does not end by itself.
const longRunHeader = "Long"

// usualRun is how long the other runs last.
const usualRun = 5 * time.Millisecond

// stoppingFleet is the node near, which takes requests of callers, and the node far beside the only upstream. far has
// begun to leave, and near knows how long requests usually run.
type stoppingFleet struct {
	near *Node
	// begun receives a value for each long run.
	begun chan struct{}
}

// startStopping starts the fleet. run serves the long runs, which end with the context of their request; the others
// answer at once. usual makes a usual request.
func startStopping(t *testing.T, run http.HandlerFunc, usual func(addr string) (*http.Response, error)) *stoppingFleet {
	keyDir := t.TempDir()
	assert.NilError(t, keys.Init(keyDir))
	set := testSet()
	set.Put(&resource.Limits{Meta: resource.Meta{Name: resource.LimitsName, Revision: 1}, MaxBodyBytes: uploadLimit})
	set.Put(&resource.RequestKind{Meta: resource.Meta{Name: "file", Revision: 1}, Service: "shop", Method: "PUT", Path: "/files*", Idempotent: true, Rank: "normal", DeadlineMs: 10_000, LatencyObjectiveMs: 100, AvailabilityObjective: 0.99})
	for o := range set.All {
		if k, ok := o.(*resource.RequestKind); ok {
			k.DeadlineMs = 10_000
		}
	}
	m := &fakeMembership{nodes: map[fleet.NodeID]fleet.Node{}, config: set}
	lameDuck := func(s *Settings) { s.LameDuck, s.DrainTimeout = time.Second, time.Second }
	f := &stoppingFleet{begun: make(chan struct{}, 8)}
	near, _ := startNodeWith(t, m, keyDir, "a", "tls", lameDuck)
	f.near = near
	ctx := t.Context()
	far, stop := startNodeWith(t, m, keyDir, "b", "tls", lameDuck)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Header.Get(longRunHeader) != "" {
			f.begun <- struct{}{}
			run(w, r)
			select {
			case <-r.Context().Done():
			case <-ctx.Done():
			}
			return
		}
		time.Sleep(usualRun)
		if r.URL.Path == "/list/long" {
			w.Write(make([]byte, 1<<20))
		}
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(upstream.CloseClientConnections)
	announceUpstream(t, far, "u1", upstream.Listener.Addr().String(), false)
	waitForUpstreams(t, near, 1)
	for range 20 {
		resp, err := usual(near.settings.CallerAddr)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	go stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := near.board.View().Upstreams["shop"]; len(u) > 0 && !u[0].LeavingSince.IsZero() {
			return poll.Success()
		}
		return poll.Continue("near does not know that far is leaving")
	}, poll.WithDelay(time.Millisecond))
	return f
}

// put sends a body that is too large to be held by the ingress.
func put(addr, long string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/files/1", bytes.NewReader(make([]byte, 4<<20)))
	if err != nil {
		return nil, err
	}
	if long != "" {
		req.Header.Set(longRunHeader, long)
	}
	return http.DefaultClient.Do(req)
}

// Guards against an idempotent upload that a leaving node takes and cuts off although its body cannot be sent again.
func TestStopCutsNoUploadThatCannotBeRepeated(t *testing.T) {
	f := startStopping(t, func(http.ResponseWriter, *http.Request) {}, func(addr string) (*http.Response, error) { return put(addr, "") })
	resp, err := put(f.near.settings.CallerAddr, "yes")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Assert(t, len(f.begun) == 0, "the upstream was at work on an upload that was answered with status %d, %s", resp.StatusCode, resp.Header.Get("Godwithub-Outcome")+" "+resp.Header.Get("Godwithub-Reason"))
}

// getLong sends a request whose usual answer is too long to be held back by the ingress.
func getLong(addr string) (*http.Response, error) {
	resp, err := http.Get("http://" + addr + "/list/long")
	if err == nil {
		io.Copy(io.Discard, resp.Body)
	}
	return resp, err
}

// Guards against a download that a leaving node takes and cuts off after its caller has received a part of it, although
// answers of its kind are usually long.
func TestStopCutsNoUsualDownload(t *testing.T) {
	f := startStopping(t, beginDownload, getLong)
	resp, err := download(f.near.settings.CallerAddr)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.begun), 0)
}

// beginDownload sends a part of a long answer.
func beginDownload(w http.ResponseWriter, _ *http.Request) {
	w.Write(make([]byte, 1<<20))
	w.(http.Flusher).Flush()
}

// download sends a request whose answer does not end by itself.
func download(addr string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/list", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(longRunHeader, "yes")
	return http.DefaultClient.Do(req)
}

// Guards against a download that a leaving node takes and cuts off after its caller has received a part of it.
func TestStopCutsNoDownloadThatHasBegun(t *testing.T) {
	f := startStopping(t, beginDownload, func(addr string) (*http.Response, error) { return http.Get("http://" + addr + "/list") })
	began := time.Now()
	resp, err := download(f.near.settings.CallerAddr)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	assert.Assert(t, len(f.begun) == 0, "status %d, %d bytes after %v: %v", resp.StatusCode, n, time.Since(began), err)
}
