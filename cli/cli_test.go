package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/controld"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// shell runs commands against one control process.
type shell struct {
	t   *testing.T
	dir string

	mu      sync.Mutex
	reached []apiv1.ReachedState
}

func (s *shell) Reached() []apiv1.ReachedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]apiv1.ReachedState(nil), s.reached...)
}

// run returns the output; the exit code must be the expected one.
func (s *shell) run(code int, in string, args ...string) string {
	s.t.Helper()
	var out, errs bytes.Buffer
	got := Run(s.t.Context(), args, Streams{In: strings.NewReader(in), Out: &out, Err: &errs})
	assert.Equal(s.t, got, code, "%v: %s%s", args, &out, &errs)
	return out.String() + errs.String()
}

// newShell makes keys and a token by command and starts a control process with
// them, whose data is in the shell's folder.
func newShell(t *testing.T) *shell {
	s := &shell{t: t, dir: t.TempDir()}
	path := func(name string) string { return filepath.Join(s.dir, name) }
	s.run(0, "", "keys", "init", "--dir", path("ca"))
	s.run(0, "", "keys", "issue", "--dir", path("ca"), "--out", path("keys"), "--name", "c1", "--role", "control")
	token := s.run(0, "", "token", "new", "--file", path("tokens"), "--name", "op", "--role", "admin")
	t.Setenv("GODWITHUB_TOKEN", strings.TrimSpace(token))
	t.Setenv("GODWITHUB_CA", path("ca/ca.crt"))
	return s
}

// start starts the control process and returns a function that stops it.
func (s *shell) start(withNodes bool) (stop func()) {
	set := controld.Defaults()
	set.NodeID, set.LinkAddr, set.APIAddr, set.DebugAddr = "c1", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.DataDir, set.KeysDir, set.TokenFile = filepath.Join(s.dir, "data"), filepath.Join(s.dir, "keys"), filepath.Join(s.dir, "tokens")
	options := controld.Options{}
	if withNodes {
		options.Reached = s
	}
	d, err := controld.New(set, logging.Discard(), options)
	assert.NilError(s.t, err)
	s.t.Setenv("GODWITHUB_SERVER", d.APIAddr())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	return func() {
		cancel()
		select {
		case err := <-ended:
			assert.NilError(s.t, err)
		case <-time.After(5 * time.Second):
			s.t.Fatal("the control process does not stop")
		}
	}
}

const shop = `[{"type":"kinds","name":"order","service":"shop","method":"POST","path":"/orders","rank":"urgent",
 "deadlineMs":1000,"latencyObjectiveMs":500,"availabilityObjective":0.99},
 {"type":"services","name":"shop","floor":1}] {"type":"ranks","name":"urgent","level":0,"share":0.5}`

// Guards against commands that do something else than they say, exit codes
// that scripts cannot rely on, and changes lost over a restart.
func TestCommands(t *testing.T) {
	s := newShell(t)
	stop := s.start(false)
	assert.Assert(t, strings.Contains(s.run(ExitDifferent, shop, "diff", "-f", "-"), "create kinds/order"))
	assert.Assert(t, strings.Contains(s.run(ExitOK, shop, "apply", "-f", "-", "--dry-run"), "nothing was changed"))
	s.run(ExitNotFound, "", "get", "services", "shop")
	assert.Equal(t, s.run(ExitOK, shop, "apply", "-f", "-"), "ranks/urgent created\nservices/shop created\nkinds/order created\nversion 1.1\n")
	assert.Equal(t, s.run(ExitOK, shop, "apply", "-f", "-"), "3 unchanged\nversion 1.1\n")
	assert.Equal(t, s.run(ExitOK, shop, "diff", "-f", "-"), "no differences\n")
	changed := strings.Replace(shop, `"floor":1`, `"floor":2`, 1)
	assert.Equal(t, s.run(ExitDifferent, changed, "diff", "-f", "-"), "replace services/shop\n  floor: 1 -> 2\n")

	// The output of get is input for apply, and names the revision.
	old := s.run(ExitOK, "", "get", "services", "-o", "json")
	s.run(ExitOK, changed, "apply", "-f", "-")
	s.run(ExitConflict, old, "apply", "-f", "-")
	assert.Assert(t, strings.Contains(s.run(ExitInvalid, "", "delete", "ranks", "urgent"), "is in use by kinds/order"))
	s.run(ExitInvalid, `{"type":"callers","name":"A","weight":"x"}`, "apply", "-f", "-")
	s.run(ExitConflict, "", "delete", "kinds", "order", "--revision", "9")
	s.run(ExitNotReached, `{"type":"callers","name":"a","weight":1}`, "apply", "-f", "-", "--wait")
	s.run(ExitRefused, "", "status", "--token", "gwh_wrong")
	assert.Assert(t, strings.Contains(s.run(ExitOK, "", "members", "list"), "c1"))
	s.run(ExitOK, "", "members", "add", "c2", "--link-addr", "127.0.0.1:1", "--api-addr", "127.0.0.1:2")
	s.run(ExitOK, "", "members", "replace", "c2", "c3", "--link-addr", "127.0.0.1:1", "--api-addr", "127.0.0.1:2")
	s.run(ExitConflict, "", "members", "remove", "c2")
	stop()
	s.run(ExitUnreachable, "", "status", "--timeout", "100ms")

	stop = s.start(true)
	defer stop()
	var status apiv1.Status
	assert.NilError(t, json.Unmarshal([]byte(s.run(ExitOK, "", "status", "-o", "json")), &status))
	assert.Equal(t, status.Version, resource.Version{Epoch: 1, Revision: 3})
	file := filepath.Join(s.dir, "snapshot")
	s.run(ExitOK, "", "snapshot", "save", "-f", file)
	s.run(ExitOK, "", "delete", "kinds", "order")
	assert.Equal(t, s.run(ExitOK, "", "snapshot", "restore", "-f", file), "version 2.3\n")
	s.run(ExitOK, "", "get", "kinds", "order")
	s.run(ExitFailure, "", "apply", "-f", file+".missing")
}

