package gossip

import (
	"errors"
	"time"
)

// Config holds the settings of membership. A zero field is set to its default.
type Config struct {
	// ProbeInterval is the time between two probes. Default 1 s. A shorter interval detects dead
	// nodes sooner, and traffic grows in proportion.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an ack before other nodes are asked to probe the target.
	// Default 300 ms. It must exceed the round-trip time between regions; a longer timeout leaves
	// less of the interval for indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is how many nodes are asked to probe a node that does not acknowledge.
	// Default 3. More of them get around lossy paths more often, and cost more messages when a
	// node dies.
	IndirectProbes int
	// RemoteProbeEvery makes every n-th probe go to another region. Default 4. A larger value
	// saves traffic between regions, but the loss of a region is noticed later.
	RemoteProbeEvery int
	// SuspicionFactor scales the time that a suspect node has to refute: SuspicionFactor times
	// log2 of the fleet size times ProbeInterval. Default 1, which gives about 10 s at 830 nodes.
	// A larger factor avoids false positives and detects real deaths later.
	SuspicionFactor float64
	// Fanout is how many members of the node's region a change is pushed to at once. Default 4. One
	// member in e^Fanout is missed by all pushes and learns of the change from a probe.
	Fanout int
	// UrgentFanout replaces Fanout for changes that remove capacity: node states other than
	// alive, and upstreams that are draining or gone. Default 6. With 4, an expected 15 of 830
	// nodes have to wait for a probe; with 6, two.
	UrgentFanout int
	// NoticeFanout is how many members of the region are told at once of a new configuration
	// version. Default 8. A larger fanout shortens the time between the first and the last node
	// that learns of the version. Each notice takes 130 bytes, and there are a few hundred
	// changes a day.
	NoticeFanout int
	// RemoteFanout is how many members of other regions a node pushes its own changes to at once.
	// Default 2. Of the nodes that pass on another node's change, two in a region, or four if it is
	// urgent, send it to one member of another region. This saves traffic between regions.
	RemoteFanout int
	// PushDelay is the mean wait before a change is passed on, so that several changes share a
	// datagram. Default 20 ms. It is added to the latency of every hop.
	PushDelay time.Duration
	// PushBytesPerSecond limits the average traffic of pushes. Default 4,000 B/s. Changes above
	// the limit are sent on probes only.
	PushBytesPerSecond int
	// PushBurstBytes is how much pushes may send in a burst. Default 65,536 B. The last half is
	// reserved for urgent changes (see UrgentFanout). A larger burst keeps pushes going through
	// mass events such as the loss of a failure domain, at the cost of a higher traffic peak.
	PushBurstBytes int
	// RetransmitFactor times log2 of the fleet size is how many times a node sends a change on
	// pings and acks, after the push. Default 1.5. A larger factor makes it less likely that a
	// member learns of a change only from a full exchange.
	RetransmitFactor float64
	// DeadRetention is how long dead nodes are remembered. Default 1 h. During that time, late
	// messages can't revive them, and they are probed now and then, so that a healed partition is
	// noticed. After it, the parts of a fleet can only find each other through seeds.
	DeadRetention time.Duration
	// ExchangeInterval is the mean time between two full exchanges with a random member. Default
	// 2 min. A shorter interval repairs missed changes sooner; each exchange costs about 20 bytes
	// per member.
	ExchangeInterval time.Duration
	// RepairInterval is the minimum time between two full exchanges with members whose membership
	// table differs. Default 10 s. A shorter interval repairs missed changes sooner, and costs
	// more when changes are so frequent that tables never agree.
	RepairInterval time.Duration
	// ExchangeTimeout is the timeout of one full exchange. Default 10 s.
	ExchangeTimeout time.Duration
	// Departures keeps the departures of all nodes across restarts of this member. It is nil for members
	// without a disk.
	Departures DepartureStore
	// DepartureDisks is how many control VMs must have a departure on their disks before it is acknowledged.
	// Default 2. It must exceed the number of disks that may be lost at once.
	DepartureDisks int
	// Seeds are the link addresses (IP:port) of nodes through which this node joins the fleet. A
	// node that reaches no seed starts alone and keeps trying.
	Seeds []string
}

// Size limits of a datagram, in bytes.
const (
	// MaxDatagram fits one packet on any usual path, without fragmentation.
	MaxDatagram = 1200
	// maxPlain is the maximum size of a message before it is sealed.
	maxPlain = MaxDatagram - sealOverhead
	// maxItem is the maximum size of an encoded change. It leaves room for the other fields of
	// the message.
	maxItem = 800
	// packetOverhead is the size of the IPv4 and UDP headers, which count as traffic.
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
	setDefault(&c.ExchangeInterval, 2*time.Minute)
	setDefault(&c.RepairInterval, 10*time.Second)
	setDefault(&c.ExchangeTimeout, 10*time.Second)
	setDefault(&c.DepartureDisks, 2)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (c *Config) check() error {
	if c.ProbeTimeout >= c.ProbeInterval {
		return errors.New("gossip: the probe timeout must be shorter than the probe interval")
	}
	return nil
}
