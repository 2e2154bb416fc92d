package loadsim

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Print plays each mix whose name contains a text in all situations and orders, and prints what callers
// get as tables in Markdown, in percent.
func Print(w io.Writer, name string) {
	all := mixes()
	for _, n := range slices.Sorted(maps.Keys(all)) {
		if strings.Contains(n, name) {
			printMix(w, n, all[n])
		}
	}
}

func printMix(w io.Writer, name string, m *mix) {
	fmt.Fprintf(w, "\n%s\n\n| situation | order | in objective |", name)
	for _, k := range m.kinds {
		fmt.Fprintf(w, " %s |", k.name)
	}
	fmt.Fprint(w, " refused at once | refused later | failed after work | waited long | slot time wasted | idle |\n")
	for _, s := range situations() {
		for _, o := range orders {
			c := play(m, &s, o)
			all := c.total()
			fmt.Fprintf(w, "| %s | %s | %s |", s.name, o.name, percent(all.inObjective, all.offered))
			for _, k := range m.kinds {
				fmt.Fprintf(w, " %s |", percent(c.kinds[k.name].inObjective, c.kinds[k.name].offered))
			}
			fmt.Fprintf(w, " %s | %s | %s | %s | %s | %s |\n", percent(all.refusedAtOnce, all.offered), percent(all.refusedLate, all.offered), percent(all.failed, all.offered),
				percent(c.waitedLong, c.requested), percent(c.wasted, c.used), percent(c.idle, c.slots))
		}
	}
}
