package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// fixture is a running Server. It is the Replicator of that server: tests set the leader that it
// reports and can make it lose the result of a proposal.
type fixture struct {
	*httptest.Server
	server  *Server
	t       testing.TB
	machine *control.Machine
	tokens  [RoleAdmin + 1]string
	log     *syncBuffer

	mu             sync.Mutex
	local          *control.Local
	leader         string
	leaderAddr     string
	loseNextResult bool
	nodes          []fleet.Node
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func (f *fixture) Propose(ctx context.Context, command []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, err := f.local.Propose(ctx, command)
	if f.loseNextResult {
		f.loseNextResult = false
		return nil, context.DeadlineExceeded
	}
	return b, err
}

func (f *fixture) ReadBarrier(context.Context) error { return nil }

func (f *fixture) Leader() (string, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.leaderAddr, f.leader != ""
}

func (f *fixture) setLeader(id, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.leaderAddr = id, addr
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, machine: control.NewMachine(), log: &syncBuffer{}, leader: "one"}
	var err error
	f.local, err = control.NewLocal(f.machine, nil, "one", "")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "tokens")
	for r := RoleReader; r <= RoleAdmin; r++ {
		f.tokens[r], err = NewToken(path, r.String(), r)
		assert.NilError(t, err)
	}
	log := slog.New(slog.NewTextHandler(f.log, nil))
	tokens, err := LoadTokens(path, log)
	assert.NilError(t, err)
	s, err := New(Config{
		Machine: f.machine, Replicator: f, Tokens: tokens, NodeID: "one", Log: log,
		Heartbeat: 50 * time.Millisecond, Poll: 10 * time.Millisecond,
		VersionsInForce: FleetSource(func() []fleet.Node { f.mu.Lock(); defer f.mu.Unlock(); return f.nodes }),
	})
	assert.NilError(t, err)
	f.server = s
	f.Server = httptest.NewServer(s)
	f.Client().CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	t.Cleanup(f.Close)
	t.Cleanup(s.Close)
	return f
}

