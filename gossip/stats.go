package gossip

import (
	"sync/atomic"

	"github.com/godwithub/godwithub/fleet"
)

// counters are the counts that Stats reports.
type counters struct {
	DatagramsSent, DatagramsReceived, BytesSent, BytesReceived atomic.Uint64
	Corrupt, Replayed, Malformed, SendErrors                   atomic.Uint64
	Probes, FailedProbes, Relayed                              atomic.Uint64
	Suspicions, Refutations, Deaths                            atomic.Uint64
	PushesLimited, Refused, Repairs                            atomic.Uint64
	Exchanges, ExchangesServed, ExchangesFailed, ExchangeBytes atomic.Uint64
}

// Stats is a snapshot of the membership protocol: counts since the start, and current states.
type Stats struct {
	// Bytes include the IP and UDP headers.
	DatagramsSent     uint64 `json:"datagramsSent"`
	DatagramsReceived uint64 `json:"datagramsReceived"`
	BytesSent         uint64 `json:"bytesSent"`
	BytesReceived     uint64 `json:"bytesReceived"`
	// Corrupt counts datagrams that were not sealed with the fleet's key for this node.
	Corrupt uint64 `json:"corrupt"`
	// Replayed counts datagrams that were received before, or that an earlier process of their
	// sender sent.
	Replayed uint64 `json:"replayed"`
	// Malformed counts datagrams that were sealed properly but hold no valid message.
	Malformed  uint64 `json:"malformed"`
	SendErrors uint64 `json:"sendErrors"`

	Probes       uint64 `json:"probes"`
	FailedProbes uint64 `json:"failedProbes"`
	Relayed      uint64 `json:"relayed"` // probes made on behalf of other nodes
	Suspicions   uint64 `json:"suspicions"`
	Refutations  uint64 `json:"refutations"` // of claims that this node is suspect or dead
	Deaths       uint64 `json:"deaths"`
	// PushesLimited counts how often changes were left to probes because pushes had reached their
	// traffic limit.
	PushesLimited uint64 `json:"pushesLimited"`
	// Refused counts updates of this node's record that were not announced because they are invalid,
	// too long or too many.
	Refused uint64 `json:"refused"`

	// Full exchanges that this node initiated, answered, and initiated without success, and the
	// payload bytes of all of them in both directions.
	Exchanges       uint64 `json:"exchanges"`
	ExchangesServed uint64 `json:"exchangesServed"`
	ExchangesFailed uint64 `json:"exchangesFailed"`
	ExchangeBytes   uint64 `json:"exchangeBytes"`
	// Repairs counts the exchanges made because a member's membership table differed.
	Repairs uint64 `json:"repairs"`

	// Members by state, including this node, and the number of queued changes.
	Alive   int  `json:"alive"`
	Suspect int  `json:"suspect"`
	Leaving int  `json:"leaving"`
	Dead    int  `json:"dead"`
	Queued  int  `json:"queued"`
	Joining bool `json:"joining"` // no other live member is known
}

// Stats returns the current counts.
func (g *Gossip) Stats() Stats {
	n := g.counters
	s := Stats{
		DatagramsSent: n.DatagramsSent.Load(), DatagramsReceived: n.DatagramsReceived.Load(),
		BytesSent: n.BytesSent.Load(), BytesReceived: n.BytesReceived.Load(),
		Corrupt: n.Corrupt.Load(), Replayed: n.Replayed.Load(), Malformed: n.Malformed.Load(),
		SendErrors: n.SendErrors.Load(), Probes: n.Probes.Load(), FailedProbes: n.FailedProbes.Load(),
		Relayed: n.Relayed.Load(), Suspicions: n.Suspicions.Load(), Refutations: n.Refutations.Load(),
		Deaths: n.Deaths.Load(), PushesLimited: n.PushesLimited.Load(), Refused: n.Refused.Load(), Repairs: n.Repairs.Load(),
		Exchanges: n.Exchanges.Load(), ExchangesServed: n.ExchangesServed.Load(),
		ExchangesFailed: n.ExchangesFailed.Load(), ExchangeBytes: n.ExchangeBytes.Load(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.fillMemberStats(&s)
	return s
}

func (c *core) fillMemberStats(s *Stats) {
	s.Queued = len(c.queue.items)
	s.Joining = c.joining
	for _, m := range c.members {
		if !m.complete() {
			continue
		}
		switch m.status.State {
		case fleet.NodeAlive:
			s.Alive++
		case fleet.NodeSuspect:
			s.Suspect++
		case fleet.NodeLeaving:
			s.Leaving++
		case fleet.NodeDead:
			s.Dead++
		}
	}
}
