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

// spreadTimeout bounds the report of a crash to one other node.
const spreadTimeout = 2 * time.Second

// crashes shares one tracker between the dispatcher and reports of other nodes.
type crashes struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	// spread tells the other dispatchers of the service.
	spread func(wire.Crash)
}

func newCrashes(spread func(wire.Crash)) *crashes {
	return &crashes{tracker: crash.New(), spread: spread}
}

// Refused implements dispatch.Crashes.
func (c *crashes) Refused(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Refused(time.Now(), crash.Fingerprint(fingerprint))
}

// Completed implements dispatch.Crashes.
func (c *crashes) Completed(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Completed(time.Now(), crash.Fingerprint(fingerprint))
}

// Crashed implements dispatch.Crashes.
func (c *crashes) Crashed(upstream fleet.UpstreamID, service string, inFlight []uint64) {
	m := wire.Crash{Upstream: upstream, Service: service, Fingerprints: inFlight}
	c.report(m)
	c.spread(m)
}

func (c *crashes) report(m wire.Crash) {
	r := crash.Crash{Upstream: m.Upstream, InFlight: make([]crash.Fingerprint, len(m.Fingerprints))}
	for i, f := range m.Fingerprints {
		r.InFlight[i] = crash.Fingerprint(f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Report(time.Now(), r)
}

// spreadCrash reports a crash to the nodes that host the service's upstreams.
func (n *Node) spreadCrash(m wire.Crash) {
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
	ctx, cancel := context.WithTimeout(n.background, spreadTimeout)
	defer cancel()
	err := link.Call(ctx, n.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameCrash, m); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameDone, nil)
	})
	if err != nil {
		n.log.Warn("crash not reported", "addr", addr, "upstream", m.Upstream, "fault", err)
	}
}

// serveCrash takes another node's report of a crash.
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
