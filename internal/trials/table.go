package trials

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Table is a table of trial results.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Write writes the table as Markdown.
func (t *Table) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n### %s\n\n", t.Title)
	row := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	row(t.Header)
	row(slices.Repeat([]string{"---"}, len(t.Header)))
	for _, r := range t.Rows {
		row(r)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// medianAndHighest returns "median / worst" over the seeds, for values of which the highest is the
// worst.
func medianAndHighest[T any](results []T, digits int, value func(T) float64) string {
	values := sorted(results, value)
	return formatPair(values[len(values)/2], values[len(values)-1], digits)
}

// medianAndLowest returns "median / worst" over the seeds, for values of which the lowest is the
// worst.
func medianAndLowest[T any](results []T, digits int, value func(T) float64) string {
	values := sorted(results, value)
	return formatPair(values[(len(values)-1)/2], values[0], digits)
}

func sorted[T any](results []T, value func(T) float64) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = value(r)
	}
	slices.Sort(values)
	return values
}

func formatPair(median, worst float64, digits int) string {
	return formatNumber(median, digits) + " / " + formatNumber(worst, digits)
}

func formatNumber(v float64, digits int) string {
	if v >= notFound {
		return "not found"
	}
	return fmt.Sprintf("%.*f", digits, v)
}

// formatByLevel returns "median / worst" percentages for each level, the most urgent first.
func formatByLevel(results []overloadResult, values func(overloadResult) []float64) string {
	var cells []string
	for level := range values(results[0]) {
		cells = append(cells, medianAndLowest(results, 0, func(r overloadResult) float64 { return 100 * values(r)[level] }))
	}
	return strings.Join(cells, "; ")
}
