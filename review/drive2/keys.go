package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	revokeBound = 5 * time.Second
	configApply = 2500 * time.Millisecond
	heldKey     = "key-of-the-library"
	neverKey    = "key-that-nobody-ever-held"
	// requestsPerKey is how many requests are sent with each key once the key was taken away.
	requestsPerKey = 5
)

// tenantBounds are the bounds of a deployment with tenants, in addition to the others.
var tenantBounds = []string{"revoke_strict=true", "revoke_ms=5000", "quota_window_s=5", "quota_overshoot=0.1", "quota_tolerance=20"}

// lastKey takes the key of the only tenant away, by a manifest whose list of tenants is empty.
func lastKey(f *fleet, trouble bool) error {
	f.bounds = append(f.bounds, tenantBounds...)
	tenants := []any{map[string]any{"name": "library", "api_keys": []string{heldKey}}}
	f.tenants = tenants
	core, op, err := startCore(f)
	if err != nil {
		return err
	}
	var workers []*worker
	for _, v := range f.vms {
		if v.role == "node" {
			w, err := startWorker(v, "worker-of-"+v.name)
			if err != nil {
				return err
			}
			defer w.close()
			workers = append(workers, w)
		}
	}
	time.Sleep(contact)
	held, never := f.send("/order/1", heldKey, "before-held"), f.send("/order/1", neverKey, "before-never")
	if held != http.StatusOK || never != http.StatusUnauthorized {
		return errors.New("the requests before the change were not answered with 200 and 401")
	}
	if trouble {
		f.tenants = []any{}
	}
	if err := op.change(core, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(revokeBound + configApply)
	ran := func(id string) bool {
		n := 0
		for _, w := range workers {
			n += w.ran(id)
		}
		return n > 0
	}
	heldRuns, neverRuns := 0, 0
	for i := range requestsPerKey {
		id := fmt.Sprintf("held-%d", i)
		f.send("/order/1", heldKey, id)
		if ran(id) {
			heldRuns++
		}
		id = fmt.Sprintf("never-%d", i)
		f.send("/order/1", neverKey, id)
		if ran(id) {
			neverRuns++
		}
	}
	f.record.add("of %d requests each, %d ran with the key of the tenant and %d with a key that no manifest ever held", requestsPerKey, heldRuns, neverRuns)
	if trouble && heldRuns > 0 || neverRuns > 0 {
		return breaks("%d requests ran with a key that was taken away over revoke_ms before, and %d with a key that no manifest ever held", heldRuns, neverRuns)
	}
	return nil
}
