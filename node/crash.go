package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/godwithub/godwithub/crash"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// crashReportTimeout bounds a message about crashes to one other node.
const crashReportTimeout = 2 * time.Second

// crashTracker tracks crashes that this node's dispatcher sees and those that other nodes
// report. It is safe for concurrent use.
type crashTracker struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	// broadcast sends a message to the other nodes that host the service's upstreams.
	broadcast func(service string, t link.FrameType, m any)
}

func newCrashTracker(broadcast func(string, link.FrameType, any)) *crashTracker {
	return &crashTracker{tracker: crash.New(), broadcast: broadcast}
}

// Refused implements dispatch.Crashes.
func (c *crashTracker) Refused(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Refused(time.Now(), crash.Fingerprint(fingerprint))
}

// Completed implements dispatch.Crashes. If the request was in flight at crashes, the other nodes are told unless one
// of them tells this node first.
func (c *crashTracker) Completed(service string, fingerprint uint64) {
	c.mu.Lock()
	share := c.tracker.Completed(time.Now(), crash.Fingerprint(fingerprint))
	c.mu.Unlock()
	if share {
		time.AfterFunc(rand.N(crash.MaxShareDelay), func() { c.share(service, fingerprint) })
	}
}

// share tells the other nodes that a request was answered.
func (c *crashTracker) share(service string, fingerprint uint64) {
	c.mu.Lock()
	ago, ok := c.tracker.TakeUnshared(time.Now(), crash.Fingerprint(fingerprint))
	c.mu.Unlock()
	if ok {
		c.broadcast(service, wire.FrameSurvival, wire.Survival{Fingerprint: fingerprint, AnsweredAgoMs: ago.Milliseconds()})
	}
}

// Crashed implements dispatch.Crashes.
func (c *crashTracker) Crashed(upstream fleet.UpstreamID, service string, inFlight []dispatch.InFlight) {
	m := wire.Crash{Upstream: upstream, Service: service}
	now := time.Now()
	c.mu.Lock()
	for _, r := range inFlight {
		ago := c.tracker.AnsweredAgo(now, crash.Fingerprint(r.Fingerprint))
		m.Fingerprints = append(m.Fingerprints, r.Fingerprint)
		m.Runs = append(m.Runs, wire.InterruptedRun{AgeMs: now.Sub(r.Began).Milliseconds(), AnsweredAgoMs: ago.Milliseconds()})
	}
	c.mu.Unlock()
	c.report(m)
	c.broadcast(service, wire.FrameCrash, m)
}

func (c *crashTracker) report(m wire.Crash) {
	r := crash.Crash{Upstream: m.Upstream, InFlight: make([]crash.Run, len(m.Fingerprints))}
	for i, f := range m.Fingerprints {
		r.InFlight[i].Fingerprint = crash.Fingerprint(f)
		if i < len(m.Runs) {
			r.InFlight[i].Age = milliseconds(m.Runs[i].AgeMs)
			r.InFlight[i].AnsweredAgo = milliseconds(m.Runs[i].AnsweredAgoMs)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Report(time.Now(), r)
}

// survived records what another node tells of an answer to a request.
func (c *crashTracker) survived(m wire.Survival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.AnsweredElsewhere(time.Now(), crash.Fingerprint(m.Fingerprint), milliseconds(m.AnsweredAgoMs))
}

// milliseconds returns a duration from a message. What is out of range counts as within it.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), time.Hour.Milliseconds())) * time.Millisecond
}

// broadcastCrash sends a message to the other nodes that host the service's upstreams.
func (n *Node) broadcastCrash(service string, t link.FrameType, m any) {
	addrs := map[string]bool{}
	v := n.board.View()
	for _, u := range v.Upstreams[service] {
		if u.Node != v.Self.ID {
			addrs[u.LinkAddr] = true
		}
	}
	for addr := range addrs {
		go n.sendCrash(addr, t, m)
	}
}

func (n *Node) sendCrash(addr string, t link.FrameType, m any) {
	ctx, cancel := context.WithTimeout(n.background, crashReportTimeout)
	defer cancel()
	err := link.Call(ctx, n.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, t, m); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameDone, nil)
	})
	if err != nil {
		n.log.Warn("crash report not delivered to node", "addr", addr, "fault", err)
	}
}

// serveCrash handles another node's report of a crash.
func (n *Node) serveCrash(_ context.Context, s link.Stream, first link.Frame) {
	var m wire.Crash
	if n.decodeCrash(s, first, &m) {
		n.crashes.report(m)
		endCrash(s)
	}
}

// serveSurvival handles another node's report of an answer.
func (n *Node) serveSurvival(_ context.Context, s link.Stream, first link.Frame) {
	var m wire.Survival
	if n.decodeCrash(s, first, &m) {
		n.crashes.survived(m)
		endCrash(s)
	}
}

// decodeCrash decodes a message about crashes. It resets the stream and returns false if it is malformed.
func (n *Node) decodeCrash(s link.Stream, first link.Frame, m any) bool {
	err := wire.Decode(first.Payload, m)
	if err != nil {
		n.log.Warn("crash report refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
	}
	return err == nil
}

// endCrash acknowledges a message about crashes.
func endCrash(s link.Stream) {
	if s.WriteFrame(wire.FrameDone, nil) != nil {
		s.Reset()
		return
	}
	s.Close()
}
