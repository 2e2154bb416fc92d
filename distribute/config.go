package distribute

import "time"

// Config holds the settings of distribution. A zero field takes its default.
type Config struct {
	// FeedersPerRegion is how many nodes of a region watch control. Default 2.
	// More find a change when some lose control; each costs control a stream
	// and the link between regions one copy of each change.
	FeedersPerRegion int
	// Heartbeat is the time between two signs of life on a watch. Default
	// 500 ms. A shorter one notices a silent control sooner, at 100 bytes each.
	Heartbeat time.Duration
	// FrameTimeout is the wait for the next frame of a delta or of a watch, and
	// for a frame to be written. Default 1.5 s. It must exceed Heartbeat; a
	// longer one delays the change to another peer when one is silent.
	FrameTimeout time.Duration
	// PullJitter bounds the random wait before a pull. Default 20 ms. A longer
	// one spreads pulls over more peers, and delays each hop of a change.
	PullJitter time.Duration
	// RemoteDelay is the wait for a new version to reach the region before it
	// is pulled from another one. Default 400 ms. A shorter one costs traffic
	// between regions.
	RemoteDelay time.Duration
	// BackoffMin and BackoffMax bound the wait after failed attempts, which
	// doubles from one to the other. Defaults 50 ms and 5 s. Shorter ones
	// recover sooner and load a control that is short of capacity.
	BackoffMin, BackoffMax time.Duration
	// TakeOverAfter is how long a feeder goes without control before it calls
	// other nodes of the region to watch as well. Default 1 s. A shorter one
	// takes brief losses for long ones.
	TakeOverAfter time.Duration
	// CalledFor is how long a called node watches control after the last call.
	// Default 30 s. A longer one keeps streams to control that are not needed.
	CalledFor time.Duration
	// StaleAfter is how long a feeder stays with a control that holds an older
	// version than the node itself. Default 2 s. A shorter one leaves a control
	// that is just behind for a moment.
	StaleAfter time.Duration
	// PollInterval is the mean time between two questions to control by each
	// node, whoever watches. Default 5 min. A shorter one finds sooner what all
	// feeders missed; at 830 nodes the default is 3 questions a second in all.
	PollInterval time.Duration
	// StartPeers is how many peers a starting node asks for their version
	// before it takes the newest. Default 5. More make it less likely to begin
	// with an old version, at about 1 KB each.
	StartPeers int
	// StartWait bounds the wait for membership to know a peer, and for the
	// answers. Default 2 s. A longer one makes a first node slower to start.
	StartWait time.Duration
}

func (c *Config) setDefaults() {
	set := func(p *time.Duration, d time.Duration) {
		if *p == 0 {
			*p = d
		}
	}
	if c.FeedersPerRegion == 0 {
		c.FeedersPerRegion = 2
	}
	if c.StartPeers == 0 {
		c.StartPeers = 5
	}
	set(&c.Heartbeat, 500*time.Millisecond)
	set(&c.FrameTimeout, 1500*time.Millisecond)
	set(&c.PullJitter, 20*time.Millisecond)
	set(&c.RemoteDelay, 400*time.Millisecond)
	set(&c.BackoffMin, 50*time.Millisecond)
	set(&c.BackoffMax, 5*time.Second)
	set(&c.TakeOverAfter, time.Second)
	set(&c.CalledFor, 30*time.Second)
	set(&c.StaleAfter, 2*time.Second)
	set(&c.PollInterval, 5*time.Minute)
	set(&c.StartWait, 2*time.Second)
}
