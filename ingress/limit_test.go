package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// pipeDialer opens streams to the nodes of a testFleet, by their index.
type pipeDialer struct{ fleet *testFleet }

func (d pipeDialer) Open(_ context.Context, addr string) (link.Stream, error) {
	i, err := strconv.Atoi(addr)
	if err != nil {
		return nil, err
	}
	near, far := link.Pipe("ingress", addr)
	d.fleet.nodes[i].process.Load().mux.Start(far)
	return near, nil
}

func (pipeDialer) Replace(string) {}
func (pipeDialer) Close() error   { return nil }

// testFleet is a number of nodes, each with an upstream of the service shop.
type testFleet struct {
	nodes []*testNode
	slots int
	work  time.Duration
}

// testNode is a node with its upstream. A limit above 0 is named in all answers, in requests per second.
type testNode struct {
	announcement announce.Announcement
	limit        float64
	process      atomic.Pointer[testProcess]

	mu       sync.Mutex
	arrivals []arrival
}

// testProcess is one run of the process of a node.
type testProcess struct {
	mux        *link.Mux
	dispatcher *dispatch.Dispatcher
	ingress    *Ingress
}

// arrival is a request at an upstream.
type arrival struct {
	at      time.Time
	ingress string // of the request
}

// headerIngress tells the stand-in upstreams where a request entered the fleet.
const headerIngress = "Test-Ingress"

// newTestFleet starts a fleet whose upstreams have these limits; 0 stands for none. Each runs slots
// requests at once, which take the time work each.
func newTestFleet(t *testing.T, limits []float64, slots int, work time.Duration) *testFleet {
	f := &testFleet{slots: slots, work: work}
	for i, limit := range limits {
		n := &testNode{limit: limit}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(n, w, r) }))
		t.Cleanup(s.Close)
		n.announcement = announce.Announcement{
			ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: "shop", Addr: s.Listener.Addr().String(), Slots: slots, LeaseMs: 60_000,
		}
		f.nodes = append(f.nodes, n)
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

// start starts the process of a node, in place of an earlier one.
func (f *testFleet) start(i int) {
	v := testView()
	v.Self = fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", i)), Region: "r", FailureDomain: "d"}
	v.Config.Kinds["order"].DeadlineMs = 3000
	v.Upstreams = map[string][]board.Upstream{}
	for j, n := range f.nodes {
		u := board.Upstream{Node: fleet.NodeID(fmt.Sprint("n", j)), LinkAddr: fmt.Sprint(j), Region: "r", FailureDomain: "d"}
		u.ID, u.Service, u.Slots = n.announcement.ID, "shop", f.slots
		v.Upstreams["shop"] = append(v.Upstreams["shop"], u)
	}
	p := &testProcess{mux: link.NewMux(logging.Discard())}
	p.dispatcher = dispatch.New(dispatch.Config{
		Log:           logging.Discard(),
		Dialer:        pipeDialer{f},
		Configuration: func() *resource.Config { return v.Config },
		Observe:       func(dispatch.Observation) {},
		Gone:          func(fleet.UpstreamID) {},
	})
	p.dispatcher.Register(p.mux)
	p.dispatcher.Announce(f.nodes[i].announcement)
	p.ingress = New(Config{Log: logging.Discard(), View: func() *board.View { return v }, Dialer: pipeDialer{f}})
	if old := f.nodes[i].process.Swap(p); old != nil {
		// What waits in the queue of an ended process does not run.
		old.dispatcher.Withdraw(f.nodes[i].announcement.ID)
	}
}

// serve is the handler of a node's upstream.
func (f *testFleet) serve(n *testNode, w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), r.Header.Get(headerIngress)})
	n.mu.Unlock()
	time.Sleep(f.work)
	if n.limit > 0 {
		w.Header().Set(dispatch.HeaderRateLimit, fmt.Sprint(n.limit))
	}
	fmt.Fprint(w, "done")
}

// callerResult is what a caller got.
type callerResult struct {
	status int
	took   time.Duration
}

// load sends requests at a rate per second to one ingress after the other, and returns what their
// callers got.
func (f *testFleet) load(perSecond int, length time.Duration) []callerResult {
	results := make(chan callerResult, int(length.Seconds()+1)*perSecond)
	var callers sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-ticker.C
		callers.Go(func() {
			n := i % len(f.nodes)
			r := httptest.NewRequest(http.MethodPost, "http://shop.example/orders", strings.NewReader("order"))
			r.Header.Set(headerIngress, fmt.Sprint(n))
			w := httptest.NewRecorder()
			began := time.Now()
			f.nodes[n].process.Load().ingress.ServeHTTP(w, r)
			results <- callerResult{w.Code, time.Since(began)}
		})
	}
	callers.Wait()
	close(results)
	var list []callerResult
	for r := range results {
		list = append(list, r)
	}
	return list
}

// limitWindow is the time in which an upstream may get one and a half times its limit and 5 requests,
// from contactTime after it first named the limit.
const (
	limitWindow = 4 * time.Second
	contactTime = 4 * time.Second
)

// checkLimits checks what each upstream with a limit got from ingresses that have run all the time.
func (f *testFleet) checkLimits(t *testing.T, restarted string) {
	for i, n := range f.nodes {
		if n.limit == 0 {
			continue
		}
		var times []time.Time
		for _, a := range n.arrivals {
			if a.ingress != restarted && a.at.Sub(n.arrivals[0].at) > contactTime {
				times = append(times, a.at)
			}
		}
		allowed := int(1.5*n.limit*limitWindow.Seconds()) + 5
		assert.Assert(t, mostWithin(times, limitWindow) <= allowed, "upstream %d got %d requests in %v, %d are allowed", i, mostWithin(times, limitWindow), limitWindow, allowed)
	}
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// answered returns how many callers got an answer, and the time in which 99 of 100 of them got it.
func answered(results []callerResult) (n int, p99 time.Duration) {
	var times []time.Duration
	for _, r := range results {
		if r.status == http.StatusOK {
			times = append(times, r.took)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return len(times), times[len(times)*99/100]
}

// Guards against requests that wait for the limit of an upstream, or are refused, while other upstreams
// have room. Load: four of six upstreams accept 2 requests a second each; the other two have room for
// three times the load.
func TestOthersServeWhatLimitedUpstreamsDoNotAccept(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, []float64{2, 2, 2, 2, 0, 0}, 5, 50*time.Millisecond)
	results := f.load(60, contactTime+2*limitWindow)
	f.checkLimits(t, "")
	n, p99 := answered(results)
	assert.Equal(t, n, len(results))
	assert.Assert(t, p99 < time.Second, "99 of 100 answers within %v", p99)
}

// Guards against a limit that a restarted dispatcher does not know, while the ingresses of other nodes
// have passed it on. Load: all upstreams are limited, to less than the load.
func TestLimitHoldsAcrossRestartOfDispatcher(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, []float64{2, 2, 2, 2, 2, 2}, 10, 300*time.Millisecond)
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	restarts.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f.start(0)
			case <-stop:
				return
			}
		}
	})
	f.load(90, contactTime+limitWindow)
	close(stop)
	restarts.Wait()
	f.checkLimits(t, "0")
}
