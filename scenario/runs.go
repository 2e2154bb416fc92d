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

// maxListed bounds the violations that the error of a failed check lists.
const maxListed = 5

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
			return f, scriptErrorf("filter %q is not one of path=, upstream= and result=", arg)
		}
	}
	return f, nil
}

func (f *runFilter) matches(e *standin.Event) bool {
	return strings.HasPrefix(e.Path, f.path) &&
		(f.upstream == "" || e.Upstream == f.upstream) &&
		(f.result == "" || e.Result == f.result)
}

func runsCommand(w *workspace, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return scriptErrorf("usage: runs max|count|not-run|answered|unanswered|given-up|after-drain ...")
	}
	events, err := readJSONLines[standin.Event](w.runLog())
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
	case "given-up":
		return w.checkGivenUp(events, args[1:])
	case "after-drain":
		return checkAfterDrain(events, args[1:])
	}
	return scriptErrorf("runs %s: unknown check", args[0])
}

// checkMaxRuns checks that no work id and no idempotency key ran more than a number of
// times.
func checkMaxRuns(events []standin.Event, limitText string, filters []string) error {
	limit, err := strconv.Atoi(limitText)
	if err != nil {
		return scriptErrorf("invalid number of runs %q", limitText)
	}
	filter, err := parseFilter(filters)
	if err != nil {
		return err
	}
	runs := map[string][]string{}
	for i := range events {
		e := &events[i]
		if e.Event != standin.EventStart || !filter.matches(e) {
			continue
		}
		run := fmt.Sprintf("on %s at %s as request %s", e.Upstream, e.At.Format(time.StampMilli), e.RequestID)
		runs["work "+e.WorkID] = append(runs["work "+e.WorkID], run)
		if e.Key != "" {
			runs["key "+e.Key] = append(runs["key "+e.Key], run)
		}
	}
	var violations []string
	for id, idRuns := range runs {
		if len(idRuns) > limit {
			violations = append(violations, fmt.Sprintf("%s ran %d times: %s", id, len(idRuns), strings.Join(idRuns, "; ")))
		}
	}
	return violationsError(violations, "ids that ran more than %d times", limit)
}

// violationsError returns an error that counts the violations of a check and lists the
// first ones, or nil if there are none.
func violationsError(violations []string, format string, args ...any) error {
	if len(violations) == 0 {
		return nil
	}
	slices.Sort(violations)
	listed := violations[:min(len(violations), maxListed)]
	return fmt.Errorf("%d %s:\n%s", len(violations), fmt.Sprintf(format, args...), strings.Join(listed, "\n"))
}

// checkRunCount compares the number of runs with a number. It counts the runs that
// started, or those that ended if the filter names a result.
func checkRunCount(events []standin.Event, args []string) error {
	if len(args) < 2 {
		return scriptErrorf("usage: runs count OP N [FILTER...]")
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
		if events[i].Event == kind && filter.matches(&events[i]) {
			n++
		}
	}
	ok, err := compare(float64(n), args[0], args[1])
	if err == nil && !ok {
		err = fmt.Errorf("%d runs match, expected %s %s", n, args[0], args[1])
	}
	return err
}

// checkNotRun checks that no attempt has run that a load saw end with the outcome
// "not run".
func (w *workspace) checkNotRun(events []standin.Event, loads []string) error {
	ran := map[string]string{}
	for _, e := range events {
		if e.Event == standin.EventStart {
			ran[e.RequestID] = fmt.Sprintf("%s at %s", e.Upstream, e.At.Format(time.StampMilli))
		}
	}
	var violations []string
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
				violations = append(violations, fmt.Sprintf("request %s (kind %s), reported as not run (reason %s), ran on %s", r.RequestID, r.Kind, r.Reason, where))
			}
		}
	}
	return violationsError(violations, "requests that were reported as not run have run")
}

// checkAnswered checks that the work of every answered request has finished a run.
func (w *workspace) checkAnswered(events []standin.Event, loads []string) error {
	ended := map[string]bool{}
	for _, e := range events {
		if e.Event == standin.EventEnd {
			ended[e.WorkID] = true
		}
	}
	var violations []string
	for _, load := range loads {
		results, err := w.results(load)
		if err != nil {
			return err
		}
		for _, r := range results {
			if r.Outcome == outcome.Answered.String() && !ended[r.WorkID] {
				violations = append(violations, fmt.Sprintf("work %s (kind %s), request %s", r.WorkID, r.Kind, r.RequestID))
			}
		}
	}
	return violationsError(violations, "answered requests have not finished a run")
}

// checkUnanswered compares a number with the number of attempts of a load that were not
// answered although their work has run, in the same attempt or another one.
func (w *workspace) checkUnanswered(events []standin.Event, args []string) error {
	if len(args) != 3 {
		return scriptErrorf("usage: runs unanswered OP N LOAD")
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
		err = fmt.Errorf("%d unanswered attempts have work that has run, expected %s %s", n, args[0], args[1])
	}
	return err
}

// checkGivenUp checks that no attempt of a load was answered in place of the upstream, or ended without an answer, while
// its work ran and still had time.
func (w *workspace) checkGivenUp(events []standin.Event, loads []string) error {
	started := map[string]*standin.Event{}
	for i := range events {
		if e := &events[i]; e.Event == standin.EventStart {
			started[e.WorkID] = e
		}
	}
	var violations []string
	for _, load := range loads {
		results, err := w.results(load)
		if err != nil {
			return err
		}
		for _, r := range results {
			e := started[r.WorkID]
			if e == nil || r.Outcome == outcome.Answered.String() || r.Reason == string(outcome.ReasonLateAnswer) {
				continue
			}
			violations = append(violations, fmt.Sprintf("request %s of %s to %s, sent at %s, ended after %.0f ms with status %d %s %s %s; a run began on %s at %s",
				r.RequestID, r.Kind, r.Target, r.Sent.UTC().Format(time.StampMilli), r.LatencyMs, r.Status, r.Outcome, r.Reason, r.Fault, e.Upstream, e.At.UTC().Format(time.StampMilli)))
		}
	}
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d attempts were given up although their work ran: %s", len(violations), strings.Join(violations[:min(len(violations), maxListed)], "; "))
}

// checkAfterDrain checks that no request reached an upstream later than a grace period
// after its first drain, whether it ran or was refused.
func checkAfterDrain(events []standin.Event, args []string) error {
	if len(args) != 2 {
		return scriptErrorf("usage: runs after-drain NAME GRACE")
	}
	grace, err := time.ParseDuration(args[1])
	if err != nil {
		return scriptErrorf("invalid grace period %q: %v", args[1], err)
	}
	var drained time.Time
	var violations []string
	for _, e := range events {
		switch {
		case e.Upstream != args[0]:
		case e.Event == standin.EventDrain && drained.IsZero():
			drained = e.At
		case e.Event != standin.EventStart && e.Event != standin.EventRefused:
		case !drained.IsZero() && e.At.Sub(drained) > grace:
			violations = append(violations, fmt.Sprintf("request %s, %s after the drain", e.RequestID, e.At.Sub(drained)))
		}
	}
	if drained.IsZero() {
		return fmt.Errorf("upstream %s has not drained", args[0])
	}
	return violationsError(violations, "requests reached upstream %s more than %s after its drain", args[0], grace)
}
