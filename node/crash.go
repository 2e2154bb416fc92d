package node

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/crash"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// crashReportTimeout bounds the report of a crash to one other node.
const crashReportTimeout = 2 * time.Second

// crashTracker tracks crashes that this node's dispatcher sees and those that other nodes
// report. It is safe for concurrent use.
type crashTracker struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	// broadcast reports a crash to the other nodes that host the service's upstreams.
	broadcast func(wire.Crash)
}

func newCrashTracker(broadcast func(wire.Crash)) *crashTracker {
	return &crashTracker{tracker: crash.New(), broadcast: broadcast}
}

// Refused implements dispatch.Crashes.
func (c *crashTracker) Refused(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Refused(time.Now(), crash.Fingerprint(fingerprint))
}

// Completed implements dispatch.Crashes.
func (c *crashTracker) Completed(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Completed(time.Now(), crash.Fingerprint(fingerprint))
}

// Crashed implements dispatch.Crashes.
func (c *crashTracker) Crashed(upstream fleet.UpstreamID, service string, inFlight []uint64) {
	m := wire.Crash{Upstream: upstream, Service: service, Fingerprints: inFlight}
	c.report(m)
	c.broadcast(m)
}

func (c *crashTracker) report(m wire.Crash) {
	r := crash.Crash{Upstream: m.Upstream, InFlight: make([]crash.Fingerprint, len(m.Fingerprints))}
	for i, f := range m.Fingerprints {
		r.InFlight[i] = crash.Fingerprint(f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Report(time.Now(), r)
}

// broadcastCrash reports a crash to the other nodes that host the service's upstreams.
func (n *Node) broadcastCrash(m wire.Crash) {
	addrs := map[string]bool{}
	v := n.board.View()
	for _, u := range v.Upstreams[m.Service] {
		if u.Node != v.Self.ID {
			addrs[u.LinkAddr] = true
		}
	}
	for addr := range addrs {
		go n.sendCrash(addr, m)
	}
}

func (n *Node) sendCrash(addr string, m wire.Crash) {
	ctx, cancel := context.WithTimeout(n.background, crashReportTimeout)
	defer cancel()
	err := link.Call(ctx, n.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameCrash, m); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameDone, nil)
	})
	if err != nil {
		n.log.Warn("crash not reported to node", "addr", addr, "upstream", m.Upstream, "fault", err)
	}
}

// serveCrash handles another node's report of a crash.
func (n *Node) serveCrash(_ context.Context, s link.Stream, first link.Frame) {
	var m wire.Crash
	if err := wire.Decode(first.Payload, &m); err != nil {
		n.log.Warn("crash report refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
		return
	}
	n.crashes.report(m)
	if s.WriteFrame(wire.FrameDone, nil) != nil {
		s.Reset()
		return
	}
	s.Close()
}
