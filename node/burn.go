package node

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

const (
	// burnInterval is the time between two reports of request counts to control. With 50
	// request kinds, a report takes 3.6 KB for each control VM.
	burnInterval = 30 * time.Second
	burnTimeout  = 3 * time.Second
)

// countFinished adds a finished request to the counts for its kind's objectives.
func (n *Node) countFinished(f ingress.Finished) {
	c := burn.Counts{Requests: 1, Attempts: uint64(f.Attempts)}
	switch {
	case f.Ended.Outcome == outcome.Answered:
		c.Answered = 1
		if f.Status >= http.StatusInternalServerError {
			c.Errors = 1
		} else if f.Latency <= n.latencyObjective(f.Kind) {
			c.InTime = 1
		}
	case f.Ended.Outcome == outcome.Unknown:
		c.Unknown = 1
	case f.Ended.Reason == outcome.ReasonShed, f.Ended.Reason == outcome.ReasonDeadline, f.Ended.Reason == outcome.ReasonQueueLong,
		f.Ended.Reason == outcome.ReasonUpstreamShed:
		c.Refused = 1
	default:
		c.NotRun = 1
	}
	n.burn.Add(time.Now(), burn.Key{Service: f.Service, Kind: f.Kind}, c)
}

func (n *Node) latencyObjective(kind string) time.Duration {
	c := n.board.View().Config
	if c == nil || c.Kinds[kind] == nil {
		return 0
	}
	return time.Duration(c.Kinds[kind].LatencyObjectiveMs) * time.Millisecond
}

// ControlDialer holds the dialer and the addresses of the control VMs.
type ControlDialer struct {
	Dialer link.Dialer
	Addrs  []string
}

// reportBurn sends request counts to all control VMs at each interval, until ctx ends.
func (n *Node) reportBurn(ctx context.Context, control ControlDialer) {
	started := time.Now()
	lastSent := make([]time.Time, len(control.Addrs))
	tick := time.NewTicker(burnInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for i, addr := range control.Addrs {
			now := time.Now()
			full := lastSent[i].IsZero()
			t := burn.Totals{
				Node: fleet.NodeID(n.settings.NodeID), Incarnation: uint64(started.UnixMilli()),
				UptimeMs: now.Sub(started).Milliseconds(), Entries: n.burn.ChangedSince(lastSent[i]), Full: full,
			}
			reply, err := sendTotals(ctx, control.Dialer, addr, t)
			switch {
			case err != nil:
				n.log.Debug("request counts not sent to control", "addr", addr, "fault", err)
			case reply.SendFullTotals:
				lastSent[i] = time.Time{}
			default:
				lastSent[i] = now
			}
		}
	}
}

func sendTotals(ctx context.Context, d link.Dialer, addr string, t burn.Totals) (burn.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var reply burn.Reply
	err := link.Call(ctx, d, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameBurn, t); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameBurnReply, &reply)
	})
	return reply, err
}
