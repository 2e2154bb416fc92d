package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// linkedNode is a node beside an upstream, which the ingress reaches over TCP.
type linkedNode struct {
	announcement announce.Announcement
	view         *board.View
	ingress      *Ingress
	arrived      sync.WaitGroup // requests that the upstream waits for before it answers any
}

// newLinkedNode returns a node that is not started, and an ingress at another node.
func newLinkedNode(t *testing.T) *linkedNode {
	n := &linkedNode{view: testView()}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.arrived.Done()
		n.arrived.Wait()
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(upstream.Close)
	n.announcement = announce.Announcement{
		ID: "u", Service: "shop", Addr: upstream.Listener.Addr().String(), Slots: 8, LeaseMs: 60_000, StartMs: 1,
	}
	n.view.Self = fleet.Node{ID: "ingress", Region: "r", FailureDomain: "d"}
	n.view.Config.Kinds["order"].Idempotent = true
	d := tlslink.NewDialer("", nil)
	t.Cleanup(func() { d.Close() })
	n.ingress = New(Config{Log: logging.Discard(), View: func() *board.View { return n.view }, Dialer: d})
	return n
}

// start starts a process of the node on addr. It knows the upstream, or declines all attempts.
func (n *linkedNode) start(t *testing.T, addr string, knowsUpstream bool) *tlslink.Listener {
	ln, err := tlslink.Listen(addr, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	d := dispatch.New(dispatch.Config{
		Log:           logging.Discard(),
		Configuration: func() *resource.Config { return n.view.Config },
		Observe:       func(dispatch.Observation) {},
		Gone:          func(fleet.UpstreamID, int64) {},
	})
	if knowsUpstream {
		d.Announce(n.announcement)
	}
	mux := link.NewMux(logging.Discard())
	d.Register(mux)
	go mux.Serve(t.Context(), ln)
	u := board.Upstream{Node: "n", LinkAddr: ln.Addr(), Region: "r", FailureDomain: "d"}
	u.ID, u.Service, u.Slots = n.announcement.ID, "shop", n.announcement.Slots
	n.view.Upstreams = map[string][]board.Upstream{"shop": {u}}
	return ln
}

// awaitClosedBy waits until the connections of this process to addr have been closed at the other end.
func awaitClosedBy(t *testing.T, addr string) {
	fds, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	for _, entry := range fds {
		fd, err := strconv.Atoi(entry.Name())
		assert.NilError(t, err)
		peer, _ := unix.Getpeername(fd)
		if in, ok := peer.(*unix.SockaddrInet4); !ok || !strings.HasSuffix(addr, fmt.Sprint(":", in.Port)) {
			continue
		}
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 5000)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(events, 5000)
		}
		assert.Assert(t, err == nil && n == 1, "%v", err)
	}
}

// request sends a request that may run more than once.
func (n *linkedNode) request() *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.ingress.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://shop.example/orders", strings.NewReader("order")))
	return w
}

// requestAtOnce sends requests that run at the same time, each over a connection of its own.
func (n *linkedNode) requestAtOnce(t *testing.T, count int) {
	n.arrived.Add(count)
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() { assert.Check(t, n.request().Code == http.StatusOK) })
	}
	callers.Wait()
}

// Guards against idempotent requests that are answered with "unknown" after a planned restart of a node: they
// were sent over connections to the process that had ended, so that it seemed to have got them.
func TestRequestAfterRestartOfNodeIsNotUnknown(t *testing.T) {
	const conns = 3
	for _, c := range []struct {
		name    string
		restart func(t *testing.T, n *linkedNode, addr string)
		status  int
	}{
		{"declined", func(t *testing.T, n *linkedNode, addr string) { n.start(t, addr, false) }, http.StatusServiceUnavailable},
		{"not yet started again", func(*testing.T, *linkedNode, string) {}, http.StatusServiceUnavailable},
		{"accepted", func(t *testing.T, n *linkedNode, addr string) { n.start(t, addr, true) }, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newLinkedNode(t)
			ln := n.start(t, "127.0.0.1:0", true)
			n.requestAtOnce(t, conns)
			assert.NilError(t, ln.Close())
			awaitClosedBy(t, ln.Addr())
			c.restart(t, n, ln.Addr())
			n.arrived.Add(1)
			w := n.request()
			assert.Equal(t, w.Code, c.status, "outcome %s", w.Header().Get(HeaderOutcome))
			assert.Equal(t, n.ingress.stats.resends.Value(), int64(0))
		})
	}
}
