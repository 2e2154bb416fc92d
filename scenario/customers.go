package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/standin"
)

// The customer command writes customers and checks what their requests were able to do:
//
//	customer set NAME RATE BURST LABEL...  write a customer that has just the keys with these labels; RATE 0: no quota
//	customer removed LOAD...               no request has run that its caller sent with a removed key more than
//	                                       revocationBound after the acknowledgement of the removal
//	customer quotas                        in no window have more requests of a customer run than its quota allows
//	customer hidden                        no log of any process, and no metric or view of a running node, contains a key
//
// The key with label L is keyPrefix followed by L. The requests of a load with this key have a kind whose name begins
// with L and a dash.

const (
	keyPrefix = "scenario-key-"
	// revocationBound is how long after the acknowledgement of a change callers may still use a key that it has removed.
	revocationBound = 5 * time.Second
)

// customersState holds the customers that a script has written, and the keys that it has removed.
type customersState struct {
	customers map[string]scriptCustomer // by name
	// removedAt holds the time of the acknowledgement of the removal of each removed key, by its label.
	removedAt map[string]time.Time
}

type scriptCustomer struct {
	limits quota.Limits
	labels []string
}

func customerCommand(w *workspace, _ *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return scriptErrorf("usage: customer set|removed|quotas|hidden ...")
	}
	switch action, rest := args[0], args[1:]; {
	case action == "set" && len(rest) >= 4:
		return w.setCustomer(rest[0], rest[1], rest[2], rest[3:])
	case action == "removed" && len(rest) >= 1:
		return w.checkRemovedKeys(rest)
	case action == "quotas" && len(rest) == 0:
		return w.checkQuotas()
	case action == "hidden" && len(rest) == 0:
		return w.checkKeysHidden()
	}
	return scriptErrorf("customer %q: no such action with these arguments", args)
}

// setCustomer writes a customer and records which of its keys are removed with that.
func (w *workspace) setCustomer(name, rateText, burstText string, labels []string) error {
	rate, err := strconv.ParseFloat(rateText, 64)
	if err != nil {
		return scriptErrorf("invalid rate %q", rateText)
	}
	burst, err := strconv.ParseFloat(burstText, 64)
	if err != nil {
		return scriptErrorf("invalid burst %q", burstText)
	}
	keys := make([]string, len(labels))
	for i, label := range labels {
		keys[i] = keyPrefix + label
	}
	body, err := json.Marshal([]map[string]any{{"type": resource.TypeCustomer, "name": name, "keys": keys, "ratePerSecond": rate, "burst": burst}})
	if err != nil {
		return err
	}
	if err := w.applyConfig(string(body)); err != nil {
		return err
	}
	acknowledged := time.Now()
	for _, label := range w.customers.customers[name].labels {
		if !slices.Contains(labels, label) {
			w.customers.removedAt[label] = acknowledged
		}
	}
	w.customers.customers[name] = scriptCustomer{quota.Limits{Rate: rate, Burst: burst}, labels}
	return nil
}

// checkRemovedKeys checks that no request with a removed key has run later than revocationBound allows. It also fails
// if no request with a removed key was sent late enough to be checked.
func (w *workspace) checkRemovedKeys(loads []string) error {
	started, err := w.firstStarts()
	if err != nil {
		return err
	}
	checked := map[string]int{}
	var violations []string
	for _, load := range loads {
		results, err := w.results(load)
		if err != nil {
			return err
		}
		for _, r := range results {
			label, _, _ := strings.Cut(r.Kind, "-")
			removedAt, removed := w.customers.removedAt[label]
			if !removed || r.Sent.Sub(removedAt) <= revocationBound {
				continue
			}
			checked[label]++
			if run, ok := started[r.WorkID]; ok {
				violations = append(violations, fmt.Sprintf("request %s with key %s, sent %s after its removal, ran on %s", run.RequestID, label, r.Sent.Sub(removedAt), run.Upstream))
			}
		}
	}
	for label := range w.customers.removedAt {
		if checked[label] == 0 {
			return fmt.Errorf("no request was sent with key %s more than %s after its removal", label, revocationBound)
		}
	}
	return violationsError(violations, "requests ran that were sent more than %s after the removal of their key", revocationBound)
}

// firstStarts returns the first start of each work that has run, by work id.
func (w *workspace) firstStarts() (map[string]standin.Event, error) {
	events, err := readJSONLines[standin.Event](w.runLog())
	if err != nil {
		return nil, err
	}
	out := map[string]standin.Event{}
	for _, e := range events {
		if first, ok := out[e.WorkID]; e.Event == standin.EventStart && (!ok || e.At.Before(first.At)) {
			out[e.WorkID] = e
		}
	}
	return out, nil
}

// checkQuotas checks that no window contains more starts of a customer's requests than its quota allows.
func (w *workspace) checkQuotas() error {
	started, err := w.firstStarts()
	if err != nil {
		return err
	}
	starts := map[string][]time.Time{}
	for _, e := range started {
		starts[e.Customer] = append(starts[e.Customer], e.At)
	}
	bounds := quota.DefaultBounds()
	var violations []string
	for name, c := range w.customers.customers {
		if c.limits.Unlimited() {
			continue
		}
		if len(starts[name]) == 0 {
			return fmt.Errorf("no request of customer %s has run", name)
		}
		limit := (c.limits.Rate*bounds.Window.Seconds()+c.limits.Burst)*(1+bounds.Overshoot) + bounds.Tolerance
		if n, from := busiestWindow(starts[name], bounds.Window); float64(n) > limit {
			violations = append(violations, fmt.Sprintf("customer %s: %d requests from %s on, %g are allowed", name, n, from.Format(time.StampMilli), limit))
		}
	}
	return violationsError(violations, "customers had more requests run within %s than their quota allows", bounds.Window)
}

// busiestWindow returns the largest number of times within a window, and the start of that window.
func busiestWindow(times []time.Time, window time.Duration) (most int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, times[first]
		}
	}
	return most, from
}

// checkKeysHidden checks that no log, metric or view contains a key.
func (w *workspace) checkKeysHidden() error {
	logs, err := filepath.Glob(filepath.Join(w.dir, "log", "*"))
	if err != nil {
		return err
	}
	var violations []string
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, keyPrefix) {
				violations = append(violations, fmt.Sprintf("%s: %.300s", filepath.Base(path), line))
			}
		}
	}
	for _, n := range w.fleet.nodes {
		for _, path := range []string{"/debug/vars", "/v1/view"} {
			// A node that is not running has nothing to show.
			if _, body, err := get("http://" + n.addr(portDebug) + path); err == nil && strings.Contains(string(body), keyPrefix) {
				violations = append(violations, fmt.Sprintf("%s of node %s", path, n.name))
			}
		}
	}
	return violationsError(violations, "log lines, metrics or views contain a key")
}
