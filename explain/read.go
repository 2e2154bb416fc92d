// Package explain reads logs of the system's processes and tells what happened to one
// request: its attempts, what the processes believed when they decided, and since
// when. It needs the JSON format of package logging.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// maxLine is the longest log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log. Fields that the line does not have are zero.
type Line struct {
	// Source is the process: the last word in front of the line, or else the name of
	// the file without its ending.
	Source  string    `json:"-"`
	At      time.Time `json:"time"`
	Message string    `json:"msg"` // with the prefix of its part

	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	Node     string `json:"node"`
	Service  string `json:"service"`
	Status   int    `json:"status"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Detail   string `json:"message"`
	Attempts string `json:"attempts"` // as the ingress lists them
	Config   string `json:"config"`
	Failing  bool   `json:"failing"`
	Insist   bool   `json:"insist"`

	TookMs   int64 `json:"ms"`
	LeftMs   int64 `json:"left_ms"` // to the deadline
	QueuedMs int64 `json:"queued_ms"`
	ServedMs int64 `json:"served_ms"`
	GivenMs  int64 `json:"given_ms"`
	InUse    int   `json:"in_use"`
	Slots    int   `json:"slots"`
	Queued   int   `json:"queued"`
}

// ReadPath reads a file or all files below a folder. "-" is in.
func ReadPath(path string, in io.Reader) ([]Line, error) {
	if path == "-" {
		return Read(in, "stdin")
	}
	var lines []Line
	err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		more, err := readFile(name)
		lines = append(lines, more...)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	return lines, nil
}

func readFile(name string) ([]Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	base := filepath.Base(name)
	return Read(f, strings.TrimSuffix(base, filepath.Ext(base)))
}

// Read reads lines. Text in front of a line's JSON is taken off; its last word is the
// source of the line. Lines without JSON are left out.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if l, ok := parse(s.Bytes(), source); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("explain: %s: %w", source, err)
	}
	return lines, nil
}

func parse(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	err := json.Unmarshal(text[start:], &l)
	// A field of another type belongs to a line that says something else by its name.
	var otherType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &otherType) || l.Message == "" {
		return Line{}, false
	}
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		l.Source = string(words[len(words)-1])
	}
	return l, true
}
