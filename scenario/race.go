package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// raceWriters is the number of operators that write the same resource at once.
const raceWriters = 4

// raceResult is one operator's write and the answer to it.
type raceResult struct {
	changeID string
	body     []byte // of the request
	status   int
	answer   []byte
	err      error
}

// raceWrites repeats a race n times: several operators replace one caller resource at
// once, all naming the same revision. Exactly one write must be accepted, and a resend
// of any write with its change id must return the result of the first time.
func (w *workspace) raceWrites(countText string) error {
	n, err := strconv.Atoi(countText)
	if err != nil {
		return scriptErrorf("invalid number of races %q", countText)
	}
	for i := range n {
		if err := w.raceOnce(fmt.Sprintf("racing-%d", i%5)); err != nil {
			return fmt.Errorf("race %d: %w", i, err)
		}
	}
	return nil
}

func (w *workspace) raceOnce(name string) error {
	o := &resource.Caller{Meta: resource.Meta{Name: name}}
	// The control group may still be starting.
	if err := waitUntil(applyTimeout, func() error { return w.setRevision(o) }); err != nil {
		return err
	}
	results := make([]raceResult, raceWriters)
	var wg sync.WaitGroup
	for i := range results {
		replacement := *o
		replacement.Weight = i + 1
		wg.Go(func() { results[i] = w.applyOnce(&replacement, uuid.NewString(), nil) })
	}
	wg.Wait()
	accepted := 0
	for i := range results {
		r := &results[i]
		switch {
		case r.err != nil:
			return r.err
		case r.status == http.StatusOK:
			accepted++
		case r.status != http.StatusConflict:
			return fmt.Errorf("write of a race: status %d: %s", r.status, r.answer)
		}
	}
	if accepted != 1 {
		return fmt.Errorf("%d of %d writes that named the same revision were accepted", accepted, raceWriters)
	}
	return w.checkResends(results)
}

// checkResends sends all writes again, as operators do after a lost answer, and checks
// that the results are those of the first time.
func (w *workspace) checkResends(results []raceResult) error {
	for i := range results {
		first := &results[i]
		resent := w.applyOnce(nil, first.changeID, first.body)
		if resent.err != nil {
			return resent.err
		}
		if resent.status != first.status {
			return fmt.Errorf("write returned status %d at first and %d when resent: %s", first.status, resent.status, resent.answer)
		}
		if first.status != http.StatusOK {
			continue
		}
		var firstApplied, resentApplied apiv1.Applied
		if err := json.Unmarshal(first.answer, &firstApplied); err != nil {
			return err
		}
		if err := json.Unmarshal(resent.answer, &resentApplied); err != nil {
			return err
		}
		if firstApplied.Version != resentApplied.Version {
			return fmt.Errorf("write returned version %s at first and %s when resent", firstApplied.Version, resentApplied.Version)
		}
		w.control.appliedVersion = firstApplied.Version
	}
	return nil
}

// applyOnce applies o, or if o is nil the body of an earlier write.
func (w *workspace) applyOnce(o resource.Object, changeID string, body []byte) raceResult {
	r := raceResult{changeID: changeID, body: body}
	if o != nil {
		request := apiv1.ApplyRequest{Writes: []apiv1.Write{{Op: apiv1.OpPut, Object: &apiv1.Resource{Object: o}}}}
		if r.body, r.err = json.Marshal(request); r.err != nil {
			return r
		}
	}
	r.status, r.answer, r.err = w.callControl(http.MethodPost, "/v1/apply", r.body, changeID)
	return r
}
