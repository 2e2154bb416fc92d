package control

import (
	"expvar"

	"github.com/godwithub/godwithub/resource"
)

// Stats holds statistics of a Machine for operators.
type Stats struct {
	Version     resource.Version `json:"version"`
	Objects     int              `json:"objects"`
	Changes     int              `json:"rememberedChanges"`
	ChangeBytes int              `json:"rememberedChangeBytes"`
	Members     int              `json:"members"`
	Applied     uint64           `json:"appliedCommands"` // since the process started
}

// Stats returns the current statistics.
func (m *Machine) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Stats{
		Version: m.set.Version(), Objects: m.set.Len(), Changes: len(m.rememberedChanges.queue),
		ChangeBytes: m.rememberedChanges.bytes, Members: len(m.members), Applied: m.applied,
	}
}

// Metrics returns the statistics as an expvar variable.
func (m *Machine) Metrics() expvar.Var { return expvar.Func(func() any { return m.Stats() }) }
