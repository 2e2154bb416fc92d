package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// vmCount is the number of addresses of a script.
	vmCount = 60
	// networkLockPort is listened on at the network's first address while a script
	// uses the network, so that other scripts and test runs choose another one.
	networkLockPort = 65001
	// concurrentScripts is the number of scripts that may run at once: more would
	// slow each other down beyond their timeouts.
	concurrentScripts = 2
)

// Environment variables of scripts.
const (
	envWork = "WORK"
	envRuns = "RUNS" // run log that all stand-in upstreams of the fleet share
)

var scriptSlots = make(chan struct{}, concurrentScripts)

// workspace is what one script uses and has started: its folder, network, processes
// and relays.
type workspace struct {
	dir           string // the script's folder
	programDir    string // folder with the built programs
	networkPrefix string // first three octets of the addresses
	networkLock   net.Listener

	closing chan struct{} // closed when the script ends

	mu           sync.Mutex
	processes    map[string]*process
	relays       map[string]*relay
	fleet        *fleetState
	control      *controlState
	customers    customersState
	watch        *versionWatch
	history      *history
	historyCount int // number started so far
}

type workspaceKey struct{}

// Params returns the testscript parameters for the scripts in dir. programDir is the
// folder into which Build has built the programs.
func Params(dir, programDir string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               func(e *testscript.Env) error { return setup(e, programDir) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"proc":    withWorkspace(procCommand),
			"relay":   withWorkspace(relayCommand),
			"load":    withWorkspace(loadCommand),
			"report":  withWorkspace(reportCommand),
			"fault":   withWorkspace(faultCommand),
			"runs":    withWorkspace(runsCommand),
			"waitfor": withWorkspace(waitCommand),
			"fleet":   withWorkspace(fleetCommand),
			"group":   withWorkspace(groupCommand),

			"customer": withWorkspace(customerCommand),
		},
	}
}

// command is one command of the script language. Its error is a failed check, or a
// scriptError if the script itself is wrong.
type command func(w *workspace, ts *testscript.TestScript, args []string) error

// scriptError is an error in the script itself, such as wrong arguments. A leading
// "!" does not turn it into a success.
type scriptError struct{ text string }

// Error implements error.
func (e *scriptError) Error() string { return e.text }

func scriptErrorf(format string, args ...any) error {
	return &scriptError{fmt.Sprintf(format, args...)}
}

func withWorkspace(c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		w := ts.Value(workspaceKey{}).(*workspace)
		err := c(w, ts, args)
		var scriptErr *scriptError
		switch {
		case errors.As(err, &scriptErr):
			ts.Fatalf("script error: %v", err)
		case err != nil && !negated:
			ts.Fatalf("%v", err)
		case err == nil && negated:
			ts.Fatalf("command succeeded, but a failure was expected")
		case err != nil:
			ts.Logf("command failed as expected: %v", err)
		}
	}
}

func setup(e *testscript.Env, programDir string) error {
	scriptSlots <- struct{}{}
	e.Defer(func() { <-scriptSlots })
	w := &workspace{
		closing: make(chan struct{}),
		dir:     e.WorkDir, programDir: programDir,
		processes: map[string]*process{}, relays: map[string]*relay{}, fleet: &fleetState{}, control: &controlState{},
		customers: customersState{map[string]scriptCustomer{}, map[string]time.Time{}},
	}
	if err := w.reserveNetwork(); err != nil {
		return err
	}
	e.Values[workspaceKey{}] = w
	e.Defer(func() { w.close(e.T()) })
	for i := 1; i <= vmCount; i++ {
		e.Setenv("VM"+strconv.Itoa(i), w.vmAddr(i))
	}
	e.Setenv(envRuns, w.runLog())
	for _, dir := range []string{"log", "data", "load", "keys"} {
		if err := os.MkdirAll(filepath.Join(w.dir, dir), 0o755); err != nil {
			return fmt.Errorf("scenario: %w", err)
		}
	}
	return nil
}

// reserveNetwork finds a /24 network that no other script uses and reserves it.
func (w *workspace) reserveNetwork() error {
	const tries = 100
	var err error
	for range tries {
		// Networks below 127.16 are left to addresses that people use by hand.
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(230), rand.IntN(256))
		w.networkLock, err = net.Listen("tcp", net.JoinHostPort(network+".1", strconv.Itoa(networkLockPort)))
		if err == nil {
			w.networkPrefix = network
			return nil
		}
	}
	return fmt.Errorf("scenario: no free loopback network: %w", err)
}

// vmAddr returns the IP address of VM i, counted from 1.
func (w *workspace) vmAddr(i int) string { return fmt.Sprintf("%s.%d", w.networkPrefix, i+1) }

func (w *workspace) runLog() string { return filepath.Join(w.dir, "runs.jsonl") }

// close ends everything that the script has started. If the script has failed, it
// shows the nodes' views and the logs of all processes.
func (w *workspace) close(t testscript.T) {
	f, ok := t.(interface{ Failed() bool })
	failed := ok && f.Failed()
	if failed {
		w.showViews(t)
	}
	// start checks closing under w.mu: once w.mu is held below, no process starts.
	close(w.closing)
	if w.history != nil {
		w.history.cancel()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		p.killIfRunning()
	}
	for _, r := range w.relays {
		r.close()
	}
	w.networkLock.Close()
	if failed {
		w.showLogs(t)
	}
}
