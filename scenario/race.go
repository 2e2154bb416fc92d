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

// racers is the number of operators that write the same resource at once.
const racers = 4

// raceResult is the answer to one operator's write.
type raceResult struct {
	changeID string
	body     []byte // sent
	status   int
	answer   []byte
	err      error
}

// raceWrites lets operators replace one caller at once, all naming the same
// revision, n times over. Exactly one may succeed each time, and a resend of
// any write under its change id has the result that it had the first time.
func (w *world) raceWrites(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return misused("%q is no number of races", text)
	}
	for i := range n {
		if err := w.race(fmt.Sprintf("racing-%d", i%5)); err != nil {
			return fmt.Errorf("race %d: %w", i, err)
		}
	}
	return nil
}

func (w *world) race(name string) error {
	o := &resource.Caller{Meta: resource.Meta{Name: name}}
	// Control may be starting.
	if err := waitUntil(applyBound, func() error { return w.setRevision(o) }); err != nil {
		return err
	}
	results := make([]raceResult, racers)
	var all sync.WaitGroup
	for i := range results {
		mine := *o
		mine.Weight = i + 1
		all.Go(func() { results[i] = w.write(&mine, uuid.NewString(), nil) })
	}
	all.Wait()
	won := 0
	for i := range results {
		r := &results[i]
		switch {
		case r.err != nil:
			return r.err
		case r.status == http.StatusOK:
			won++
		case r.status != http.StatusConflict:
			return fmt.Errorf("status %d: %s", r.status, r.answer)
		}
	}
	if won != 1 {
		return fmt.Errorf("%d of %d writes that named the same revision were accepted", won, racers)
	}
	return w.resend(results)
}

// resend sends all writes again, as operators do whose answer was lost.
func (w *world) resend(results []raceResult) error {
	for i := range results {
		first := &results[i]
		again := w.write(nil, first.changeID, first.body)
		if again.err != nil {
			return again.err
		}
		if again.status != first.status {
			return fmt.Errorf("status %d at first and %d when resent: %s", first.status, again.status, again.answer)
		}
		if first.status != http.StatusOK {
			continue
		}
		var one, two apiv1.Applied
		if err := json.Unmarshal(first.answer, &one); err != nil {
			return err
		}
		if err := json.Unmarshal(again.answer, &two); err != nil {
			return err
		}
		if one.Version != two.Version {
			return fmt.Errorf("version %s at first and %s when resent", one.Version, two.Version)
		}
		w.control.applied = one.Version
	}
	return nil
}

// write applies o, or the body of an earlier write.
func (w *world) write(o resource.Object, changeID string, body []byte) raceResult {
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
