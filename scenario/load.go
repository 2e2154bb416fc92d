package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/loadgen"
)

// loadTimeout bounds the time of a load unless the script sets another timeout.
const loadTimeout = 2 * time.Minute

// loadPrefix is put before the process names of loads, so that a load may have the
// name of another process.
const loadPrefix = "load-"

func loadCommand(w *workspace, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return scriptErrorf("usage: load run|paced|start|wait NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	switch action {
	case "start":
		return w.startLoad(name, rest)
	case "run":
		if err := w.startLoad(name, rest); err != nil {
			return err
		}
		return w.waitLoad(ts, name, loadTimeout)
	case "paced":
		if len(rest) == 0 {
			return scriptErrorf("usage: load paced NAME LIMIT [FLAG...]")
		}
		return w.runPaced(ts, name, rest[0], rest[1:])
	case "wait":
		timeout := loadTimeout
		if len(rest) == 1 {
			var err error
			if timeout, err = time.ParseDuration(rest[0]); err != nil {
				return scriptErrorf("invalid timeout %q: %v", rest[0], err)
			}
		}
		return w.waitLoad(ts, name, timeout)
	}
	return scriptErrorf("load %s: unknown action", action)
}

func (w *workspace) startLoad(name string, flags []string) error {
	flags, err := w.expandTargets(flags)
	if err != nil {
		return err
	}
	args := append([]string{"-results", w.resultsFile(name), "-json", w.reportFile(name)}, flags...)
	return w.start(loadPrefix+name, "godwithub-load", args)
}

// waitLoad waits until a load has exited, writes its table to the script's standard
// output, and returns an error if a check of the load has failed.
func (w *workspace) waitLoad(ts *testscript.TestScript, name string, timeout time.Duration) error {
	p, err := w.process(loadPrefix + name)
	if err != nil {
		return err
	}
	if err := p.wait(timeout); err != nil {
		return err
	}
	table, err := os.ReadFile(p.logPath)
	if err != nil {
		return scriptErrorf("%v", err)
	}
	ts.Stdout().Write(table)
	switch p.cmd.ProcessState.ExitCode() {
	case 0:
		return nil
	case 1:
		return fmt.Errorf("load %s failed a check:\n%s", name, table)
	}
	return scriptErrorf("load %s exited with %s:\n%s", name, p.cmd.ProcessState, table)
}

func (w *workspace) resultsFile(name string) string {
	return filepath.Join(w.dir, "load", name+".results.jsonl")
}

func (w *workspace) reportFile(name string) string {
	return filepath.Join(w.dir, "load", name+".json")
}

// results reads the results of all attempts of a load.
func (w *workspace) results(load string) ([]loadgen.Result, error) {
	return readJSONLines[loadgen.Result](w.resultsFile(load))
}

func reportCommand(w *workspace, _ *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return scriptErrorf("usage: report LOAD PATH OP NUMBER")
	}
	b, err := os.ReadFile(w.reportFile(args[0]))
	if err != nil {
		return scriptErrorf("%v", err)
	}
	return checkJSON(b, args[1], args[2], args[3])
}

// readJSONLines decodes a file with one JSON document per line.
func readJSONLines[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, scriptErrorf("%v", err)
	}
	defer f.Close()
	var out []T
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var v T
		if err := json.Unmarshal(scanner.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("%s: %w: %s", filepath.Base(path), err, scanner.Bytes())
		}
		out = append(out, v)
	}
	return out, scanner.Err()
}
