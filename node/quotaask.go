package node

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/wire"
)

const (
	// quotaHedgeDelay is when a demand without any sign of life is sent to another member. The way to
	// another region and to the leader and back takes about 200 ms.
	quotaHedgeDelay = 300 * time.Millisecond
	// quotaAvoidTime is how long a control member that has failed is asked only after all others.
	quotaAvoidTime = 2 * time.Second
	// maxQuotaRelays is how many nodes are asked to pass a demand on.
	maxQuotaRelays = 2
	// maxControlAttempts is how many members are asked before other nodes.
	maxControlAttempts = 2
)

var errNoControl = errors.New("node: no control member has answered")

// quotaTarget is a process that a demand can be sent to.
type quotaTarget struct {
	dialer link.Dialer
	addr   string
	frame  link.FrameType
}

// controlTargets returns the control members in the order in which this node asks them, those of its
// region first. The nodes of a region are spread over its members. Members that did not reach the leader
// come after the others, and those that this node does not reach are in unreachable.
func (q *quotaClient) controlTargets(now time.Time) (reachable, unreachable []quotaTarget) {
	control := q.node.configSource.Control()
	if control.Dialer == nil {
		return nil, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	distance := map[string]int{}
	for _, addr := range control.Addrs {
		distance[addr] = 1
	}
	for _, m := range q.control {
		distance[m.LinkAddr] = 1
		if m.Region == q.self.Region {
			distance[m.LinkAddr] = 0
		}
	}
	addrs := make([]string, 0, len(distance))
	for addr := range distance {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Or(cmp.Compare(distance[a], distance[b]), cmp.Compare(q.score(a), q.score(b)), cmp.Compare(a, b))
	})
	var leaderless []quotaTarget
	for _, addr := range addrs {
		t := quotaTarget{control.Dialer, addr, wire.FrameQuotaDemand}
		switch a := q.avoided[addr]; {
		case !a.until.After(now):
			reachable = append(reachable, t)
		case a.reached:
			leaderless = append(leaderless, t)
		default:
			unreachable = append(unreachable, t)
		}
	}
	return append(reachable, leaderless...), unreachable
}

// score ranks control members by rendezvous hashing.
func (q *quotaClient) score(addr string) uint64 {
	return xxhash.Sum64String(string(q.self.ID) + " " + addr)
}

// relayTargets returns some other nodes through which control may be reached, those of this region first.
func (q *quotaClient) relayTargets(v *board.View) []quotaTarget {
	nodes := slices.Clone(v.Nodes)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	slices.SortStableFunc(nodes, func(a, b fleet.Node) int { return cmp.Compare(q.relayOrder(a), q.relayOrder(b)) })
	var out []quotaTarget
	for _, m := range nodes[:min(maxQuotaRelays, len(nodes))] {
		out = append(out, quotaTarget{q.node.dialer, m.LinkAddr, wire.FrameQuotaRelay})
	}
	return out
}

// relayOrder ranks nodes as relays. What cuts this node off may cut off those of its failure domain too.
func (q *quotaClient) relayOrder(m fleet.Node) int {
	switch {
	case m.Region != q.self.Region:
		return 2
	case m.FailureDomain == q.self.FailureDomain:
		return 1
	}
	return 0
}

// ask implements pool.Config.Ask.
func (q *quotaClient) ask(ctx context.Context, d *quota.Demand) (*quota.Grant, error) {
	reachable, unreachable := q.controlTargets(time.Now())
	first := min(maxControlAttempts, len(reachable))
	targets := slices.Concat(reachable[:first], q.relayTargets(q.node.board.View()), reachable[first:], unreachable)
	return q.askTargets(ctx, targets, d)
}

// quotaReply is the end of one exchange, or a sign that its answer will take longer.
type quotaReply struct {
	target  quotaTarget
	grant   *quota.Grant
	err     error
	pending bool
}

// askTargets sends a demand to one target after another until one answers. The next one is asked when one
// has failed, or has given no sign of life for quotaHedgeDelay.
func (q *quotaClient) askTargets(ctx context.Context, targets []quotaTarget, d *quota.Demand) (*quota.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan quotaReply, 2*len(targets)) // at most two for each target
	running := map[quotaTarget]bool{}                // true: it has given a sign of life
	next := func() {
		if len(targets) == 0 {
			return
		}
		t := targets[0]
		targets = targets[1:]
		running[t] = false
		go askTarget(ctx, t, d, replies)
		d = withoutReturns(d)
	}
	next()
	hedge := time.NewTicker(quotaHedgeDelay)
	defer hedge.Stop()
	for len(running) > 0 {
		select {
		case r := <-replies:
			switch {
			case r.pending:
				running[r.target] = true
				hedge.Stop()
			case r.err != nil:
				q.avoid(r.target, running[r.target])
				delete(running, r.target)
				hedge.Reset(quotaHedgeDelay)
				next()
			default:
				delete(running, r.target)
				q.avoidSilent(running)
				return r.grant, nil
			}
		case <-hedge.C:
			next()
		case <-ctx.Done():
			q.avoidSilent(running)
			return nil, ctx.Err()
		}
	}
	return nil, errNoControl
}

// withoutReturns returns a copy of d that gives back no tokens. Tokens are returned with one message only.
func withoutReturns(d *quota.Demand) *quota.Demand {
	c := *d
	c.Items = slices.Clone(d.Items)
	for i := range c.Items {
		c.Items[i].Returned = 0
	}
	return &c
}

func askTarget(ctx context.Context, t quotaTarget, d *quota.Demand, replies chan<- quotaReply) {
	g := &quota.Grant{}
	if deadline, ok := ctx.Deadline(); ok {
		d = d.WithDeadline(time.Now(), deadline)
	}
	err := link.Call(ctx, t.dialer, t.addr, func(s link.Stream) error {
		if err := wire.Write(s, t.frame, d); err != nil {
			return err
		}
		f, err := s.ReadFrame()
		if err == nil && f.Type == wire.FrameQuotaPending {
			replies <- quotaReply{target: t, pending: true}
			f, err = s.ReadFrame()
		}
		switch {
		case err != nil:
			return err
		case f.Type != wire.FrameQuotaGrant:
			return &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameQuotaGrant}
		}
		return wire.Decode(f.Payload, g)
	})
	replies <- quotaReply{target: t, grant: g, err: err}
}

// avoid makes the node ask other members first for some time. reached says that the target gave a sign of
// life.
func (q *quotaClient) avoid(t quotaTarget, reached bool) {
	if t.frame != wire.FrameQuotaDemand {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(q.avoided, func(_ string, m avoidedMember) bool { return !m.until.After(now) })
	q.avoided[t.addr] = avoidedMember{now.Add(quotaAvoidTime), reached}
}

// avoidSilent avoids targets that have given no sign of life although others have been asked after them.
// Their connections may be dead without an error.
func (q *quotaClient) avoidSilent(running map[quotaTarget]bool) {
	for t, reached := range running {
		if !reached {
			q.avoid(t, false)
			t.dialer.Replace(t.addr)
		}
	}
}

// handleRelay passes a demand of another node to control.
func (q *quotaClient) handleRelay(ctx context.Context, s link.Stream, first link.Frame) {
	d := &quota.Demand{}
	if wire.Decode(first.Payload, d) != nil {
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(quotaAskTimeout, d.Timeout()))
	defer cancel()
	reachable, unreachable := q.controlTargets(time.Now())
	g, err := q.askTargets(ctx, append(reachable, unreachable...), d)
	if err != nil || wire.Write(s, wire.FrameQuotaGrant, g) != nil {
		s.Reset()
		return
	}
	s.Close()
}
