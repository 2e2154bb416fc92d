package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// services and routes of the manifest, with the figures of the site millrace-ponds.
var services = []string{"storefront", "checkout"}

const host = "pond.example"

type route struct {
	name, kind, method, prefix, service string
	timeoutMs, targetMs, priority       int
	deadlineMs                          int
	work                                time.Duration
	share                               float64 // of the requests
	bodyBytes                           int
}

var routes = []route{
	{"browse", "safe", "GET", "/browse/", "storefront", 2500, 1500, 1, 5000, 300 * time.Millisecond, 0.25, 0},
	{"place-order", "unsafe", "POST", "/place-order/", "storefront", 3000, 1500, 1, 6000, 400 * time.Millisecond, 0.45, 2000},
	{"charge", "unsafe", "PUT", "/charge/", "checkout", 2000, 1000, 0, 4000, 210 * time.Millisecond, 0.18, 300},
	{"stock", "safe", "GET", "/stock/", "checkout", 8000, 8000, 2, 15000, 1200 * time.Millisecond, 0.12, 0},
}

// manifest returns a complete manifest.
func manifest(version, base int) []byte {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": "r-" + r.name, "kind": r.kind, "target_latency_ms": r.targetMs, "priority": r.priority,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": 2},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", base),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// callControl sends a call to one control process and follows a redirect twice.
func callControl(addr, call string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	client := http.Client{CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/rpc?call="+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// replace sends a manifest to one control process after the other until one acknowledges it or the time
// is over. It returns whether it was acknowledged.
func (f *fleet) replace(body []byte, within time.Duration) bool {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		m := f.controls[i%len(f.controls)]
		status, answer, err := callControl(m.addr(portControl), "config.replace", body, time.Second)
		f.rec.add("operator", "config.replace at %s: %d %v %.60q", m.name, status, err, answer)
		switch status {
		case 200:
			return true
		case 400, 409, 412, 413, 422:
			return false
		}
		time.Sleep(min(500*time.Millisecond, time.Duration(50*(i+1))*time.Millisecond))
	}
	return false
}
