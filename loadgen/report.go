package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency holds quantiles of the latency of answered requests, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// KindReport is the result of one kind.
type KindReport struct {
	Kind string `json:"kind"`
	Counts
	AnsweredShare float64 `json:"answeredShare"` // of the requests sent; 0 if none was sent
	LatencyMs     Latency `json:"latencyMs"`
}

// PhaseReport is the result of the requests of one phase, which starts at From.
type PhaseReport struct {
	From  time.Duration `json:"fromNs"`
	Kinds []KindReport  `json:"kinds"`
}

// Report is the result of a load.
type Report struct {
	Seed    uint64        `json:"seed"`
	Elapsed time.Duration `json:"elapsedNs"`
	Total   KindReport    `json:"total"`
	// Completed counts the answers that arrived between the end of the warm-up and the end of
	// sending. Unlike Total.Answered, it does not depend on how long the queues are at either end.
	Completed int64         `json:"completed"`
	Kinds     []KindReport  `json:"kinds"`
	Phases    []PhaseReport `json:"phases,omitempty"` // only if a rate changes
	WarmUp    Counts        `json:"warmUp"`           // checked but not measured
	Failures  []string      `json:"failures"`         // checks that failed
	// Samples describes the first faults that were found in answers.
	Samples []string `json:"samples,omitempty"`
}

func quantiles(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50:  ms(h.ValueAtQuantile(50)),
		P90:  ms(h.ValueAtQuantile(90)),
		P99:  ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)),
		Max:  ms(h.Max()),
	}
}

func kindReport(name string, stats []*phaseStats) KindReport {
	counts := newCounts()
	latencies := hdrhistogram.New(1, maxLatencyUs, latencyDigits)
	for _, s := range stats {
		s.mu.Lock()
		counts.merge(&s.counts)
		latencies.Merge(s.latencies)
		s.mu.Unlock()
	}
	r := KindReport{Kind: name, Counts: counts, LatencyMs: quantiles(latencies)}
	if r.Sent > 0 {
		r.AnsweredShare = float64(r.Answered) / float64(r.Sent)
	}
	return r
}

// addFailures checks the report against the limits in the settings and lists the checks that
// failed.
func (r *Report) addFailures(s *Settings) {
	r.Failures = []string{}
	fail := func(format string, args ...any) { r.Failures = append(r.Failures, fmt.Sprintf(format, args...)) }
	counts := newCounts()
	counts.merge(&r.Total.Counts)
	counts.merge(&r.WarmUp)
	if n := counts.wrongAnswers(); n > 0 {
		fail("%d answers are wrong: %d crossed, %d short, %d altered, %d with contradicting headers",
			n, counts.Crossed, counts.Short, counts.Altered, counts.Header)
	}
	checkLimit := func(n, allowed int64, what string) {
		if allowed >= 0 && n > allowed {
			fail("%d %s, %d allowed", n, what, allowed)
		}
	}
	checkLimit(counts.Transport+counts.Cut, s.AllowBroken, "transport errors and cut answers")
	checkLimit(sumCounts(counts.Unknown), s.AllowUnknown, "unknown outcomes")
	checkLimit(sumCounts(counts.NotRun), s.AllowNotRun, "not-run outcomes")
	checkLimit(counts.Errors, s.AllowErrors, "answers with a status of 500 or more")
	checkLimit(counts.Overflow, s.AllowOverflow, "requests not sent because of the limit in flight")
	if t := &r.Total; t.Sent == 0 {
		fail("no request was sent")
	} else if t.AnsweredShare < s.MinAnswered {
		fail("%.4f of the requests were answered, %.4f required", t.AnsweredShare, s.MinAnswered)
	}
}

// WriteTable writes the report as a table for human readers.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "kind\tsent\tanswered\terrors\tnot-run\tunknown\ttransport\tcut\tcrossed\tshort\taltered\theader\tresent\toverflow\tp50 ms\tp90\tp99\tp99.9\tmax")
	for i := range r.Kinds {
		r.Kinds[i].writeRow(t, r.Kinds[i].Kind)
	}
	r.Total.writeRow(t, r.Total.Kind)
	for _, p := range r.Phases {
		for i := range p.Kinds {
			p.Kinds[i].writeRow(t, fmt.Sprintf("%s from %s", p.Kinds[i].Kind, p.From))
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("loadgen: report: %w", err)
	}
	fmt.Fprintf(w, "seed %d, %s, warm-up %d requests, %d answers while measuring\n", r.Seed, r.Elapsed.Round(time.Millisecond), r.WarmUp.Sent, r.Completed)
	for _, s := range r.Samples {
		fmt.Fprintln(w, "sample:", s)
	}
	for _, f := range r.Failures {
		fmt.Fprintln(w, "FAILED:", f)
	}
	return nil
}

func (k *KindReport) writeRow(w io.Writer, name string) {
	l := &k.LatencyMs
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n",
		name, k.Sent, k.Answered, k.Errors, reasons(k.NotRun), reasons(k.Unknown), k.Transport, k.Cut,
		k.Crossed, k.Short, k.Altered, k.Header, k.Resent, k.Overflow, l.P50, l.P90, l.P99, l.P999, l.Max)
}

// reasons formats counts by reason as "3 (draining 1, shed 2)".
func reasons(m map[string]int64) string {
	if len(m) == 0 {
		return "0"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, m[reason]))
	}
	return fmt.Sprintf("%d (%s)", sumCounts(m), strings.Join(parts, ", "))
}
