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

// Mean rates of a day at the target scale of 830 nodes: each of 9,300 workers
// is restarted once, in four announced steps, and 1,400 nodes restart.
const (
	upstreamChangesPerNodeSecond = 4 * 9300.0 / 830 / 86400
	restartsPerNodeSecond        = 1400.0 / 830 / 86400
	configChangesPerSecond       = 740.0 / 86400 // of the whole fleet
)

// Limits of waiting, so that a fault ends the run.
const (
	joinLimit   = 2 * time.Minute
	quietLimit  = 10 * time.Minute
	changeLimit = 10 * time.Second
	// pause separates timed changes.
	pause = 500 * time.Millisecond
)

// result holds the figures of one size of fleet.
type result struct {
	Nodes       int
	Joined      time.Duration // until every node knew all nodes and the configuration
	Quiet       time.Duration // until the joining was no longer talked about
	Rest, Churn rates
	Config      times
	Drain       times
	HeapBytes   float64 // heap and stacks in use, per node
}

// rates are means per node.
type rates struct {
	Datagrams     float64 // sent per second
	Sent          float64 // B/s in datagrams, with IP and UDP headers
	Received      float64 // B/s
	Exchange      float64 // B/s of full exchanges, opened and answered, without TLS
	Delta         float64 // B/s of configuration deltas sent to others, without TLS
	CPU           float64 // share of a core
	FalseSuspects uint64  // suspicions in the whole fleet
}

// total returns the bytes per second in both directions.
func (r rates) total() float64 { return r.Sent + r.Received + r.Exchange + 2*r.Delta }

// times are quantiles over all nodes and changes.
type times struct {
	P50, P99, Max time.Duration
	Missed        int // nodes that had not learned after changeLimit
}

func measure(ctx context.Context, o options, n int) (r result, err error) {
	r.Nodes = n
	c, err := newCluster(o.Objects)
	if err != nil {
		return r, err
	}
	defer c.close()
	began := time.Now()
	for i := range n {
		nd, err := c.start(i)
		if err != nil {
			return r, err
		}
		c.nodes = append(c.nodes, nd)
	}
	if err := waitFor(ctx, joinLimit, c.converged); err != nil {
		return r, fmt.Errorf("join: %w", err)
	}
	r.Joined = time.Since(began)
	if err := waitFor(ctx, quietLimit, c.quiet); err != nil {
		return r, fmt.Errorf("quiet: %w", err)
	}
	r.Quiet = time.Since(began)
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
			return errors.New("not reached in time")
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

// sums adds up the counts of all nodes that run.
type sums struct {
	datagrams, sent, received, exchange, delta, suspicions uint64
}

func (s *sums) add(n *node) {
	g, f := n.gossip.Stats(), n.follower.Stats()
	s.datagrams += g.DatagramsSent
	s.sent += g.BytesSent
	s.received += g.BytesReceived
	s.exchange += g.ExchangeBytes
	s.delta += f.DeltaBytesSent
	s.suspicions += g.Suspicions
}

func (c *cluster) sums() sums {
	s := c.stopped
	for _, n := range c.nodes {
		s.add(n)
	}
	return s
}

// measureRates begins a measurement and returns the function that ends it.
func (c *cluster) measureRates(r *rates) (stop func()) {
	before, cpu, began := c.sums(), cpuSeconds(), time.Now()
	return func() {
		after, seconds := c.sums(), time.Since(began).Seconds()
		per := func(a, b uint64) float64 { return float64(b-a) / seconds / float64(len(c.nodes)) }
		r.CPU = (cpuSeconds() - cpu) / seconds / float64(len(c.nodes))
		r.Datagrams = per(before.datagrams, after.datagrams)
		r.Sent = per(before.sent, after.sent)
		r.Received = per(before.received, after.received)
		r.Exchange = per(before.exchange, after.exchange)
		r.Delta = per(before.delta, after.delta)
		r.FalseSuspects = after.suspicions - before.suspicions
	}
}

// timeChanges times how long configuration changes take to be in force.
func (c *cluster) timeChanges(ctx context.Context, count int) (times, error) {
	var all []time.Duration
	for range count {
		v := c.source.Version()
		v.Revision++
		done := c.watch.expect(len(c.nodes), v, "", "")
		if _, err := c.change(); err != nil {
			return times{}, err
		}
		if err := c.await(ctx, done); err != nil {
			return times{}, err
		}
		all = append(all, c.watch.learned()...)
	}
	return quantiles(all, count*len(c.nodes)), nil
}

// timeDrains times how long the drain of an upstream takes to be known.
func (c *cluster) timeDrains(ctx context.Context, count int) (times, error) {
	var all []time.Duration
	for range count {
		n := c.nodes[rand.IntN(len(c.nodes))]
		u := &n.local.Upstreams[rand.IntN(upstreamsPerNode)]
		done := c.watch.expect(len(c.nodes), resource.Version{}, n.local.ID, u.ID)
		u.State = fleet.UpstreamDraining
		n.announce()
		if err := c.await(ctx, done); err != nil {
			return times{}, err
		}
		all = append(all, c.watch.learned()...)
		u.State = fleet.UpstreamReady
		n.announce()
		if err := sleep(ctx, pause); err != nil {
			return times{}, err
		}
	}
	return quantiles(all, count*len(c.nodes)), nil
}

func (c *cluster) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-done:
	case <-time.After(changeLimit):
	}
	return sleep(ctx, pause)
}

func quantiles(all []time.Duration, want int) times {
	slices.Sort(all)
	if len(all) == 0 {
		return times{Missed: want}
	}
	at := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))] }
	return times{at(0.5), at(0.99), all[len(all)-1], want - len(all)}
}

// churn changes upstreams and the configuration and restarts nodes, for the
// time set.
func (c *cluster) churn(ctx context.Context, o options) error {
	const step = 20 * time.Millisecond
	n := float64(len(c.nodes))
	perStep := o.ChurnFactor * step.Seconds()
	// Chances carry over, so that rates are met exactly.
	var upstreams, restarts, configs float64
	for end := time.Now().Add(o.Churn); time.Now().Before(end); {
		if err := sleep(ctx, step); err != nil {
			return err
		}
		for upstreams += perStep * n * upstreamChangesPerNodeSecond; upstreams >= 1; upstreams-- {
			c.changeUpstream()
		}
		for configs += perStep * configChangesPerSecond; configs >= 1; configs-- {
			if _, err := c.change(); err != nil {
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

// restart stops a node gracefully and starts it anew.
func (c *cluster) restart(ctx context.Context) error {
	i := rand.IntN(len(c.nodes))
	leave, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	// The announcement is pushed at once; the node need not wait for more.
	_ = c.nodes[i].gossip.Leave(leave)
	c.nodes[i].close()
	c.stopped.add(c.nodes[i])
	n, err := c.start(i)
	if err == nil {
		c.nodes[i] = n
	}
	return err
}
