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

// pollInterval is the time between two looks at a condition.
const pollInterval = 50 * time.Millisecond

// condition returns nil when it holds.
type condition func() error

func waitCommand(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return misused("usage: waitfor BOUND http|json|log|cmd ...")
	}
	bound, err := time.ParseDuration(args[0])
	if err != nil {
		return misused("bound %q: %v", args[0], err)
	}
	c, err := w.condition(args[1], args[2:])
	if err != nil {
		return err
	}
	return waitUntil(bound, c)
}

func waitUntil(bound time.Duration, c condition) error {
	end := time.Now().Add(bound)
	for {
		err := c()
		var m *misuse
		if err == nil || errors.As(err, &m) {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %s: %w", bound, err)
		}
		time.Sleep(pollInterval)
	}
}

func (w *world) condition(kind string, args []string) (condition, error) {
	switch kind {
	case "http":
		return httpCondition(args)
	case "json":
		if len(args) != 4 {
			return nil, misused("usage: waitfor BOUND json URL PATH OP VALUE")
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
	return nil, misused("condition %q is none of http, json, log and cmd", kind)
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
		return nil, misused("usage: waitfor BOUND http URL STATUS [TEXT]")
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return nil, misused("status %q: %v", args[1], err)
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

func (w *world) logCondition(args []string) (condition, error) {
	if len(args) != 2 {
		return nil, misused("usage: waitfor BOUND log NAME REGEXP")
	}
	p, err := w.process(args[0])
	if err != nil {
		return nil, err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return nil, misused("%v", err)
	}
	return func() error {
		b, err := os.ReadFile(p.logPath)
		if err != nil {
			return err
		}
		if !pattern.Match(b) {
			return fmt.Errorf("the log of %s has no line %s", args[0], args[1])
		}
		return nil
	}, nil
}

// commandCondition runs a program of the repository, or any other that the
// path holds.
func (w *world) commandCondition(args []string) condition {
	program := args[0]
	if own := filepath.Join(w.programs, program); fileExists(own) {
		program = own
	}
	return func() error {
		cmd := exec.Command(program, args[1:]...)
		cmd.Dir = w.work
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
