package main

import (
	"encoding/json"
	"fmt"
)

// routeSpec is a route of a configuration.
type routeSpec struct {
	name, host, prefix, kind, service string
	timeoutMs                         int
	attempts                          int
	priority                          int
}

// document returns a configuration in the operator's format.
func document(version, base int, services []string, routes []routeSpec) []byte {
	byHost := map[string][]any{}
	var hosts []string
	for _, r := range routes {
		if byHost[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": r.name, "kind": r.kind, "target_latency_ms": 1000, "priority": r.priority,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMs, "max_attempts": r.attempts},
		})
	}
	listeners := []any{}
	for _, h := range hosts {
		listeners = append(listeners, map[string]any{"host": h, "rules": byHost[h]})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 390, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", base),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return b
}
