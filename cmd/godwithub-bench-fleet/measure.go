package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// Mean rates over a day at the target scale of 830 nodes: each of 9,300 upstreams
// restarts once, which takes four announced changes of its state, and there are 1,400
// restarts of nodes.
const (
	upstreamChangesPerNodeSecond = 4 * 9300.0 / 830 / 86400
	restartsPerNodeSecond        = 1400.0 / 830 / 86400
	configChangesPerSecond       = 740.0 / 86400 // of the whole fleet
)

// Timeouts, so that a run ends when something fails.
const (
	joinTimeout   = 2 * time.Minute
	quietTimeout  = 10 * time.Minute
	changeTimeout = 10 * time.Second
	// pauseBetweenChanges keeps timed changes from overlapping.
	pauseBetweenChanges = 500 * time.Millisecond
)

// result holds the measurements of one fleet size. Its field names are printed.
type result struct {
	Nodes       int
	Joined      time.Duration // until every node knew all nodes and had the configuration
	Quiet       time.Duration // until no node had membership changes of the join left to send
	Rest, Churn rates
	Config      delays
	Drain       delays
	HeapBytes   float64 // heap and stacks in use, per node
}

// rates are means per node, except for FalseSuspects. The field names are printed.
type rates struct {
	Datagrams     float64 // sent per second
	Sent          float64 // B/s in datagrams, including IP and UDP headers
	Received      float64 // B/s
	Exchange      float64 // B/s of full exchanges, both started and served, without TLS overhead
	Delta         float64 // B/s of configuration deltas sent to other nodes, without TLS overhead
	CPU           float64 // fraction of a core
	FalseSuspects uint64  // number of suspicions in the whole fleet
}

// total returns the bytes per second in both directions. Delta counts the sent deltas
// only; over the fleet, as many bytes are received.
func (r rates) total() float64 { return r.Sent + r.Received + r.Exchange + 2*r.Delta }

// delays are quantiles, over all nodes and changes, of the time that a node took to
// learn of a change.
type delays struct {
	P50, P99, Max time.Duration
	Missed        int // number of cases in which a node had not learned of a change after changeTimeout
}

