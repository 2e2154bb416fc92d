package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/standin"
)

// maxNamed bounds the offenders that a failed check names.
const maxNamed = 5

// runFilter selects runs. Empty fields select all.
type runFilter struct{ path, upstream, result string }

func parseFilter(args []string) (f runFilter, err error) {
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		switch {
		case ok && name == "path":
			f.path = value
		case ok && name == "upstream":
			f.upstream = value
		case ok && name == "result":
			f.result = value
		default:
			return f, misused("filter %q is none of path=, upstream= and result=", arg)
		}
	}
	return f, nil
}

func (f *runFilter) selects(e *standin.Event) bool {
	return strings.HasPrefix(e.Path, f.path) &&
		(f.upstream == "" || e.Upstream == f.upstream) &&
		(f.result == "" || e.Result == f.result)
}

func runsCommand(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return misused("usage: runs max|count|not-run|answered|unanswered|after-drain ...")
	}
	events, err := readLines[standin.Event](w.runLog())
	if err != nil {
		return err
	}
	switch args[0] {
	case "max":
		return checkMaxRuns(events, args[1], args[2:])
	case "count":
		return checkRunCount(events, args[1:])
	case "not-run":
		return w.checkNotRun(events, args[1:])
	case "answered":
		return w.checkAnswered(events, args[1:])
	case "unanswered":
		return w.checkUnanswered(events, args[1:])
	case "after-drain":
		return checkAfterDrain(events, args[1:])
	}
	return misused("runs %s: no such check", args[0])
}

// checkMaxRuns checks that no work id and no key started more than n times.
func checkMaxRuns(events []standin.Event, text string, filters []string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return misused("%q is no number of runs", text)
	}
	filter, err := parseFilter(filters)
	if err != nil {
		return err
	}
	runs := map[string][]string{}
	for i := range events {
		e := &events[i]
		if e.Event != standin.EventStart || !filter.selects(e) {
			continue
		}
		where := fmt.Sprintf("%s at %s as %s", e.Upstream, e.At.Format(time.StampMilli), e.RequestID)
		runs["work "+e.WorkID] = append(runs["work "+e.WorkID], where)
		if e.Key != "" {
			runs["key "+e.Key] = append(runs["key "+e.Key], where)
		}
	}
	var over []string
	for id, where := range runs {
		if len(where) > n {
			over = append(over, fmt.Sprintf("%s ran %d times: %s", id, len(where), strings.Join(where, "; ")))
		}
	}
	return offenders(over, "ids ran more than %d times", n)
}

// offenders returns an error that counts and names what broke a check, or nil.
func offenders(list []string, format string, args ...any) error {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	named := list[:min(len(list), maxNamed)]
	return fmt.Errorf("%d %s:\n%s", len(list), fmt.Sprintf(format, args...), strings.Join(named, "\n"))
}

// checkRunCount compares the number of runs: of starts, or of ends if the
// filter names a result.
func checkRunCount(events []standin.Event, args []string) error {
	if len(args) < 2 {
		return misused("usage: runs count OP N [FILTER...]")
	}
	filter, err := parseFilter(args[2:])
	if err != nil {
		return err
	}
	kind := standin.EventStart
	if filter.result != "" {
		kind = standin.EventEnd
	}
	n := 0
	for i := range events {
		if events[i].Event == kind && filter.selects(&events[i]) {
			n++
		}
	}
	ok, err := compare(float64(n), args[0], args[1])
	if err == nil && !ok {
		err = fmt.Errorf("%d runs, expected %s %s", n, args[0], args[1])
	}
	return err
}

// checkNotRun checks that no attempt that a load saw end as not-run has run.
func (w *world) checkNotRun(events []standin.Event, loads []string) error {
	ran := map[string]string{}
	for _, e := range events {
		if e.Event == standin.EventStart {
			ran[e.RequestID] = fmt.Sprintf("%s at %s", e.Upstream, e.At.Format(time.StampMilli))
		}
	}
	var wrong []string
	for _, load := range loads {
		results, err := w.results(load)
		if err != nil {
			return err
		}
		for _, r := range results {
			if r.Outcome != outcome.NotRun.String() {
				continue
			}
			if where, ok := ran[r.RequestID]; ok {
				wrong = append(wrong, fmt.Sprintf("request %s (%s), reported not run (%s), ran on %s", r.RequestID, r.Kind, r.Reason, where))
			}
		}
	}
	return offenders(wrong, "requests reported as not run have run")
}

// checkAnswered checks that the work of every answer has ended a run.
func (w *world) checkAnswered(events []standin.Event, loads []string) error {
	ended := map[string]bool{}
	for _, e := range events {
		if e.Event == standin.EventEnd {
			ended[e.WorkID] = true
		}
	}
	var wrong []string
	for _, load := range loads {
		results, err := w.results(load)
		if err != nil {
			return err
		}
		for _, r := range results {
			if r.Outcome == outcome.Answered.String() && !ended[r.WorkID] {
				wrong = append(wrong, fmt.Sprintf("work %s (%s), request %s", r.WorkID, r.Kind, r.RequestID))
			}
		}
	}
	return offenders(wrong, "answered requests have not run")
}

// checkUnanswered compares the number of attempts of a load that have run
// without an answer that reached the caller.
func (w *world) checkUnanswered(events []standin.Event, args []string) error {
	if len(args) != 3 {
		return misused("usage: runs unanswered OP N LOAD")
	}
	results, err := w.results(args[2])
	if err != nil {
		return err
	}
	ran := map[string]bool{}
	for _, e := range events {
		if e.Event == standin.EventStart {
			ran[e.WorkID] = true
		}
	}
	n := 0
	for _, r := range results {
		if r.Outcome != outcome.Answered.String() && ran[r.WorkID] {
			n++
		}
	}
	ok, err := compare(float64(n), args[0], args[1])
	if err == nil && !ok {
		err = fmt.Errorf("%d attempts ran without an answer, expected %s %s", n, args[0], args[1])
	}
	return err
}

// checkAfterDrain checks that an upstream was given no work later than a bound
// after its first drain, neither run nor refused.
func checkAfterDrain(events []standin.Event, args []string) error {
	if len(args) != 2 {
		return misused("usage: runs after-drain NAME BOUND")
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return misused("bound %q: %v", args[1], err)
	}
	var drained time.Time
	var late []string
	for _, e := range events {
		switch {
		case e.Upstream != args[0]:
		case e.Event == standin.EventDrain && drained.IsZero():
			drained = e.At
		case e.Event != standin.EventStart && e.Event != standin.EventRefused:
		case !drained.IsZero() && e.At.Sub(drained) > bound:
			late = append(late, fmt.Sprintf("request %s, %s after", e.RequestID, e.At.Sub(drained)))
		}
	}
	if drained.IsZero() {
		return fmt.Errorf("%s has not drained", args[0])
	}
	return offenders(late, "requests reached %s more than %s after its drain", args[0], bound)
}
