package ingress

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/retry"
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
	// idempotent says whether requests may run more than once.
	idempotent bool
	// deadlineMs is the deadline of requests; 0: 3 s.
	path       string // of the request kind; empty: that of testView
	deadlineMs int64
	// retryRatio and retrySlack bound the retries of the fleet if they are above 0.
	retryRatio, retrySlack float64
	protocol               Protocol // of callers
}

// testNode is a node with its upstream.
type testNode struct {
	announcement announce.Announcement
	// limit is named in all answers if it is above 0, in requests per second.
	limit float64
	// failing makes the upstream answer with status 500.
	failing atomic.Bool
	// leaving makes all answers say that the upstream leaves. It is not announced.
	leaving atomic.Bool
	// fault answers all requests if it is set.
	fault   http.HandlerFunc
	process atomic.Pointer[testProcess]

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
// requests at once, which take the time work each. The options are applied before the start.
func newTestFleet(t *testing.T, limits []float64, slots int, work time.Duration, options ...func(*testFleet)) *testFleet {
	f := &testFleet{slots: slots, work: work}
	for _, apply := range options {
		apply(f)
	}
	for i, limit := range limits {
		n := &testNode{limit: limit}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(n, w, r) }))
		t.Cleanup(s.Close)
		n.announcement = announce.Announcement{
			ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: "shop", Addr: s.Listener.Addr().String(), Slots: slots, LeaseMs: 60_000, StartMs: 1,
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
	v.Config.Kinds["order"].DeadlineMs, v.Config.Kinds["order"].Idempotent = cmp.Or(f.deadlineMs, 3000), f.idempotent
	if f.path != "" {
		v.Config.Kinds["order"].Path = f.path
	}
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
		Gone:          func(fleet.UpstreamID, int64) {},
		RetryLimits:   f.retryLimits(),
	})
	p.dispatcher.Register(p.mux)
	p.dispatcher.Announce(f.nodes[i].announcement)
	p.ingress = New(Config{Log: logging.Discard(), View: func() *board.View { return v }, Dialer: pipeDialer{f}, DispatchersLimitRetries: f.retryRatio > 0, CallerProtocol: f.protocol, Parent: p.dispatcher.RunningRequest})
	if old := f.nodes[i].process.Swap(p); old != nil {
		// What waits in the queue of an ended process does not run.
		old.dispatcher.Withdraw(f.nodes[i].announcement.ID)
	}
}

// retryLimits returns the share of an upstream in the retry budget, or nil without one.
func (f *testFleet) retryLimits() func(string) retry.Limits {
	if f.retryRatio == 0 {
		return nil
	}
	return func(string) retry.Limits { return retry.FleetLimits(f.retryRatio, f.retrySlack, len(f.nodes)) }
}

// serve is the handler of a node's upstream.
func (f *testFleet) serve(n *testNode, w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), r.Header.Get(headerIngress)})
	n.mu.Unlock()
	if n.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if n.fault != nil {
		n.fault(w, r)
		return
	}
	time.Sleep(f.work)
	if n.leaving.Load() {
		w.Header().Set(dispatch.HeaderLeaving, "1")
	}
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

// restartEach restarts the process of a node at each interval until stop is called.
func (f *testFleet) restartEach(i int, interval time.Duration) (stop func()) {
	stopped := make(chan struct{})
	var restarts sync.WaitGroup
	restarts.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f.start(i)
			case <-stopped:
				return
			}
		}
	})
	return func() { close(stopped); restarts.Wait() }
}

// load sends requests at a rate per second to one ingress after the other, and returns what their
// callers got.
func (f *testFleet) load(perSecond int, length time.Duration) []callerResult {
	return f.loadFrom(len(f.nodes), perSecond, length)
}

// loadFrom sends the requests to the first ingresses only.
func (f *testFleet) loadFrom(ingresses, perSecond int, length time.Duration) []callerResult {
	results := make(chan callerResult, int(length.Seconds()+1)*perSecond)
	var callers sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-ticker.C
		callers.Go(func() {
			n := i % ingresses
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
