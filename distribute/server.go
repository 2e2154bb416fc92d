package distribute

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Limits of the cache of encoded deltas. After a change most requests ask for the delta from the same
// version.
const (
	maxCachedDeltas     = 16
	maxCachedDeltaBytes = 1 << 20 // size of one delta
)

// Server serves the configuration of a Holder. Its methods HandleWatch and HandlePull are the
// link.Handlers for wire.FrameConfigWatch and wire.FrameConfigPull.
type Server struct {
	cfg    Config
	holder *Holder
	log    *slog.Logger
	// onCall is called when a peer calls this node to watch control. May be nil.
	onCall func()
	// prove returns the proof to send to a node that asks for one, or nil.
	prove func() *agedProof

	mu        sync.Mutex
	cachedSet *resource.Set // the configuration that cachedDeltas lead to
	// cachedDeltas holds deltas by the version that they start from.
	cachedDeltas map[resource.Version]encodedDelta

	watchers, served atomic.Int64
	bytesSent        atomic.Uint64
}

// NewServer returns a server of h.
func NewServer(cfg Config, h *Holder, log *slog.Logger) *Server {
	cfg.setDefaults()
	return &Server{cfg: cfg, holder: h, log: logging.Part(log, "distribute"), cachedDeltas: map[resource.Version]encodedDelta{}}
}

// encodedSince returns the encoded delta from the version since to set, or an empty one if set is not
// newer.
func (s *Server) encodedSince(set *resource.Set, since resource.Version) (encodedDelta, error) {
	if !since.Less(set.Version()) {
		return encodedDelta{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedSet != set {
		s.cachedSet = set
		clear(s.cachedDeltas)
	}
	if e, ok := s.cachedDeltas[since]; ok {
		return e, nil
	}
	d, err := set.Since(since)
	if err != nil {
		return encodedDelta{}, err
	}
	b, err := wire.Encode(d)
	if err != nil {
		return encodedDelta{}, err
	}
	e, err := newEncodedDelta(b)
	if err == nil && len(s.cachedDeltas) < maxCachedDeltas && len(e.data) <= maxCachedDeltaBytes {
		s.cachedDeltas[since] = e
	}
	return e, err
}

// sendDelta sends the delta from the version since to set.
func (s *Server) sendDelta(stream link.Stream, set *resource.Set, since resource.Version) error {
	e, err := s.encodedSince(set, since)
	if err != nil {
		return err
	}
	s.bytesSent.Add(uint64(len(e.data)))
	return writeDelta(stream, set.Version(), e, s.cfg.FrameTimeout)
}

// HandlePull replies with the delta since the requested version.
func (s *Server) HandlePull(ctx context.Context, stream link.Stream, first link.Frame) {
	defer context.AfterFunc(ctx, stream.Reset)()
	var r request
	err := wire.Decode(first.Payload, &r)
	if err == nil {
		if r.CallToWatch && s.onCall != nil {
			s.onCall()
		}
		set := s.holder.Current()
		if r.VersionOnly {
			part := deltaPart{Version: set.Version(), Last: true}
			if r.Proof && s.prove != nil {
				part.Proof = s.prove()
			}
			err = writeWithTimeout(stream, wire.FrameConfigDelta, part, s.cfg.FrameTimeout)
		} else {
			err = s.sendDelta(stream, set, r.Since)
		}
	}
	s.finishStream(stream, "serving a pull", err)
	s.served.Add(1)
}

// finishStream closes the stream, or resets it after an error.
func (s *Server) finishStream(stream link.Stream, what string, err error) {
	if err != nil {
		s.log.Debug(what+" failed", "peer", stream.PeerName(), "err", err)
		stream.Reset()
		return
	}
	stream.Close()
}

// HandleWatch sends each change since the requested version, and heartbeats in between, until the
// stream breaks or ctx ends.
func (s *Server) HandleWatch(ctx context.Context, stream link.Stream, first link.Frame) {
	defer context.AfterFunc(ctx, stream.Reset)()
	s.watchers.Add(1)
	defer s.watchers.Add(-1)
	var r request
	err := wire.Decode(first.Payload, &r)
	if err == nil {
		err = s.watch(ctx, stream, r.Since)
	}
	s.log.Debug("watch ended", "peer", stream.PeerName(), "err", err)
	stream.Reset()
}

func (s *Server) watch(ctx context.Context, stream link.Stream, since resource.Version) error {
	heartbeat := time.NewTicker(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	for {
		set, changed := s.holder.currentAndChange()
		if err := s.sendDelta(stream, set, since); err != nil {
			return err
		}
		if since.Less(set.Version()) {
			since = set.Version()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-heartbeat.C:
		}
	}
}
