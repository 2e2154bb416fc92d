package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwithub/godwithub/outcome"
)

const (
	// maxLatencyUs is the largest latency that is recorded, in microseconds. Larger ones are
	// recorded as this.
	maxLatencyUs = int64(10 * time.Minute / time.Microsecond)
	// latencyDigits is the number of significant decimal digits of recorded latencies.
	latencyDigits = 3
)

// Counts holds the numbers of requests by result. Each request that was sent is in exactly one of
// Answered, NotRun, Unknown, Transport, Cut, Crossed, Short, Altered and Header.
type Counts struct {
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	// Errors counts those of Answered with a status of 500 or more.
	Errors    int64            `json:"errors"`
	NotRun    map[string]int64 `json:"notRun"`  // by reason
	Unknown   map[string]int64 `json:"unknown"` // by reason
	Transport int64            `json:"transport"`
	Cut       int64            `json:"cut"`
	Crossed   int64            `json:"crossed"`
	Short     int64            `json:"short"`
	Altered   int64            `json:"altered"`
	Header    int64            `json:"header"`
	Resent    int64            `json:"resent"`
	Overflow  int64            `json:"overflow"`
}

func newCounts() Counts {
	return Counts{NotRun: map[string]int64{}, Unknown: map[string]int64{}}
}

// add counts a request by the result of its last attempt.
func (c *Counts) add(v *verdict, status int) {
	c.Sent++
	switch v.fault {
	case FaultTransport:
		c.Transport++
	case FaultCut:
		c.Cut++
	case FaultShort:
		c.Short++
	case FaultCrossed:
		c.Crossed++
	case FaultAltered:
		c.Altered++
	case FaultHeader:
		c.Header++
	default:
		c.addOutcome(v, status)
	}
}

func (c *Counts) addOutcome(v *verdict, status int) {
	switch v.outcome {
	case outcome.Answered:
		c.Answered++
		if status >= 500 {
			c.Errors++
		}
	case outcome.NotRun:
		c.NotRun[string(v.reason)]++
	default:
		c.Unknown[string(v.reason)]++
	}
}

// merge adds the counts of o to c.
func (c *Counts) merge(o *Counts) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.Errors += o.Errors
	c.Transport += o.Transport
	c.Cut += o.Cut
	c.Crossed += o.Crossed
	c.Short += o.Short
	c.Altered += o.Altered
	c.Header += o.Header
	c.Resent += o.Resent
	c.Overflow += o.Overflow
	mergeReasons(c.NotRun, o.NotRun)
	mergeReasons(c.Unknown, o.Unknown)
}

func mergeReasons(into, from map[string]int64) {
	for reason, n := range from {
		into[reason] += n
	}
}

// wrongAnswers returns the number of answers that are wrong whatever faults the system has to
// cope with.
func (c *Counts) wrongAnswers() int64 { return c.Crossed + c.Short + c.Altered + c.Header }

func sumCounts(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}

// phaseStats holds the counts and latencies of one kind in one phase.
type phaseStats struct {
	mu     sync.Mutex
	counts Counts
	// latencies holds the latencies of answered requests, in microseconds from the planned send time
	// to the end of the last attempt's answer.
	latencies *hdrhistogram.Histogram
}

func newPhaseStats() *phaseStats {
	return &phaseStats{counts: newCounts(), latencies: hdrhistogram.New(1, maxLatencyUs, latencyDigits)}
}

func (s *phaseStats) record(v *verdict, status, resent int, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.add(v, status)
	s.counts.Resent += int64(resent)
	if v.fault == FaultNone && v.outcome == outcome.Answered {
		us := min(max(latency.Microseconds(), 1), maxLatencyUs)
		if err := s.latencies.RecordValue(us); err != nil {
			panic(err)
		}
	}
}

func (s *phaseStats) addOverflow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Overflow++
}