func (f *fixture) request(role Role, method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	r, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	if role > 0 {
		r.Header.Set("Authorization", "Bearer "+f.tokens[role])
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.Client().Do(r)
	assert.NilError(f.t, err)
	return resp
}

// call sends a request, decodes the body of the answer into out unless that is nil, and returns the
// status.
func (f *fixture) call(out any, role Role, method, path, body string, headers ...string) int {
	f.t.Helper()
	resp := f.request(role, method, path, body, headers...)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	if out != nil {
		assert.NilError(f.t, json.Unmarshal(b, out), "%d %s", resp.StatusCode, b)
	}
	return resp.StatusCode
}

// Guards against a body that is read as another one than was sent.
func TestUnreadableBodiesAreRefused(t *testing.T) {
	f := newFixture(t)
	for _, object := range []string{`{"name":"a","weight":1,"weight":2}`, `{"name":"a","weight":1,"Weight":2}`, "{\"name\":\"a\",\"weight\":1,\"x\xe1\":1}", `{"name":"a\ud800","weight":1}`} {
		assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/callers", object), 400, object)
	}
	assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/callers", `{"name":"a","weight":1}`), 201)
}

// Guards against requests that are accepted without a token, with a wrong one or with too low a role,
// against refusals that are not logged, and against secrets in the log.
func TestTokens(t *testing.T) {
	f := newFixture(t)
	body := `{"name":"a","weight":1}`
	for _, c := range []struct {
		role         Role
		method, path string
		status       int
	}{
		{0, "GET", "/v1/status", 401}, {0, "GET", "/nothing", 401}, {0, "GET", "/v1/openapi.json", 401},
		{RoleReader, "GET", "/v1/status", 200}, {RoleReader, "POST", "/v1/callers", 403}, {RoleReader, "GET", "/v1/snapshot", 403},
		{RoleWriter, "POST", "/v1/callers", 201}, {RoleWriter, "POST", "/v1/groups", 403}, {RoleWriter, "DELETE", "/v1/members/x", 403},
		{RoleWriter, "POST", "/v1/snapshot", 403}, {RoleWriter, "POST", "/v1/epoch", 403}, {RoleAdmin, "GET", "/v1/snapshot", 200},
	} {
		assert.Equal(t, f.call(nil, c.role, c.method, c.path, body), c.status, "%s %s as %s", c.method, c.path, c.role)
	}
	group := `{"writes":[{"op":"put","object":{"type":"groups","name":"g","homeRegion":"r","epoch":1}}]}`
	assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/apply", group), 403)
	var e apiv1.Error
	assert.Equal(t, f.call(&e, 0, "GET", "/v1/callers", "", "Authorization", "Bearer gwh_wrong"), 401)
	assert.Equal(t, e.Code, apiv1.CodeUnauthorized)
	assert.Assert(t, strings.Contains(f.log.String(), "request without a valid token"))
	assert.Assert(t, strings.Contains(f.log.String(), "request refused for its token's role"))
	assert.Assert(t, !strings.Contains(f.log.String(), "gwh_"), "a secret is in the log")
}

// Guards against a write that overwrites a concurrent one, against a conflict without the current
// object, and against a dry run that is applied.
func TestWriteOverStaleRevisionConflicts(t *testing.T) {
	f := newFixture(t)
	var a apiv1.Applied
	assert.Equal(t, f.call(&a, RoleWriter, "POST", "/v1/callers", `{"name":"a","weight":1}`), 201)
	assert.DeepEqual(t, a.Objects[0].Object, &resource.Caller{Meta: resource.Meta{Name: "a", Generation: 1, Revision: 1}, Weight: 1})
	assert.Equal(t, f.call(&a, RoleWriter, "PUT", "/v1/callers/a", `{"revision":1,"weight":2}`), 200)
	for _, request := range [][3]string{
		{"POST", "/v1/callers", `{"name":"a","weight":3}`},
		{"PUT", "/v1/callers/a", `{"revision":1,"weight":3}`},
		{"DELETE", "/v1/callers/a?revision=1", ""},
	} {
		var e apiv1.Error
		assert.Equal(t, f.call(&e, RoleWriter, request[0], request[1], request[2]), 409)
		assert.Equal(t, e.Code, apiv1.CodeConflict)
		assert.Equal(t, e.Conflicts[0].Current.Object.(*resource.Caller).Weight, 2)
	}
	var r apiv1.Resource
	assert.Equal(t, f.call(&a, RoleWriter, "DELETE", "/v1/callers/a?revision=2&dryRun=true", ""), 200)
	assert.Equal(t, f.call(&r, RoleReader, "GET", "/v1/callers/a", ""), 200)
	assert.Equal(t, f.call(&a, RoleWriter, "DELETE", "/v1/callers/a?revision=2", ""), 200)
	assert.Equal(t, f.call(nil, RoleReader, "GET", "/v1/callers/a", ""), 404)
}

// Guards against a resend that is applied twice after the result of the first proposal was lost.
func TestResendAfterLostResult(t *testing.T) {
	f := newFixture(t)
	f.loseNextResult = true
	var e apiv1.Error
	body := `{"name":"a","weight":1}`
	assert.Equal(t, f.call(&e, RoleWriter, "POST", "/v1/callers", body, apiv1.HeaderChangeID, "x"), 503)
	assert.Equal(t, e.Code, apiv1.CodeUnknownResult)
	for range 2 {
		var a apiv1.Applied
		assert.Equal(t, f.call(&a, RoleWriter, "POST", "/v1/callers", body, apiv1.HeaderChangeID, "x"), 201)
		assert.Equal(t, a.Version.Revision, uint64(1))
	}
	assert.Equal(t, f.call(&e, RoleWriter, "POST", "/v1/callers", `{"name":"b","weight":1}`, apiv1.HeaderChangeID, "x"), 409)
	assert.Equal(t, e.Code, apiv1.CodeChangeIDReused)
}

// Guards against refusals that list only the first fault, and against errors without a status, code
// and message that fit.
func TestErrorsAreCompleteJSON(t *testing.T) {
	f := newFixture(t)
	var e apiv1.Error
	status := f.call(&e, RoleWriter, "POST", "/v1/callers", `{"name":"a","weight":"x","ratePerSecond":[],"colour":1,"type":"ranks"}`)
	assert.Equal(t, status, 422)
	fields := []string{}
	for _, fault := range e.Faults {
		fields = append(fields, fault.Field)
	}
	assert.DeepEqual(t, fields, []string{"type", "weight", "ratePerSecond", "colour"})
	batch := `{"writes":[{"op":"put","object":{"type":"callers","name":"a","x":1}},{"op":"put","object":{"type":"callers","name":"b","y":1}}]}`
	assert.Equal(t, f.call(&e, RoleWriter, "POST", "/v1/apply", batch), 422)
	assert.Equal(t, len(e.Faults), 2)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"POST", "/v1/callers", `{`, 400}, {"POST", "/v1/callers", `null`, 400}, {"POST", "/v1/callers", `{"revision":3}`, 400},
		{"PUT", "/v1/callers/a", `{"name":"b","weight":1}`, 400}, {"DELETE", "/v1/callers/a", ``, 400},
		{"POST", "/v1/apply", `{"writes":[]}`, 400}, {"POST", "/v1/apply", `{"writes":[{"op":"put"}]}`, 400},
		{"POST", "/v1/callers", strings.Repeat(" ", apiv1.MaxBodyBytes+1), 413},
		{"GET", "/v1/callers?limit=0", "", 400}, {"GET", "/v1/callers?continue=!", "", 400}, {"GET", "/v1/watch?since=1", "", 400},
		{"GET", "/v1/watch?since=1.5", "", 400}, {"GET", "/v1/nothing", "", 404}, {"POST", "/v1/snapshot", "junk", 400},
		{"POST", "/v1/epoch", `{"epoch":1}`, 409}, {"PUT", "/v1/members/x", `{}`, 422}, {"DELETE", "/v1/members/x", ``, 409},
	} {
		e = apiv1.Error{}
		assert.Equal(t, f.call(&e, RoleAdmin, c.method, c.path, c.body), c.status, "%s %s", c.method, c.path)
		assert.Assert(t, e.Code != "" && e.Message != "", "%s %s", c.method, c.path)
	}
}

