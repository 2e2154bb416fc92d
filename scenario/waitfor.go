package scenario

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// condition returns nil if it holds, or else an error that says why not.
type condition func() error

func waitCommand(w *workspace, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return scriptErrorf("usage: waitfor TIMEOUT http|json|log|cmd ...")
	}
	timeout, err := time.ParseDuration(args[0])
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", args[0], err)
	}
	c, err := w.condition(args[1], args[2:])
	if err != nil {
		return err
	}
	return waitUntil(timeout, c)
}

func waitUntil(timeout time.Duration, c condition) error {
	deadline := time.Now().Add(timeout)
	for {
		err := c()
		var scriptErr *scriptError
		if err == nil || errors.As(err, &scriptErr) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition does not hold within %s: %w", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

func (w *workspace) condition(kind string, args []string) (condition, error) {
	switch kind {
	case "http":
		return httpCondition(args)
	case "json":
		if len(args) != 4 {
			return nil, scriptErrorf("usage: waitfor TIMEOUT json URL PATH OP VALUE")
		}
		return func() error {
			_, body, err := get(args[0])
			if err != nil {
				return err
			}
			return checkJSON(body, args[1], args[2], args[3])
		}, nil
	case "log":
		return w.logCondition(args)
	case "cmd":
		return w.commandCondition(args), nil
	}
	return nil, scriptErrorf("condition %q is not one of http, json, log and cmd", kind)
}

func get(url string) (status int, body []byte, err error) {
	resp, err := httpClient.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

func httpCondition(args []string) (condition, error) {
	if len(args) < 2 || len(args) > 3 {
		return nil, scriptErrorf("usage: waitfor TIMEOUT http URL STATUS [TEXT]")
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, scriptErrorf("invalid status %q: %v", args[1], err)
	}
	text := ""
	if len(args) == 3 {
		text = args[2]
	}
	return func() error {
		status, body, err := get(args[0])
		if err != nil {
			return err
		}
		if status != want || !strings.Contains(string(body), text) {
			return fmt.Errorf("%s: status %d: %.500s", args[0], status, body)
		}
		return nil
	}, nil
}

func (w *workspace) logCondition(args []string) (condition, error) {
	if len(args) != 2 {
		return nil, scriptErrorf("usage: waitfor TIMEOUT log NAME REGEXP")
	}
	p, err := w.process(args[0])
	if err != nil {
		return nil, err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return nil, scriptErrorf("%v", err)
	}
	return func() error {
		b, err := os.ReadFile(p.logPath)
		if err != nil {
			return err
		}
		if !pattern.Match(b) {
			return fmt.Errorf("the log of process %s has no line that matches %s", args[0], args[1])
		}
		return nil
	}, nil
}

// commandCondition returns the condition that a program exits with code 0. It is a
// program of the repository if there is one of that name, or else one found in PATH.
func (w *workspace) commandCondition(args []string) condition {
	program := args[0]
	if built := filepath.Join(w.programDir, program); fileExists(built) {
		program = built
	}
	return func() error {
		cmd := exec.Command(program, args[1:]...)
		cmd.Dir = w.dir
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %.500s", args[0], err, out)
		}
		return nil
	}
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