func measure(ctx context.Context, o options, n int) (r result, err error) {
	r.Nodes = n
	c, err := newCluster(o.Objects)
	if err != nil {
		return r, err
	}
	defer c.close()
	startedAt := time.Now()
	for i := range n {
		nd, err := c.start(i)
		if err != nil {
			return r, err
		}
		c.nodes = append(c.nodes, nd)
	}
	if err := waitFor(ctx, joinTimeout, c.converged); err != nil {
		return r, fmt.Errorf("nodes have not converged after joining: %w", err)
	}
	r.Joined = time.Since(startedAt)
	if err := waitFor(ctx, quietTimeout, c.quiet); err != nil {
		return r, fmt.Errorf("nodes still send membership changes after joining: %w", err)
	}
	r.Quiet = time.Since(startedAt)
	r.HeapBytes = heapBytes() / float64(n)

	stop := c.measureRates(&r.Rest)
	if err := sleep(ctx, o.Rest); err != nil {
		return r, err
	}
	stop()
	if r.Config, err = c.timeChanges(ctx, o.Changes); err != nil {
		return r, err
	}
	if r.Drain, err = c.timeDrains(ctx, o.Changes); err != nil {
		return r, err
	}
	stop = c.measureRates(&r.Churn)
	if err := c.churn(ctx, o); err != nil {
		return r, err
	}
	stop()
	return r, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func waitFor(ctx context.Context, limit time.Duration, cond func() bool) error {
	for end := time.Now().Add(limit); !cond(); {
		if time.Now().After(end) {
			return errors.New("timed out")
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
}

// counters are sums of the nodes' statistics.
type counters struct {
	datagrams, sent, received, exchange, delta, suspicions uint64
}

func (s *counters) add(n *node) {
	g, f := n.gossip.Stats(), n.follower.Stats()
	s.datagrams += g.DatagramsSent
	s.sent += g.BytesSent
	s.received += g.BytesReceived
	s.exchange += g.ExchangeBytes
	s.delta += f.DeltaBytesSent
	s.suspicions += g.Suspicions
}

func (c *cluster) totalCounters() counters {
	s := c.stoppedCounters
	for _, n := range c.nodes {
		s.add(n)
	}
	return s
}

// measureRates starts a measurement. The returned function ends it and stores the
// rates in r.
func (c *cluster) measureRates(r *rates) (stop func()) {
	countersBefore, cpuBefore, startedAt := c.totalCounters(), cpuSeconds(), time.Now()
	return func() {
		countersAfter, seconds := c.totalCounters(), time.Since(startedAt).Seconds()
		perNodeSecond := func(a, b uint64) float64 { return float64(b-a) / seconds / float64(len(c.nodes)) }
		r.CPU = (cpuSeconds() - cpuBefore) / seconds / float64(len(c.nodes))
		r.Datagrams = perNodeSecond(countersBefore.datagrams, countersAfter.datagrams)
		r.Sent = perNodeSecond(countersBefore.sent, countersAfter.sent)
		r.Received = perNodeSecond(countersBefore.received, countersAfter.received)
		r.Exchange = perNodeSecond(countersBefore.exchange, countersAfter.exchange)
		r.Delta = perNodeSecond(countersBefore.delta, countersAfter.delta)
		r.FalseSuspects = countersAfter.suspicions - countersBefore.suspicions
	}
}

// timeChanges measures how long configuration changes take until they are in force
// at the nodes.
func (c *cluster) timeChanges(ctx context.Context, count int) (delays, error) {
	var learned []time.Duration
	for range count {
		v := c.source.Version()
		v.Revision++
		done := c.changeWatcher.expect(len(c.nodes), v, "", "")
		if _, err := c.changeConfig(); err != nil {
			return delays{}, err
		}
		if err := c.awaitChange(ctx, done); err != nil {
			return delays{}, err
		}
		learned = append(learned, c.changeWatcher.learnDelays()...)
	}
	return delayQuantiles(learned, count*len(c.nodes)), nil
}

// timeDrains measures how long it takes until the nodes know that an upstream
// drains.
func (c *cluster) timeDrains(ctx context.Context, count int) (delays, error) {
	var learned []time.Duration
	for range count {
		n := c.nodes[rand.IntN(len(c.nodes))]
		u := &n.local.Upstreams[rand.IntN(upstreamsPerNode)]
		done := c.changeWatcher.expect(len(c.nodes), resource.Version{}, n.local.ID, u.ID)
		u.State = fleet.UpstreamDraining
		n.announce()
		if err := c.awaitChange(ctx, done); err != nil {
			return delays{}, err
		}
		learned = append(learned, c.changeWatcher.learnDelays()...)
		u.State = fleet.UpstreamReady
		n.announce()
		if err := sleep(ctx, pauseBetweenChanges); err != nil {
			return delays{}, err
		}
	}
	return delayQuantiles(learned, count*len(c.nodes)), nil
}

func (c *cluster) awaitChange(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
	case <-time.After(changeTimeout):
	}
	return sleep(ctx, pauseBetweenChanges)
}

func delayQuantiles(learned []time.Duration, want int) delays {
	slices.Sort(learned)
	if len(learned) == 0 {
		return delays{Missed: want}
	}
	at := func(q float64) time.Duration { return learned[int(q*float64(len(learned)-1))] }
	return delays{at(0.5), at(0.99), learned[len(learned)-1], want - len(learned)}
}

// churn changes upstreams and the configuration and restarts nodes at the mean
// rates, multiplied by o.ChurnFactor, for the duration o.Churn.
func (c *cluster) churn(ctx context.Context, o options) error {
	const step = 20 * time.Millisecond
	n := float64(len(c.nodes))
	perStep := o.ChurnFactor * step.Seconds()
	// Fractions of a change carry over to the next step, so that the rates are exact.
	var upstreams, restarts, configs float64
	for end := time.Now().Add(o.Churn); time.Now().Before(end); {
		if err := sleep(ctx, step); err != nil {
			return err
		}
		for upstreams += perStep * n * upstreamChangesPerNodeSecond; upstreams >= 1; upstreams-- {
			c.changeUpstream()
		}
		for configs += perStep * configChangesPerSecond; configs >= 1; configs-- {
			if _, err := c.changeConfig(); err != nil {
				return err
			}
		}
		for restarts += perStep * n * restartsPerNodeSecond; restarts >= 1; restarts-- {
			if err := c.restart(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) changeUpstream() {
	n := c.nodes[rand.IntN(len(c.nodes))]
	u := &n.local.Upstreams[rand.IntN(upstreamsPerNode)]
	u.State = (u.State + 1) % fleet.UpstreamGone
	n.announce()
}

// restart stops a random node gracefully and starts it again.
func (c *cluster) restart(ctx context.Context) error {
	i := rand.IntN(len(c.nodes))
	leaveCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	// The departure is sent at once. Leave would wait until it has been sent as often as any
	// other change, which is not needed here.
	_ = c.nodes[i].gossip.Leave(leaveCtx)
	c.nodes[i].close()
	c.stoppedCounters.add(c.nodes[i])
	n, err := c.start(i)
	if err == nil {
		c.nodes[i] = n
	}
	return err
}
