package main

import (
	"fmt"
	"io"
	"math"
	"time"
)

// targetNodes is the fleet size to which results are extrapolated.
const targetNodes = 830

// writeReport writes the results as Markdown tables.
func writeReport(w io.Writer, results []result) {
	fmt.Fprintln(w, "Per node; bytes are sent and received together, with IP and UDP headers but without TLS.")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| nodes | rest: datagrams/s sent | rest: B/s | rest: CPU, % of a core | churn: datagrams/s sent | churn: B/s | of it exchanges | of it deltas | churn: CPU, % of a core | heap and stacks, MB |")
	fmt.Fprintln(w, "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range results {
		fmt.Fprintf(w, "| %d | %.1f | %.0f | %.2f | %.1f | %.0f | %.0f | %.0f | %.2f | %.2f |\n", r.Nodes,
			r.Rest.Datagrams, r.Rest.total(), 100*r.Rest.CPU,
			r.Churn.Datagrams, r.Churn.total(), r.Churn.Exchange, 2*r.Churn.Delta, 100*r.Churn.CPU, r.HeapBytes/1e6)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "Times in ms, over all nodes and changes; joined and quiet in s.")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| nodes | configuration p50 | p99 | max | missed | drain p50 | p99 | max | missed | joined | quiet | suspicions at rest | with churn |")
	fmt.Fprintln(w, "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range results {
		fmt.Fprintf(w, "| %d | %s | %s | %.1f | %.0f | %d | %d |\n", r.Nodes, r.Config, r.Drain,
			r.Joined.Seconds(), r.Quiet.Seconds(), r.Rest.FalseSuspects, r.Churn.FalseSuspects)
	}
	if len(results) < 3 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "Least-squares fits and their values at %d nodes.\n", targetNodes)
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| figure | linear: slope per node | residual | at 830 | logarithmic: slope per doubling | residual | at 830 | bound |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, m := range metrics {
		writeFits(w, results, m)
	}
}

// String implements fmt.Stringer.
func (t delays) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.0f | %.0f | %.0f | %d", ms(t.P50), ms(t.P99), ms(t.Max), t.Missed)
}

// metric is a value of a result, with its upper bound at the target scale.
type metric struct {
	name  string
	bound string
	value func(result) float64
}

var metrics = []metric{
	{"B/s at rest", "10,000", func(r result) float64 { return r.Rest.total() }},
	{"B/s with churn", "10,000", func(r result) float64 { return r.Churn.total() }},
	{"CPU at rest, % of a core", "1.8", func(r result) float64 { return 100 * r.Rest.CPU }},
	{"CPU with churn, % of a core", "1.8", func(r result) float64 { return 100 * r.Churn.CPU }},
	{"heap and stacks, MB", "256", func(r result) float64 { return r.HeapBytes / 1e6 }},
	{"configuration p99, ms", "3,000", func(r result) float64 { return 1000 * r.Config.P99.Seconds() }},
	{"configuration max, ms", "3,000", func(r result) float64 { return 1000 * r.Config.Max.Seconds() }},
	{"drain p99, ms", "2,000", func(r result) float64 { return 1000 * r.Drain.P99.Seconds() }},
	{"drain max, ms", "2,000", func(r result) float64 { return 1000 * r.Drain.Max.Seconds() }},
}

func writeFits(w io.Writer, results []result, m metric) {
	var nodeCounts, log2NodeCounts, values []float64
	for _, r := range results {
		nodeCounts = append(nodeCounts, float64(r.Nodes))
		log2NodeCounts = append(log2NodeCounts, math.Log2(float64(r.Nodes)))
		values = append(values, m.value(r))
	}
	linear, logarithmic := fitLine(nodeCounts, values), fitLine(log2NodeCounts, values)
	fmt.Fprintf(w, "| %s | %.3g | %.3g | %.4g | %.3g | %.3g | %.4g | %s |\n", m.name,
		linear.slope, linear.residual, linear.at(targetNodes),
		logarithmic.slope, logarithmic.residual, logarithmic.at(math.Log2(targetNodes)), m.bound)
}

// fittedLine is a least-squares fit. residual is the root mean square of the
// distances from the line.
type fittedLine struct{ intercept, slope, residual float64 }

func (l fittedLine) at(x float64) float64 { return l.intercept + l.slope*x }

func fitLine(x, y []float64) fittedLine {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	var l fittedLine
	l.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.intercept = (sy - l.slope*sx) / n
	for i := range x {
		d := y[i] - l.at(x[i])
		l.residual += d * d
	}
	l.residual = math.Sqrt(l.residual / n)
	return l
}
