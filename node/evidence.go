package node

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// observationBacklog is how many observations may wait for the board. Further
	// ones are dropped, so that requests never wait for the board.
	observationBacklog = 4096
	// observationBatch bounds the size of a batch, and observationBatchDelay how long the first
	// observation of a batch waits for more.
	observationBatch      = 256
	observationBatchDelay = 20 * time.Millisecond
	// summariesTimeout bounds the exchange with an aggregator.
	summariesTimeout = 800 * time.Millisecond
)

// resultOf converts a dispatcher's result to a detector's.
func resultOf(r dispatch.Result) health.Result {
	switch r {
	case dispatch.ResultOK:
		return health.Succeeded
	case dispatch.ResultError, dispatch.ResultBroken:
		return health.Failed
	case dispatch.ResultTimeout:
		return health.TimedOut
	default:
		return health.Ignored
	}
}

// observe queues an observation of the dispatcher for the board. It drops the observation if
// the queue is full.
func (n *Node) observe(o dispatch.Observation) {
	select {
	case n.observations <- o:
	default:
		n.droppedObservations.Add(1)
	}
}

// batchObservations passes observations to the board in batches.
func (n *Node) batchObservations(ctx context.Context) {
	for {
		var batch []board.Attempt
		select {
		case <-ctx.Done():
			return
		case o := <-n.observations:
			batch = append(batch, attemptOf(o))
		}
		batch = n.fillBatch(ctx, batch)
		if n.board.Post(ctx, board.Observed{Attempts: batch}) != nil {
			return
		}
	}
}

func (n *Node) fillBatch(ctx context.Context, batch []board.Attempt) []board.Attempt {
	timer := time.NewTimer(observationBatchDelay)
	defer timer.Stop()
	for len(batch) < observationBatch {
		select {
		case o := <-n.observations:
			batch = append(batch, attemptOf(o))
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func attemptOf(o dispatch.Observation) board.Attempt {
	return board.Attempt{Upstream: o.Upstream, Kind: o.Kind, Result: resultOf(o.Result), Latency: o.Latency, At: o.At}
}

// sendSummaries sends summaries to an aggregator and posts the baselines that it answers with.
func (n *Node) sendSummaries(ctx context.Context, a board.SendSummaries) {
	ctx, cancel := context.WithTimeout(ctx, summariesTimeout)
	defer cancel()
	var reply wire.Baselines
	err := link.Call(ctx, n.dialer, a.LinkAddr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameSummaries, wire.Summaries{Service: a.Service, Summaries: a.Summaries}); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameBaselines, &reply)
	})
	if err != nil {
		n.log.Debug("exchange of summaries with aggregator failed", "service", a.Service, "addr", a.LinkAddr, "fault", err)
		n.dialer.Replace(a.LinkAddr)
		return
	}
	ids := make([]fleet.UpstreamID, len(a.Summaries))
	for i := range a.Summaries {
		ids[i] = a.Summaries[i].Upstream
	}
	n.post(board.BaselinesReceived{Upstreams: ids, Baselines: reply.Baselines})
}

// serveSummaries answers another node's summaries with baselines, as the service's aggregator.
func (n *Node) serveSummaries(ctx context.Context, s link.Stream, first link.Frame) {
	var m wire.Summaries
	if err := wire.Decode(first.Payload, &m); err != nil {
		n.log.Warn("summaries refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, summariesTimeout)
	defer cancel()
	replies := make(chan []health.Baseline, 1)
	e := board.SummariesReceived{Service: m.Service, Summaries: m.Summaries, Reply: func(b []health.Baseline) { replies <- b }}
	if n.board.Post(ctx, e) != nil {
		s.Reset()
		return
	}
	select {
	case b := <-replies:
		if wire.Write(s, wire.FrameBaselines, wire.Baselines{Baselines: b}) != nil {
			s.Reset()
			return
		}
		s.Close()
	case <-ctx.Done():
		s.Reset()
	}
}
