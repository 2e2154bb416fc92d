// Package explain reconstructs from the logs of the system's processes what happened to one request:
// its attempts, the state that the processes assumed when they decided, and since when they assumed
// it. It requires the JSON format of package logging.
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

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// Line is one log line. Fields that the line does not contain are zero.
type Line struct {
	// Source is the name of the process: the last word before the JSON object or, if there is none,
	// the name of the file without its extension.
	Source  string    `json:"-"`
	At      time.Time `json:"time"`
	Message string    `json:"msg"` // includes the prefix of the part, such as "node: "

	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	Node     string `json:"node"`
	Service  string `json:"service"`
	Customer string `json:"customer"`
	Rank     int    `json:"rank"`
	Status   int    `json:"status"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Detail   string `json:"message"`
	Attempts string `json:"attempts"` // in the format of the ingress; see parseAttempts
	Config   string `json:"config"`   // version of the configuration that a request was handled with
	Version  string `json:"version"`  // version of the configuration that a node received
	Failing  bool   `json:"failing"`
	Insist   bool   `json:"insist"`

	TookMs   int64 `json:"ms"`
	LeftMs   int64 `json:"left_ms"` // time left to the deadline
	QueuedMs int64 `json:"queued_ms"`
	ServedMs int64 `json:"served_ms"`
	GivenMs  int64 `json:"given_ms"`
	InUse    int   `json:"in_use"`
	Slots    int   `json:"slots"`
	Queued   int   `json:"queued"`
}

// ReadPath reads the lines of a file, or of all files below a folder. If path is "-", it reads in.
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

// Read reads log lines. If text precedes the JSON object of a line, its last word is the source of the
// line instead of the given one. Lines without a JSON object that has a message are skipped.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes(), source); ok {
			lines = append(lines, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("explain: %s: %w", source, err)
	}
	return lines, nil
}

func parseLine(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	err := json.Unmarshal(text[start:], &l)
	// A value whose type does not fit its field is ignored: lines that explain does not use may have
	// the same key with another meaning.
	var otherType *json.UnmarshalTypeError
	if err != nil && !errors.As(err, &otherType) || l.Message == "" {
		return Line{}, false
	}
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		l.Source = string(words[len(words)-1])
	}
	return l, true
}
