package distribute

import (
	"time"

	"github.com/godwithub/godwithub/credential"
)

// Config holds the settings of distribution. A zero field stands for its default.
type Config struct {
	// FeedersPerRegion is the number of feeders in each region: nodes that watch control on behalf of
	// the others. Default 2. With more, the region still receives changes when several of them lose
	// contact with control; each costs control one stream and the link between regions one copy of
	// each change.
	FeedersPerRegion int
	// Heartbeat is the interval between heartbeats on a watch. Default 500 ms. A shorter one detects a
	// silent control replica sooner; each heartbeat takes 100 bytes.
	Heartbeat time.Duration
	// FrameTimeout is the timeout for reading the next frame of a delta or a watch, and for writing a
	// frame. Default 1.5 s. It must exceed Heartbeat; a longer one delays the switch to another peer
	// when one is silent.
	FrameTimeout time.Duration
	// HedgeDelay is how long a node waits for the reply to a pull before it pulls from another source
	// as well. Default 250 ms, twice what a pull over a new connection takes between regions 30 ms
	// apart. A longer one makes nodes late whose paths to some peers are cut; a shorter one makes them
	// pull twice when a peer is busy.
	HedgeDelay time.Duration
	// PullJitter bounds the random delay before a pull. Default 20 ms. A longer one spreads pulls over
	// more peers, and delays each hop of a change.
	PullJitter time.Duration
	// RemoteDelay is the mean time that a node waits for a new version to reach its region before it
	// pulls from another region. Default 400 ms. A shorter one costs traffic between regions.
	RemoteDelay time.Duration
	// BackoffMin and BackoffMax bound the delay after failed attempts, which doubles from one to the
	// other. Defaults 50 ms and 5 s. Shorter ones recover sooner, and add load to control when it
	// is short of capacity.
	BackoffMin, BackoffMax time.Duration
	// TakeOverAfter is how long a feeder gets no answer from control before it calls other nodes of
	// the region to watch control as well. Default 1 s. A shorter one reacts to brief interruptions
	// too.
	TakeOverAfter time.Duration
	// CalledFor is how long a called node watches control after the last call. Default 30 s. A longer
	// one keeps unnecessary streams to control open.
	CalledFor time.Duration
	// StaleAfter is how long a feeder watches a control replica that holds an older version than the
	// node itself before it switches to another one. Default 2 s. A shorter one also leaves a replica
	// that lags only briefly.
	StaleAfter time.Duration
	// PollInterval is the mean interval at which each node that does not watch control asks it for its
	// version. Default 800 ms, which leaves two thirds of the time for a change to a node that no peer
	// has notified. Each poll takes about 250 bytes with its overhead; a longer interval saves them, and
	// finds changes later whose news were lost.
	PollInterval time.Duration
	// StartPeers is the number of peers that a starting node asks for their version before it pulls
	// the newest. Default 5. With more, the node is less likely to start with an old version; each
	// costs about 1 KB.
	StartPeers int
	// StartTimeout bounds the time that a starting node waits until membership knows a peer and
	// peers have answered. Default 2 s. A longer one delays the start of the first node of a fleet.
	StartTimeout time.Duration
	// LeaseBound is for how long after a proof this node's configuration counts as current; see Follower.Fresh.
	// Default 0: no proofs are needed and none are asked for.
	LeaseBound time.Duration
	// Clock is the clock of proofs. Default credential.Now.
	Clock func() credential.Instant
}

func (c *Config) setDefaults() {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	if c.FeedersPerRegion == 0 {
		c.FeedersPerRegion = 2
	}
	if c.StartPeers == 0 {
		c.StartPeers = 5
	}
	setDefault(&c.Heartbeat, 500*time.Millisecond)
	setDefault(&c.FrameTimeout, 1500*time.Millisecond)
	setDefault(&c.HedgeDelay, 250*time.Millisecond)
	setDefault(&c.PullJitter, 20*time.Millisecond)
	setDefault(&c.RemoteDelay, 400*time.Millisecond)
	setDefault(&c.BackoffMin, 50*time.Millisecond)
	setDefault(&c.BackoffMax, 5*time.Second)
	setDefault(&c.TakeOverAfter, time.Second)
	setDefault(&c.CalledFor, 30*time.Second)
	setDefault(&c.StaleAfter, 2*time.Second)
	setDefault(&c.PollInterval, 800*time.Millisecond)
	setDefault(&c.StartTimeout, 2*time.Second)
	if c.Clock == nil {
		c.Clock = credential.Now
	}
}
