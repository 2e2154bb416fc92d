package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that is recorded as such; longer ones count as maxLatency.
	// latencyDigits is the precision in significant decimal digits. A histogram takes about 16 KB.
	maxLatency    = 10 * time.Minute
	latencyDigits = 2
	// maxLabels bounds the number of histograms of one Latencies, and so its memory. Further labels
	// are counted together under otherLabel.
	maxLabels  = 128
	otherLabel = "other"
)

// bucketBounds are the upper bounds of the buckets in the JSON output.
var bucketBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Latencies records a histogram of latencies for each label. The zero value is ready to use. It is
// safe for concurrent use and implements expvar.Var.
type Latencies struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// Record adds a latency to the histogram of a label.
func (l *Latencies) Record(label string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is clamped to the range of the histogram, so this cannot fail.
	_ = l.histogram(label).RecordValue(min(max(d, 0), maxLatency).Milliseconds())
}

// histogram returns the histogram of a label, or the one of otherLabel if there are maxLabels already.
// The caller holds l.mu.
func (l *Latencies) histogram(label string) *hdrhistogram.Histogram {
	if h := l.byLabel[label]; h != nil {
		return h
	}
	if l.byLabel == nil {
		l.byLabel = map[string]*hdrhistogram.Histogram{}
	}
	if len(l.byLabel) >= maxLabels && label != otherLabel {
		return l.histogram(otherLabel)
	}
	h := hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
	l.byLabel[label] = h
	return h
}

// Latency is the JSON output of Latencies for one label.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"meanMs"`
	P50Ms  int64   `json:"p50Ms"`
	P99Ms  int64   `json:"p99Ms"`
	MaxMs  int64   `json:"maxMs"`
	// Buckets holds the cumulative counts, by ascending upper bound.
	Buckets []Bucket `json:"buckets"`
}

// Bucket is the number of latencies up to a bound, including those of lower buckets.
type Bucket struct {
	UpToMs int64 `json:"upToMs"`
	Count  int64 `json:"count"`
}

// String implements expvar.Var. It returns a JSON object with a Latency for each label.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]Latency, len(l.byLabel))
	for label, h := range l.byLabel {
		out[label] = latencyOf(h)
	}
	// Encoding cannot fail, since Latency contains only numbers.
	b, _ := json.Marshal(out)
	return string(b)
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	v := Latency{
		Count: h.TotalCount(), MeanMs: h.Mean(), MaxMs: h.Max(),
		P50Ms: h.ValueAtQuantile(50), P99Ms: h.ValueAtQuantile(99),
	}
	bars := h.Distribution()
	next, count := 0, int64(0)
	for _, bound := range bucketBounds {
		for next < len(bars) && bars[next].To <= bound.Milliseconds() {
			count += bars[next].Count
			next++
		}
		v.Buckets = append(v.Buckets, Bucket{bound.Milliseconds(), count})
	}
	return v
}

var _ expvar.Var = (*Latencies)(nil)