// Guards against --wait that returns before all nodes have the change, and
// against a watch that does not show it.
func TestApplyWaitsAndWatchShows(t *testing.T) {
	s := newShell(t)
	defer s.start(true)()
	s.reached = []apiv1.ReachedState{{Node: "n1"}}
	body := `{"type":"callers","name":"a","weight":1}`
	s.run(ExitNotReached, body, "apply", "-f", "-", "--wait", "--wait-timeout", "300ms")
	time.AfterFunc(300*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reached[0].Version = resource.Version{Epoch: 1, Revision: 1}
	})
	out := s.run(ExitOK, body, "apply", "-f", "-", "--wait")
	assert.Equal(t, out, "1 unchanged\nversion 1.1\nversion 1.1 is in force at all nodes\n")

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	seen := &stopAt{text: "1 of 1 nodes", stop: cancel}
	code := Run(ctx, []string{"watch", "--all", "--reached"}, Streams{Out: seen, Err: os.Stderr})
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(seen.String(), "put callers/a revision 1"), seen.String())
	assert.Assert(t, strings.Contains(seen.String(), seen.text), seen.String())
}

// stopAt calls stop once text was written.
type stopAt struct {
	bytes.Buffer
	text string
	stop func()
}

func (s *stopAt) Write(p []byte) (int, error) {
	if strings.Contains(string(p), s.text) {
		defer s.stop()
	}
	return s.Buffer.Write(p)
}

// Guards against wrong arguments that are taken for others, and against a
// token that help prints.
func TestUsage(t *testing.T) {
	s := &shell{t: t}
	for _, args := range [][]string{
		{}, {"status"}, {"keys"}, {"keys", "issue", "--dir", "x"}, {"apply"}, {"get", "things"},
		{"status", "--timeout", "1ms"}, {"status", "-o", "xml"}, {"status", "--timeout", "x"},
	} {
		s.run(ExitUsage, "", args...)
	}
	t.Setenv("GODWITHUB_TOKEN", "gwh_secret")
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	printed := captureStderr(t, func() {
		defer func() { recover() }()
		s.run(ExitOK, "", "status", "--help")
	})
	assert.Assert(t, strings.Contains(printed, "--server") && !strings.Contains(printed, "gwh_secret"), printed)
}

func captureStderr(t *testing.T, do func()) string {
	path := filepath.Join(t.TempDir(), "stderr")
	f, err := os.Create(path)
	assert.NilError(t, err)
	real := os.Stderr
	os.Stderr = f
	do()
	os.Stderr = real
	assert.NilError(t, f.Close())
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(b)
}

// Guards against a cause that is in the logs and does not reach the operator.
func TestExplainFromLogs(t *testing.T) {
	const log = `vm-1 {"time":"2026-03-02T06:29:09Z","msg":"ingress: request ended","request":"r1","status":502,"outcome":"unknown","reason":"short-answer","ms":12,"attempts":"u2@n2 unknown/short-answer after 9 ms"}` + "\n"
	var out, errs bytes.Buffer
	code := Run(t.Context(), []string{"explain", "r1", "--logs", "-"}, Streams{In: strings.NewReader(log), Out: &out, Err: &errs})
	assert.Equal(t, code, ExitOK, "%s", &errs)
	assert.Assert(t, strings.Contains(out.String(), "12ms") && strings.Contains(out.String(), "bytes of the upstream's answer were missing"), "%s", &out)
	code = Run(t.Context(), []string{"explain", "r2", "--logs", "-"}, Streams{In: strings.NewReader(log), Out: &out, Err: &errs})
	assert.Equal(t, code, ExitFailure)
}
