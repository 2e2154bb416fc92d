package scenario

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/standin"
)

// maxPacedRuns bounds how often a load is run until the upstreams are fast enough.
const maxPacedRuns = 4

// runPaced runs a load whose checks assume a certain capacity of the upstreams. If the
// machine pauses all processes for part of the time, upstreams are slower than
// configured and the load exceeds their capacity. Its report is then ignored and the
// load is run again. The limit bounds the mean time of a run at an upstream.
func (w *workspace) runPaced(ts *testscript.TestScript, name, limitText string, flags []string) error {
	limit, err := time.ParseDuration(limitText)
	if err != nil {
		return scriptErrorf("invalid limit %q: %v", limitText, err)
	}
	for range maxPacedRuns {
		start := time.Now()
		if err := w.startLoad(name, flags); err != nil {
			return err
		}
		if err := w.waitLoad(ts, name, loadTimeout); err != nil {
			return err
		}
		mean, err := w.meanRunTime(start)
		if err != nil {
			return err
		}
		if mean <= limit {
			return nil
		}
		ts.Logf("runs at upstreams took %v on average, longer than %v, since the machine pauses processes: running load %s again", mean, limit, name)
	}
	return fmt.Errorf("load %s: runs at upstreams took longer than %v on average in all of %d tries", name, limit, maxPacedRuns)
}

// meanRunTime returns the mean time of the runs that started at since or later and ended
// with the result "done".
func (w *workspace) meanRunTime(since time.Time) (time.Duration, error) {
	events, err := readJSONLines[standin.Event](w.runLog())
	if err != nil {
		return 0, err
	}
	sum, n := time.Duration(0), 0
	for i := range events {
		e := &events[i]
		if e.Event == standin.EventEnd && e.Result == "done" && e.Started != nil && !e.Started.Before(since) {
			sum += e.At.Sub(*e.Started)
			n++
		}
	}
	if n == 0 {
		return 0, fmt.Errorf("no run that began since %s has ended as done", since.Format(time.StampMilli))
	}
	return sum / time.Duration(n), nil
}
