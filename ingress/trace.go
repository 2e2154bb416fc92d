package ingress

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
)

// Trace describes a request that has ended and its attempts, for operators.
type Trace struct {
	RequestID string         `json:"requestId"`
	Began     time.Time      `json:"began"`
	Service   string         `json:"service,omitempty"`
	Kind      string         `json:"kind,omitempty"`
	Caller    string         `json:"caller,omitempty"`
	Customer  string         `json:"customer,omitempty"`
	Ended     outcome.Ended  `json:"ended"`
	Status    int            `json:"status"`
	Latency   time.Duration  `json:"latencyNs"`
	Message   string         `json:"message,omitempty"`
	Attempts  []AttemptTrace `json:"attempts,omitempty"`
}

// AttemptTrace describes one attempt and its outcome.
type AttemptTrace struct {
	Upstream fleet.UpstreamID `json:"upstream"`
	Node     fleet.NodeID     `json:"node"`
	Took     time.Duration    `json:"tookNs"`
	Outcome  string           `json:"outcome"`
	Reason   string           `json:"reason,omitempty"`
}

// maxTraces is how many requests are kept, which is about 20 s at 205 requests/s.
const maxTraces = 4096

// traceLog keeps the traces of recent requests in a ring buffer.
type traceLog struct {
	mu   sync.Mutex
	ring []Trace
	next int
}

func newTraceLog() *traceLog { return &traceLog{ring: make([]Trace, 0, maxTraces)} }

func (l *traceLog) add(t Trace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < maxTraces {
		l.ring = append(l.ring, t)
		return
	}
	l.ring[l.next] = t
	l.next = (l.next + 1) % maxTraces
}

// Explain returns the trace of a recent request.
func (in *Ingress) Explain(requestID string) (Trace, bool) {
	l := in.trace
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ring {
		if l.ring[i].RequestID == requestID {
			return l.ring[i], true
		}
	}
	return Trace{}, false
}

// formatAttempts formats attempts as "upstream@node outcome/reason after N ms", separated by "; ".
func formatAttempts(list []AttemptTrace) string {
	var b strings.Builder
	for i, t := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s@%s %s/%s after %d ms", t.Upstream, t.Node, t.Outcome, t.Reason, t.Took.Milliseconds())
	}
	return b.String()
}
