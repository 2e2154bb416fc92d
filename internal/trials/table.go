package trials

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Table is a table of results.
type Table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// Add adds a row.
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

// spread returns "median / worst" over the seeds, where the highest value is
// the worst.
func spread[T any](results []T, digits int, of func(T) float64) string {
	values := sorted(results, of)
	return pair(values[len(values)/2], values[len(values)-1], digits)
}

// spreadLow is spread for values of which the lowest is the worst.
func spreadLow[T any](results []T, digits int, of func(T) float64) string {
	values := sorted(results, of)
	return pair(values[(len(values)-1)/2], values[0], digits)
}

func sorted[T any](results []T, of func(T) float64) []float64 {
	values := make([]float64, len(results))
	for i, r := range results {
		values[i] = of(r)
	}
	slices.Sort(values)
	return values
}

func pair(median, worst float64, digits int) string {
	return number(median, digits) + " / " + number(worst, digits)
}

func number(v float64, digits int) string {
	if v >= notFound {
		return "not found"
	}
	return fmt.Sprintf("%.*f", digits, v)
}

// byLevel returns percentages of all levels, the most urgent first.
func byLevel(results []loadResult, of func(loadResult) []float64) string {
	var cells []string
	for level := range of(results[0]) {
		cells = append(cells, spreadLow(results, 0, func(r loadResult) float64 { return 100 * of(r)[level] }))
	}
	return strings.Join(cells, "; ")
}
