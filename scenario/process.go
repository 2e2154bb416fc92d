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
	// stopBound is how long a process may take to stop on SIGTERM.
	stopBound = 15 * time.Second
	// shownLogBytes is how much of the end of each log a failure shows.
	shownLogBytes = 6000
	// keepWait is the time from the end of a kept process to its restart.
	keepWait = 500 * time.Millisecond
)

// process is one program under a name. It keeps its flags for a restart.
type process struct {
	name    string
	program string // path
	args    []string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	// asked is set once the script has stopped or killed the process.
	asked atomic.Bool
}

func procCommand(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return misused("usage: proc ACTION NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	if action == "start" {
		if len(rest) < 1 {
			return misused("usage: proc start NAME PROGRAM [FLAG...]")
		}
		return w.start(name, rest[0], rest[1:])
	}
	if action == "wipe" {
		return w.wipe(name)
	}
	p, err := w.process(name)
	if err != nil {
		return err
	}
	switch action {
	case "stop":
		bound := stopBound
		if len(rest) == 1 {
			if bound, err = time.ParseDuration(rest[0]); err != nil {
				return misused("bound %q: %v", rest[0], err)
			}
		}
		return p.stop(bound)
	case "kill":
		return p.kill()
	case "freeze":
		return p.signal(syscall.SIGSTOP)
	case "thaw":
		return p.signal(syscall.SIGCONT)
	case "restart":
		return w.start(name, filepath.Base(p.program), p.args)
	case "exits":
		return p.expectExit(rest)
	case "keep":
		go w.keep(p)
		return nil
	}
	return misused("proc %s: no such action", action)
}

func (w *world) process(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.processes[name]; p != nil {
		return p, nil
	}
	return nil, misused("no process %q", name)
}

func (w *world) start(name, program string, args []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.closing:
		return misused("the script has ended")
	default:
	}
	if old := w.processes[name]; old != nil && old.running() {
		return misused("process %q runs already", name)
	}
	p := &process{
		name: name, program: filepath.Join(w.programs, program), args: args,
		logPath: filepath.Join(w.work, "log", name+".log"),
		done:    make(chan struct{}),
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return misused("%v", err)
	}
	defer log.Close()
	p.cmd = exec.Command(p.program, args...)
	p.cmd.Dir = w.work
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = endWithParent()
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	w.processes[name] = p
	return nil
}

// keep restarts a process whenever it ends by itself, as the platform does
// with upstreams, until the script ends.
func (w *world) keep(p *process) {
	for {
		<-p.done
		select {
		case <-w.closing:
			return
		case <-time.After(keepWait):
		}
		if p.asked.Load() || w.start(p.name, filepath.Base(p.program), p.args) != nil {
			return
		}
		var err error
		if p, err = w.process(p.name); err != nil {
			return
		}
	}
}

func (w *world) wipe(name string) error {
	w.mu.Lock()
	p := w.processes[name]
	w.mu.Unlock()
	if p != nil && p.running() {
		return misused("process %q runs", name)
	}
	return os.RemoveAll(w.dataDir(name))
}

// dataDir is the data folder of a process by the convention of scripts.
func (w *world) dataDir(name string) string { return filepath.Join(w.work, "data", name) }

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
		return misused("process %q does not run", p.name)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// wait returns an error if the process has not ended within the bound.
func (p *process) wait(bound time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(bound):
		return fmt.Errorf("%s still runs after %s", p.name, bound)
	}
}

func (p *process) stop(bound time.Duration) error {
	if !p.running() {
		return fmt.Errorf("%s has ended before it was stopped: %s", p.name, p.cmd.ProcessState)
	}
	p.asked.Store(true)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(bound); err != nil {
		return err
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s stopped with %s", p.name, p.cmd.ProcessState)
	}
	return nil
}

func (p *process) kill() error {
	p.asked.Store(true)
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.wait(stopBound)
}

func (p *process) expectExit(args []string) error {
	if len(args) != 2 {
		return misused("usage: proc exits NAME CODE BOUND")
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return misused("exit code %q: %v", args[0], err)
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return misused("bound %q: %v", args[1], err)
	}
	if err := p.wait(bound); err != nil {
		return err
	}
	if got := p.cmd.ProcessState.ExitCode(); got != want {
		return fmt.Errorf("%s ended with %s, not with code %d", p.name, p.cmd.ProcessState, want)
	}
	return nil
}

// end kills the process if it runs, for the end of a script.
func (p *process) end() {
	if p.running() {
		p.cmd.Process.Kill()
		<-p.done
	}
}

func (w *world) showLogs(t testscript.T) {
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
