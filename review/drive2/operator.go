package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// callTimeout is how long the operator waits for an answer before it calls another process.
	callTimeout = time.Second
	// maxRedirects is how many redirects the operator follows.
	maxRedirects = 2
	host         = "shop.example"
)

// operator sends manifests to control and reads them back.
type operator struct {
	fleet   *fleet
	client  *http.Client
	version int // of the newest acknowledged manifest
	sent    int // version number that was used last
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{
		Timeout:       callTimeout,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call makes one call at a process, without following redirects.
func (o *operator) call(addr, name string, body []byte) (status int, answer []byte, location string, err error) {
	resp, err := o.client.Post("http://"+addr+"/rpc?call="+name, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, resp.Header.Get("Location"), err
}

// follow makes a call at a process and follows redirects.
func (o *operator) follow(addr, name string, body []byte) (status int, answer []byte, err error) {
	for range maxRedirects + 1 {
		var location string
		status, answer, location, err = o.call(addr, name, body)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, answer, err
		}
		req, err := http.NewRequest(http.MethodPost, location, nil)
		if err != nil {
			return 0, nil, err
		}
		addr = req.URL.Host
	}
	return status, answer, errors.New("too many redirects")
}

// leader returns the process that answers a read by itself, or nil.
func (o *operator) leader(vms []*vm) *vm {
	for _, v := range vms {
		if !v.running() {
			continue
		}
		if status, _, _, err := o.call(v.controlAddr(), "config.read", []byte("{}")); err == nil && status == http.StatusOK {
			return v
		}
	}
	return nil
}

func (o *operator) awaitLeader(vms []*vm, limit time.Duration) *vm {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if v := o.leader(vms); v != nil {
			return v
		}
	}
	return nil
}

// rule returns a route of requests that are not idempotent.
func rule(name, prefix, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "kind": "unsafe", "target_latency_ms": 800, "priority": 1, "match": map[string]string{"path_prefix": prefix},
		"action": map[string]any{"service": service, "timeout_ms": timeoutMs, "max_attempts": 2},
	}
}

// manifest returns a manifest with one route and the fleet's further ones. The version shows in the timeout of the route.
func (o *operator) manifest(version, base int) []byte {
	rules := append([]any{rule("r-order", "/order/", "shop", 2000+version)}, o.fleet.rules...)
	var clusters []any
	for _, name := range o.fleet.clusters {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	m := map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", base),
		"limits":    map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	}
	if o.fleet.tenants != nil {
		m["tenants"] = o.fleet.tenants
	}
	b, _ := json.Marshal(m)
	return b
}

// change sends a new manifest until it is acknowledged, to one process after another.
func (o *operator) change(vms []*vm, limit time.Duration) error {
	o.sent++
	body, backoff := o.manifest(o.sent, o.version), 50*time.Millisecond
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		v := vms[i%len(vms)]
		status, answer, err := o.follow(v.controlAddr(), "config.replace", body)
		o.fleet.record.add("operator sends manifest %d to %s: %d %s %v", o.sent, v.name, status, bytes.TrimSpace(answer), err)
		if err == nil && status == http.StatusOK {
			o.version = o.sent
			return nil
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, 500*time.Millisecond)
	}
	return fmt.Errorf("manifest %d was not acknowledged within %v", o.sent, limit)
}

// read asks all processes in turn for the manifest until one answers, and returns its version.
func (o *operator) read(vms []*vm, limit time.Duration) (version int, err error) {
	last := "no answer"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, v := range vms {
			status, answer, err := o.follow(v.controlAddr(), "config.read", []byte("{}"))
			if err != nil || status != http.StatusOK {
				text := fmt.Sprintf("%s: %d %s %v", v.name, status, bytes.TrimSpace(answer), err)
				o.fleet.record.add("operator reads at %s", text)
				last = text
				continue
			}
			var d struct {
				Version string `json:"version"`
			}
			if err := json.Unmarshal(answer, &d); err != nil {
				return 0, err
			}
			if _, err := fmt.Sscanf(d.Version, "%x", &version); err != nil {
				return 0, err
			}
			o.fleet.record.add("operator reads manifest %d at %s", version, v.name)
			return version, nil
		}
	}
	return 0, fmt.Errorf("no process returned the manifest within %v; the last answer: %s", limit, last)
}
