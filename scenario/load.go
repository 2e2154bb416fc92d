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

// loadBound is how long a load may take unless the script says otherwise.
const loadBound = 2 * time.Minute

// loadPrefix starts the process names of loads, so that a load may have the
// name of another process.
const loadPrefix = "load-"

func loadCommand(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return misused("usage: load run|paced|start|wait NAME ...")
	}
	action, name, rest := args[0], args[1], args[2:]
	switch action {
	case "start":
		return w.startLoad(name, rest)
	case "run":
		if err := w.startLoad(name, rest); err != nil {
			return err
		}
		return w.waitLoad(ts, name, loadBound)
	case "paced":
		if len(rest) == 0 {
			return misused("usage: load paced NAME LIMIT [FLAG...]")
		}
		return w.runPaced(ts, name, rest[0], rest[1:])
	case "wait":
		bound := loadBound
		if len(rest) == 1 {
			var err error
			if bound, err = time.ParseDuration(rest[0]); err != nil {
				return misused("bound %q: %v", rest[0], err)
			}
		}
		return w.waitLoad(ts, name, bound)
	}
	return misused("load %s: no such action", action)
}

func (w *world) startLoad(name string, flags []string) error {
	flags, err := w.expandTargets(flags)
	if err != nil {
		return err
	}
	args := append([]string{"-results", w.resultsFile(name), "-json", w.reportFile(name)}, flags...)
	return w.start(loadPrefix+name, "godwithub-load", args)
}

// waitLoad waits for the end of a load, writes its table to the script's
// standard output, and returns an error if a check of the load failed.
func (w *world) waitLoad(ts *testscript.TestScript, name string, bound time.Duration) error {
	p, err := w.process(loadPrefix + name)
	if err != nil {
		return err
	}
	if err := p.wait(bound); err != nil {
		return err
	}
	table, err := os.ReadFile(p.logPath)
	if err != nil {
		return misused("%v", err)
	}
	ts.Stdout().Write(table)
	switch p.cmd.ProcessState.ExitCode() {
	case 0:
		return nil
	case 1:
		return fmt.Errorf("load %s failed a check:\n%s", name, table)
	}
	return misused("load %s ended with %s:\n%s", name, p.cmd.ProcessState, table)
}

func (w *world) resultsFile(name string) string {
	return filepath.Join(w.work, "load", name+".results.jsonl")
}

func (w *world) reportFile(name string) string {
	return filepath.Join(w.work, "load", name+".json")
}

// results reads the attempts of a load.
func (w *world) results(load string) ([]loadgen.Result, error) {
	return readLines[loadgen.Result](w.resultsFile(load))
}

func reportCommand(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return misused("usage: report LOAD PATH OP NUMBER")
	}
	b, err := os.ReadFile(w.reportFile(args[0]))
	if err != nil {
		return misused("%v", err)
	}
	return checkJSON(b, args[1], args[2], args[3])
}

// readLines decodes a file of one JSON document a line.
func readLines[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, misused("%v", err)
	}
	defer f.Close()
	var out []T
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var v T
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("%s: %w: %s", filepath.Base(path), err, lines.Bytes())
		}
		out = append(out, v)
	}
	return out, lines.Err()
}
