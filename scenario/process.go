package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// stopTimeout is how long a process may take to exit after SIGTERM or SIGKILL.
	stopTimeout = 15 * time.Second
	// shownLogBytes is how much of the end of each log is shown after a failure.
	shownLogBytes = 6000
	// restartDelay is the time from the exit of a process under "proc keep" to its restart.
	restartDelay = 500 * time.Millisecond
)

// process is a program that a script has started under a name. The arguments are kept
// for a restart.
type process struct {
	name    string
	program string // path of the program
	args    []string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has exited
	// stopRequested is set once the script stops or kills the process.
	stopRequested atomic.Bool
}

func procCommand(w *workspace, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return scriptErrorf("usage: proc ACTION NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	if action == "start" {
		if len(rest) < 1 {
			return scriptErrorf("usage: proc start NAME PROGRAM [FLAG...]")
		}
		return w.start(name, rest[0], rest[1:])
	}
	if action == "wipe" {
		return w.wipeData(name)
	}
	p, err := w.process(name)
	if err != nil {
		return err
	}
	switch action {
	case "stop":
		timeout := stopTimeout
		if len(rest) == 1 {
			if timeout, err = time.ParseDuration(rest[0]); err != nil {
				return scriptErrorf("invalid timeout %q: %v", rest[0], err)
			}
		}
		return p.stop(timeout)
	case "terminate":
		// A process that was asked before may have exited.
		if p.stopRequested.Swap(true) && !p.running() {
			return nil
		}
		return p.signal(syscall.SIGTERM)
	case "kill":
		return p.kill()
	case "freeze":
		return p.freeze()
	case "thaw":
		return p.signal(syscall.SIGCONT)
	case "restart":
		return w.start(name, filepath.Base(p.program), p.args)
	case "exits":
		return p.expectExit(rest)
	case "keep":
		go w.keep(p)
		return nil
	case "memory":
		return p.checkPeakMemory(rest)
	}
	return scriptErrorf("proc %s: unknown action", action)
}

func (w *workspace) process(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.processes[name]; p != nil {
		return p, nil
	}
	return nil, scriptErrorf("no process is named %q", name)
}

func (w *workspace) start(name, program string, args []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.closing:
		return scriptErrorf("the script has ended")
	default:
	}
	if old := w.processes[name]; old != nil && old.running() {
		return scriptErrorf("process %q is already running", name)
	}
	p := &process{
		name: name, program: filepath.Join(w.programDir, program), args: args,
		logPath: filepath.Join(w.dir, "log", name+".log"),
		done:    make(chan struct{}),
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return scriptErrorf("%v", err)
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, args...)
	p.cmd.Dir = w.dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = killWithParent()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start process %s: %w", name, err)
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	w.processes[name] = p
	return nil
}

// keep restarts a process whenever it exits without being stopped by the script, as
// the platform does with upstreams. It returns when the script ends.
func (w *workspace) keep(p *process) {
	for {
		<-p.done
		select {
		case <-w.closing:
			return
		case <-time.After(restartDelay):
		}
		if p.stopRequested.Load() || w.start(p.name, filepath.Base(p.program), p.args) != nil {
			return
		}
		var err error
		if p, err = w.process(p.name); err != nil {
			return
		}
	}
}

func (w *workspace) wipeData(name string) error {
	w.mu.Lock()
	p := w.processes[name]
	w.mu.Unlock()
	if p != nil && p.running() {
		return scriptErrorf("process %q is still running", name)
	}
	return os.RemoveAll(w.dataDir(name))
}

// dataDir returns the data folder of a process. Scripts use the same path.
func (w *workspace) dataDir(name string) string { return filepath.Join(w.dir, "data", name) }

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return scriptErrorf("process %q is not running", p.name)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal process %s: %w", p.name, err)
	}
	return nil
}

// freeze stops the process with SIGSTOP and waits until it has stopped: the signal takes effect
// some time after it was sent, and until then the process goes on answering.
func (p *process) freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := waitStopped(p.cmd.Process.Pid); err != nil {
		return fmt.Errorf("freeze process %s: %w", p.name, err)
	}
	if !p.running() {
		return fmt.Errorf("process %s exited before it was frozen: %s", p.name, p.cmd.ProcessState)
	}
	return nil
}

// wait waits until the process has exited, and returns an error after the timeout.
func (p *process) wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %s is still running after %s", p.name, timeout)
	}
}

func (p *process) stop(timeout time.Duration) error {
	if !p.running() {
		return fmt.Errorf("process %s exited before it was stopped: %s", p.name, p.cmd.ProcessState)
	}
	p.stopRequested.Store(true)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(timeout); err != nil {
		return err
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("process %s exited with %s after SIGTERM", p.name, p.cmd.ProcessState)
	}
	return nil
}

func (p *process) kill() error {
	p.stopRequested.Store(true)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.wait(stopTimeout)
}

func (p *process) expectExit(args []string) error {
	if len(args) != 2 {
		return scriptErrorf("usage: proc exits NAME CODE TIMEOUT")
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return scriptErrorf("invalid exit code %q: %v", args[0], err)
	}
	timeout, err := time.ParseDuration(args[1])
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", args[1], err)
	}
	if err := p.wait(timeout); err != nil {
		return err
	}
	if got := p.cmd.ProcessState.ExitCode(); got != want {
		return fmt.Errorf("process %s exited with %s, expected exit code %d", p.name, p.cmd.ProcessState, want)
	}
	return nil
}

// killIfRunning kills the process at the end of a script, if it is running.
func (p *process) killIfRunning() {
	if p.running() {
		p.cmd.Process.Kill()
		<-p.done
	}
}

func (w *workspace) showLogs(t testscript.T) {
	for _, name := range slices.Sorted(maps.Keys(w.processes)) {
		p := w.processes[name]
		b, err := os.ReadFile(p.logPath)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			t.Log(fmt.Sprintf("log of %s: %v", name, err))
			continue
		}
		if len(b) > shownLogBytes {
			b = b[len(b)-shownLogBytes:]
			if i := bytes.IndexByte(b, '\n'); i >= 0 {
				b = append([]byte("[...]"), b[i:]...)
			}
		}
		t.Log(fmt.Sprintf("log of %s (%s):\n%s", name, p.cmd.ProcessState, b))
	}
}
