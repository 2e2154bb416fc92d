package control

import (
	"expvar"

	"github.com/godwithub/godwithub/resource"
)

// Stats describes the state for operators.
type Stats struct {
	Version     resource.Version `json:"version"`
	Objects     int              `json:"objects"`
	Changes     int              `json:"rememberedChanges"`
	ChangeBytes int              `json:"rememberedChangeBytes"`
	Members     int              `json:"members"`
	Applied     uint64           `json:"appliedCommands"` // since the process started
}

// Stats returns the present statistics.
func (m *Machine) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Stats{
		Version: m.set.Version(), Objects: m.set.Len(), Changes: len(m.changes.queue),
		ChangeBytes: m.changes.bytes, Members: len(m.members), Applied: m.applied,
	}
}

// Metrics returns the statistics as a metric.
func (m *Machine) Metrics() expvar.Var { return expvar.Func(func() any { return m.Stats() }) }
