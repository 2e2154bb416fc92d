package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/godwithub/godwithub/consensus/tracker"
)

// Clone returns an independent copy of the core, with which a test explores several continuations of one state. It must not
// be called between Ready and Advance.
func (c *Core) Clone() *Core {
	out := *c
	source := *c.source
	out.source, out.rand = &source, rand.New(&source)
	out.log = c.log.clone()
	out.votes = maps.Clone(c.votes)
	out.messages = slices.Clone(c.messages)
	out.reads.waiting = slices.Clone(c.reads.waiting)
	out.reads.confirmed = slices.Clone(c.reads.confirmed)
	out.reads.responders = slices.Clone(c.reads.responders)
	out.reads.fastest = slices.Clone(c.reads.fastest)
	if c.peers != nil {
		out.peers = make(map[ReplicaID]*tracker.Progress, len(c.peers))
		for id, p := range c.peers {
			out.peers[id] = p.Clone()
		}
	}
	return &out
}

func (l *log) clone() *log {
	out := *l
	out.entries = slices.Clone(l.entries)
	out.memberships = slices.Clone(l.memberships)
	return &out
}