// Guards against pages of a list that skip or repeat names.
func TestPages(t *testing.T) {
	f := newFixture(t)
	for i := range 25 {
		body := fmt.Sprintf(`{"name":"c%02d","weight":1}`, i)
		assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/callers", body), 201)
	}
	var names []string
	path := "/v1/callers?limit=10"
	for path != "" {
		var l apiv1.List
		assert.Equal(t, f.call(&l, RoleReader, "GET", path, ""), 200)
		assert.Equal(t, l.Version.Revision, uint64(25))
		for _, item := range l.Items {
			names = append(names, item.Metadata().Name)
		}
		path = ""
		if l.Continue != "" {
			path = "/v1/callers?limit=10&continue=" + l.Continue
		}
	}
	assert.Equal(t, len(names), 25)
	for i, name := range names {
		assert.Equal(t, name, fmt.Sprintf("c%02d", i))
	}
}

// Guards against a follower that answers a request instead of redirecting it to the leader.
func TestFollowersSendClientsToTheLeader(t *testing.T) {
	f := newFixture(t)
	f.setLeader("two", "127.0.0.2:99")
	resp := f.request(RoleReader, "GET", "/v1/callers?limit=3", "")
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 307)
	assert.Equal(t, resp.Header.Get("Location"), "http://127.0.0.2:99/v1/callers?limit=3")
	f.setLeader("", "")
	resp = f.request(RoleWriter, "POST", "/v1/callers", "")
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
}

