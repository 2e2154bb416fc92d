// Package metrics provides expvar counters and latency histograms for the parts of a process.
package metrics

import "expvar"

// Counters returns an expvar map of the given counters by name. The map is not published under a
// global expvar name, since a process may run several nodes.
func Counters(counters map[string]*expvar.Int) *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range counters {
		m.Set(name, v)
	}
	return m
}
