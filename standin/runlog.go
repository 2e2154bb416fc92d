package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// EventType tells what an Event records.
type EventType string

// Types of events.
const (
	EventStart   EventType = "start"   // the request started to run
	EventEnd     EventType = "end"     // the request ended its run
	EventRefused EventType = "refused" // the request was refused before it ran
	EventDrain   EventType = "drain"   // drain began
)

// Event is one line of the run log. Each run has a start line, written before any work, and an end
// line, so that a run that a crash interrupted is recorded as well.
type Event struct {
	Event     EventType `json:"event"`
	At        time.Time `json:"at"`
	Upstream  string    `json:"upstream"`
	RunID     uint64    `json:"run,omitempty"` // matches an end line to its start line; unique within one process
	RequestID string    `json:"requestId,omitempty"`
	WorkID    string    `json:"workId,omitempty"`
	Key       string    `json:"key,omitempty"`
	Customer  string    `json:"customer,omitempty"`
	Method    string    `json:"method,omitempty"`
	Path      string    `json:"path,omitempty"`
	// Result is "done", "error", "canceled", "deadline" or "crash" on an end line, and the reason on
	// a refusal line.
	Result string `json:"result,omitempty"`
	// Started is the start time of the run, only on an end line.
	Started *time.Time `json:"started,omitempty"`
}

// runLog appends events to a file. Each event is a single write, so that processes can share the
// file and a killed process loses no event that it has already acted on.
type runLog struct {
	mu   sync.Mutex
	file *os.File
}

// openRunLog opens the file at path for appending. With an empty path nothing is logged.
func openRunLog(path string) (*runLog, error) {
	if path == "" {
		return &runLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("standin: run log: %w", err)
	}
	return &runLog{file: f}, nil
}

// write appends e. It panics if the write fails, because tests count runs by the log and a run must
// not go unrecorded.
func (l *runLog) write(e Event) {
	if l.file == nil {
		return
	}
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(b, '\n')); err != nil {
		panic(fmt.Errorf("standin: run log: %w", err))
	}
}

func (l *runLog) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
