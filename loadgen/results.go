package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Result is one line of the results file. It describes one attempt.
type Result struct {
	Kind      string    `json:"kind"`
	WorkID    string    `json:"workId"`
	RequestID string    `json:"requestId,omitempty"` // from the answer's header
	Key       string    `json:"key,omitempty"`
	Target    string    `json:"target"`
	Attempt   int       `json:"attempt"` // number of resends before this attempt
	Planned   time.Time `json:"planned"`
	Sent      time.Time `json:"sent"`
	LatencyMs float64   `json:"latencyMs"` // from the start of this attempt
	Status    int       `json:"status,omitempty"`
	Outcome   string    `json:"outcome,omitempty"` // empty if a fault was found
	Reason    string    `json:"reason,omitempty"`
	Fault     Fault     `json:"fault,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// resultLog writes Results to a file.
type resultLog struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	err  error // first failure, returned by close
}

func openResults(path string) (*resultLog, error) {
	if path == "" {
		return &resultLog{}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("loadgen: results: %w", err)
	}
	return &resultLog{file: f, out: bufio.NewWriter(f)}, nil
}

func (l *resultLog) write(j *job, a *attempt, resent int, planned time.Time) {
	if l.file == nil {
		return
	}
	r := Result{
		Kind: j.kind.Name, WorkID: j.expected.workID, RequestID: a.requestID, Key: j.key, Target: a.target,
		Attempt: resent, Planned: planned, Sent: a.sentAt, LatencyMs: float64(a.latency.Microseconds()) / 1000,
		Status: a.status, Reason: string(a.verdict.reason), Fault: a.verdict.fault,
	}
	if r.Fault == FaultNone {
		r.Outcome = a.verdict.outcome.String()
	}
	if a.verdict.detail != nil {
		r.Detail = a.verdict.detail.Error()
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.out.Write(append(b, '\n')); err != nil && l.err == nil {
		l.err = err
	}
}

func (l *resultLog) close() error {
	if l.file == nil {
		return nil
	}
	return errors.Join(l.err, l.out.Flush(), l.file.Close())
}
