package main

import (
	"net/http"
	"slices"
	"time"
)

// send sends a request of a caller on the first VM with a node.
func (f *fleet) send(path, key, id string) (status int) {
	i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.role == "node" })
	return f.vms[i].send(path, key, id)
}

// send sends a request of a caller on the VM, with a key unless that is empty. It returns the status of the answer, or 0 if
// none came.
func (v *vm) send(path, key, id string) (status int) {
	r := v.fleet.record
	req, err := http.NewRequest(http.MethodPost, "http://"+v.outbound()+path, nil)
	if err != nil {
		r.add("request %s: %v", id, err)
		return 0
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	if key != "" {
		req.Header.Set("X-Credential", key)
	}
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		r.add("request %s: %v", id, err)
		return 0
	}
	resp.Body.Close()
	r.add("request %s for %s with key %q at %s: %d", id, path, key, v.name, resp.StatusCode)
	return resp.StatusCode
}
