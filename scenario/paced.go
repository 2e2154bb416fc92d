package scenario

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/standin"
)

// pacedTries bounds how often a load is run until the upstreams have kept their pace.
const pacedTries = 4

// runPaced runs a load whose checks presume what the upstreams can serve. A machine
// that pauses all processes for part of the time makes upstreams slower than the
// script says, and the load asks for more than there is. Such a load is run again; its
// report is not looked at. limit bounds the mean time of a run at an upstream.
func (w *world) runPaced(ts *testscript.TestScript, name, limitText string, flags []string) error {
	limit, err := time.ParseDuration(limitText)
	if err != nil {
		return misused("limit %q: %v", limitText, err)
	}
	for range pacedTries {
		began := time.Now()
		if err := w.startLoad(name, flags); err != nil {
			return err
		}
		if err := w.waitLoad(ts, name, loadBound); err != nil {
			return err
		}
		mean, err := w.meanRun(began)
		if err != nil {
			return err
		}
		if mean <= limit {
			return nil
		}
		ts.Logf("runs at upstreams took %v on average, over %v: the machine does not keep the pace, and load %s is run again", mean, limit, name)
	}
	return fmt.Errorf("load %s: upstreams have not kept the pace of %v a run in %d tries", name, limit, pacedTries)
}

// meanRun returns the mean time of the runs that were done and began at since or later.
func (w *world) meanRun(since time.Time) (time.Duration, error) {
	events, err := readLines[standin.Event](w.runLog())
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
		return 0, fmt.Errorf("no run has ended since %s", since.Format(time.StampMilli))
	}
	return sum / time.Duration(n), nil
}
