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

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// vmCount is the number of addresses of a script.
	vmCount = 60
	// networkLockPort is bound on the network's first address for as long as a
	// script uses the network, so that other scripts and other runs of the
	// tests keep off it.
	networkLockPort = 65001
	// concurrentScripts bounds the scripts that run at once: more would disturb
	// each other's bounds in time.
	concurrentScripts = 2
)

// Environment variables of scripts.
const (
	envWork = "WORK"
	envRuns = "RUNS" // run log that all stand-ins of the fleet share
)

var scriptSlots = make(chan struct{}, concurrentScripts)

// world is everything that one script has started.
type world struct {
	work     string // the script's folder
	programs string // folder of the programs
	network  string // first three numbers of the addresses
	lock     net.Listener

	closing chan struct{} // closed when the script ends

	mu        sync.Mutex
	processes map[string]*process
	relays    map[string]*relay
	fleet     *fleetState
	control   *controlState
	watch     *versionWatch
	history   *history
	histories int // begun so far
}

type worldKey struct{}

// Params returns the parameters of testscript for the scripts in dir, which
// use the programs that Build has put into programs.
func Params(dir, programs string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               func(e *testscript.Env) error { return setup(e, programs) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"proc":    onWorld(procCommand),
			"relay":   onWorld(relayCommand),
			"load":    onWorld(loadCommand),
			"report":  onWorld(reportCommand),
			"fault":   onWorld(faultCommand),
			"runs":    onWorld(runsCommand),
			"waitfor": onWorld(waitCommand),
			"fleet":   onWorld(fleetCommand),
			"group":   onWorld(groupCommand),
		},
	}
}

// command is one command of scripts. Its error is a check that failed, or, if
// it is a misuse, a fault of the script itself.
type command func(w *world, ts *testscript.TestScript, args []string) error

// misuse is a fault in the script: "!" does not turn it into a success.
type misuse struct{ text string }

// Error implements error.
func (m *misuse) Error() string { return m.text }

func misused(format string, args ...any) error { return &misuse{fmt.Sprintf(format, args...)} }

func onWorld(c command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		w := ts.Value(worldKey{}).(*world)
		err := c(w, ts, args)
		var m *misuse
		switch {
		case errors.As(err, &m):
			ts.Fatalf("misuse: %v", err)
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("succeeded, but a failure was expected")
		case err != nil:
			ts.Logf("failed as expected: %v", err)
		}
	}
}

func setup(e *testscript.Env, programs string) error {
	scriptSlots <- struct{}{}
	e.Defer(func() { <-scriptSlots })
	w := &world{
		closing: make(chan struct{}),
		work:    e.WorkDir, programs: programs,
		processes: map[string]*process{}, relays: map[string]*relay{}, fleet: &fleetState{}, control: &controlState{},
	}
	if err := w.takeNetwork(); err != nil {
		return err
	}
	e.Values[worldKey{}] = w
	e.Defer(func() { w.close(e.T()) })
	for i := 1; i <= vmCount; i++ {
		e.Setenv("VM"+strconv.Itoa(i), w.vm(i))
	}
	e.Setenv(envRuns, w.runLog())
	for _, dir := range []string{"log", "data", "load", "keys"} {
		if err := os.MkdirAll(filepath.Join(w.work, dir), 0o755); err != nil {
			return fmt.Errorf("scenario: %w", err)
		}
	}
	return nil
}

// takeNetwork finds a /24 network that no other script uses.
func (w *world) takeNetwork() error {
	const tries = 100
	var err error
	for range tries {
		// Networks from 127.16 up keep clear of addresses that people use by hand.
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(230), rand.IntN(256))
		w.lock, err = net.Listen("tcp", net.JoinHostPort(network+".1", strconv.Itoa(networkLockPort)))
		if err == nil {
			w.network = network
			return nil
		}
	}
	return fmt.Errorf("scenario: no free network: %w", err)
}

// vm returns the address of VM i, from 1.
func (w *world) vm(i int) string { return fmt.Sprintf("%s.%d", w.network, i+1) }

func (w *world) runLog() string { return filepath.Join(w.work, "runs.jsonl") }

// close ends everything that the script has started. If it has failed, it shows
// the nodes' views and the logs.
func (w *world) close(t testscript.T) {
	f, ok := t.(interface{ Failed() bool })
	failed := ok && f.Failed()
	if failed {
		w.showViews(t)
	}
	// No process starts once the lock has been held after this.
	close(w.closing)
	if w.history != nil {
		w.history.cancel()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		p.end()
	}
	for _, r := range w.relays {
		r.close()
	}
	w.lock.Close()
	if failed {
		w.showLogs(t)
	}
}
