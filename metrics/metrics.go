// Package metrics builds the expvar maps of parts.
package metrics

import "expvar"

// Counters returns a map of the given counters by name. It is not published:
// a process may run several nodes.
func Counters(counters map[string]*expvar.Int) *expvar.Map {
	m := new(expvar.Map).Init()
	for name, v := range counters {
		m.Set(name, v)
	}
	return m
}