func readEvents(t *testing.T, lines *bufio.Scanner, last apiv1.EventType) (out []string) {
	t.Helper()
	for lines.Scan() {
		var e apiv1.Event
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &e))
		text := string(e.Type)
		switch {
		case e.Object != nil:
			text += " " + resource.KeyOf(e.Object.Object).String()
		case e.Key != nil:
			text += " " + e.Key.String()
		case e.Nodes != nil:
			text += fmt.Sprintf(" %d/%d", e.Nodes.Reached, e.Nodes.Total)
		case e.Version != nil:
			text += " " + e.Version.String()
		}
		if e.Type == apiv1.EventHeartbeat && last != e.Type {
			continue
		}
		out = append(out, text)
		if e.Type == last {
			return out
		}
	}
	return append(out, "end")
}

// Guards against a resumed watch that misses changes, against a watch that continues after a change of
// leader, and against one that does not report the versions at the nodes.
func TestWatchResumes(t *testing.T) {
	f := newFixture(t)
	f.nodes = []fleet.Node{{ID: "n1", ConfigVersion: resource.Version{Epoch: 1, Revision: 1}}, {ID: "n2"}, {ID: "n3", State: fleet.NodeDead}}
	put := func(name string) {
		assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/callers", `{"name":"`+name+`","weight":1}`), 201)
	}
	put("a")
	resp := f.request(RoleReader, "GET", "/v1/watch?reached=true", "")
	lines := bufio.NewScanner(resp.Body)
	assert.DeepEqual(t, readEvents(t, lines, apiv1.EventReached), []string{"reset 1.1", "put callers/a", "version 1.1", "reached 1/2"})
	put("b")
	assert.DeepEqual(t, readEvents(t, lines, apiv1.EventVersion), []string{"put callers/b", "version 1.2"})
	assert.DeepEqual(t, readEvents(t, lines, apiv1.EventReached), []string{"reached 0/2"})
	resp.Body.Close()

	assert.Equal(t, f.call(nil, RoleWriter, "DELETE", "/v1/callers/a?revision=1", ""), 200)
	put("c")
	resp = f.request(RoleReader, "GET", "/v1/watch?since=1.2", "")
	defer resp.Body.Close()
	lines = bufio.NewScanner(resp.Body)
	assert.DeepEqual(t, readEvents(t, lines, apiv1.EventVersion), []string{"delete callers/a", "put callers/c", "version 1.4"})
	f.setLeader("two", "")
	assert.DeepEqual(t, readEvents(t, lines, apiv1.EventVersion), []string{"end"})
}

// Guards against a restored configuration whose version is not above the one before, so that nodes
// would refuse it as stale.
func TestSnapshotRestoresUnderAHigherEpoch(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.call(nil, RoleWriter, "POST", "/v1/callers", `{"name":"a","weight":1}`), 201)
	resp := f.request(RoleAdmin, "GET", "/v1/snapshot", "")
	state, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	other := newFixture(t)
	assert.Equal(t, other.call(nil, RoleAdmin, "PUT", "/v1/members/one", `{"linkAddr":"127.0.0.1:1","apiAddr":"127.0.0.1:2"}`), 200)
	var a apiv1.Applied
	assert.Equal(t, other.call(&a, RoleAdmin, "POST", "/v1/snapshot", string(state)), 200)
	assert.Equal(t, a.Version, resource.Version{Epoch: 2, Revision: 1})
	assert.Equal(t, other.call(nil, RoleReader, "GET", "/v1/callers/a", ""), 200)
	var m apiv1.Members
	assert.Equal(t, other.call(&m, RoleReader, "GET", "/v1/members", ""), 200)
	assert.DeepEqual(t, m.Members, []apiv1.Member{{ID: "one", LinkAddr: "127.0.0.1:1", APIAddr: "127.0.0.1:2", Leader: true}})
}
