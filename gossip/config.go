package gossip

import (
	"errors"
	"time"
)

// Config holds the settings of membership. A zero field takes its default.
type Config struct {
	// ProbeInterval is the time between two probes. Default 1 s. A shorter one
	// detects deaths sooner and costs traffic in proportion.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an answer before other nodes are asked to
	// probe. Default 300 ms. It must exceed the round trip between regions; a
	// longer one leaves less of the interval to indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is how many nodes are asked to probe a silent one. Default
	// 3. More find a way around lossy paths, at the cost of messages when a node dies.
	IndirectProbes int
	// RemoteProbeEvery makes every n-th probe go to another region. Default 4.
	// A larger one saves traffic between regions and notices the loss of a
	// region later.
	RemoteProbeEvery int
	// SuspicionFactor times log2 of the fleet's size times ProbeInterval is the
	// time a suspected node has to refute. Default 1, about 10 s at 830 nodes. A
	// larger one avoids false deaths and delays true ones.
	SuspicionFactor float64
	// Fanout is how many members of the region get a change at once. Default 4.
	// One member in e^Fanout misses a push and learns of it from a probe.
	Fanout int
	// UrgentFanout takes the place of Fanout for changes that take capacity away:
	// states of nodes, and upstreams that drain or are gone. Default 6. With 4,
	// 15 of 830 nodes are expected to wait for a probe, with 6 two.
	UrgentFanout int
	// NoticeFanout is how many members of the region are told at once of a new
	// configuration version. Default 8. More bring the last node closer to the
	// first, at 130 bytes each and a few hundred changes a day.
	NoticeFanout int
	// RemoteFanout is how many members of other regions get a local change at
	// once. Default 2. A node that passes on a change sends it to one member of
	// another region with a chance of one in four, to save traffic there.
	RemoteFanout int
	// PushDelay is the mean wait before a change is passed on, so that several
	// share a datagram. Default 20 ms. It adds to each hop of a change.
	PushDelay time.Duration
	// PushBytesPerSecond bounds what pushes send over time. Default 4,000 B/s.
	// Beyond it, changes wait for probes.
	PushBytesPerSecond int
	// PushBurstBytes is what pushes may send at once. Default 65,536 B. The last
	// half is kept for the changes of UrgentFanout. A larger one keeps pushes
	// going through mass events such as the loss of a failure domain, at the cost
	// of a higher peak of traffic.
	PushBurstBytes int
	// RetransmitFactor times log2 of the fleet's size is how often a node sends
	// one change on probes and answers, after its push. Default 1.5. More make it
	// less likely that a member learns of a change only from a full exchange.
	RetransmitFactor float64
	// DeadRetention is how long dead nodes are kept. Default 1 h. During that
	// time late rumours can't revive them and they are probed now and then, so
	// that a healed partition is noticed. After it only seeds help.
	DeadRetention time.Duration
	// SyncInterval is the mean time between two full exchanges with a random
	// member. Default 2 min. A shorter one repairs missed changes sooner; each
	// costs about 20 bytes per member.
	SyncInterval time.Duration
	// RepairInterval is the least time between two full exchanges with members
	// whose table differs. Default 10 s. A shorter one repairs missed changes
	// sooner, and costs more when changes are so many that tables never agree.
	RepairInterval time.Duration
	// SyncTimeout bounds one full exchange. Default 10 s.
	SyncTimeout time.Duration
	// Seeds are the link addresses of nodes to start from, as IP:port. A node
	// without a live seed starts alone and keeps trying.
	Seeds []string
}

// Limits of a datagram, in bytes.
const (
	// MaxDatagram fits one packet on any usual path, without fragments.
	MaxDatagram = 1200
	// maxPlain is the largest message before it is sealed.
	maxPlain = MaxDatagram - sealOverhead
	// maxItem is the largest change. It leaves room for the message around it.
	maxItem = 800
	// packetOverhead is the IPv4 and UDP header, which count as traffic.
	packetOverhead = 28
)

func (c *Config) setDefaults() {
	setDefault(&c.ProbeInterval, time.Second)
	setDefault(&c.ProbeTimeout, 300*time.Millisecond)
	setDefault(&c.IndirectProbes, 3)
	setDefault(&c.RemoteProbeEvery, 4)
	setDefault(&c.SuspicionFactor, 1)
	setDefault(&c.Fanout, 4)
	setDefault(&c.UrgentFanout, 6)
	setDefault(&c.NoticeFanout, 8)
	setDefault(&c.RemoteFanout, 2)
	setDefault(&c.PushDelay, 20*time.Millisecond)
	setDefault(&c.PushBytesPerSecond, 4000)
	setDefault(&c.PushBurstBytes, 64<<10)
	setDefault(&c.RetransmitFactor, 1.5)
	setDefault(&c.DeadRetention, time.Hour)
	setDefault(&c.SyncInterval, 2*time.Minute)
	setDefault(&c.RepairInterval, 10*time.Second)
	setDefault(&c.SyncTimeout, 10*time.Second)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (c *Config) check() error {
	if c.ProbeTimeout >= c.ProbeInterval {
		return errors.New("gossip: probe timeout must be below the probe interval")
	}
	return nil
}
