package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// EventType says what an Event records.
type EventType string

// Types of events.
const (
	EventStart   EventType = "start"   // the request starts to run
	EventEnd     EventType = "end"     // its run has ended
	EventRefused EventType = "refused" // the request was refused before it ran
	EventDrain   EventType = "drain"   // drain began
)

// Event is one line of the run log. A run has a start line, written before
// any work, and an end line, so that a run cut off by a crash still counts.
type Event struct {
	Event     EventType `json:"event"`
	At        time.Time `json:"at"`
	Upstream  string    `json:"upstream"`
	Run       uint64    `json:"run,omitempty"` // joins start and end within one process
	RequestID string    `json:"requestId,omitempty"`
	WorkID    string    `json:"workId,omitempty"`
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method,omitempty"`
	Path      string    `json:"path,omitempty"`
	// Result of an end is "done", "error", "canceled", "deadline" or "crash";
	// of a refusal its reason.
	Result string `json:"result,omitempty"`
	// Started is the start time, on an end line.
	Started *time.Time `json:"started,omitempty"`
}

// runLog appends events to a file. Each is one write, so that processes may
// share the file and a killed process loses no event that it has begun to act on.
type runLog struct {
	mu   sync.Mutex
	file *os.File
}

// openRunLog opens the file at path for append. An empty path logs nothing.
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

// write appends e. A run that cannot be recorded is no evidence, so that a
// failed write ends the process.
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
