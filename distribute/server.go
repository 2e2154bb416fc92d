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

// Limits of the cache of encoded deltas. After a change most askers come from
// the same version.
const (
	maxCached      = 16
	maxCachedBytes = 1 << 20 // of one delta
)

// Server hands out a holder's configuration. Its methods HandleWatch and
// HandlePull are link.Handlers for wire.FrameConfigWatch and
// wire.FrameConfigPull.
type Server struct {
	cfg    Config
	holder *Holder
	log    *slog.Logger
	// called is run when a peer calls this node to watch control. May be nil.
	called func()

	mu     sync.Mutex
	set    *resource.Set // the set that cached was made from
	cached map[resource.Version]encodedDelta

	watchers, served atomic.Int64
	bytesSent        atomic.Uint64
}

// NewServer returns a server of h.
func NewServer(cfg Config, h *Holder, log *slog.Logger) *Server {
	cfg.setDefaults()
	return &Server{cfg: cfg, holder: h, log: logging.Part(log, "distribute"), cached: map[resource.Version]encodedDelta{}}
}

// encoded returns the encoded delta from since to set, or nothing if set is not
// newer.
func (s *Server) encoded(set *resource.Set, since resource.Version) (encodedDelta, error) {
	if !since.Less(set.Version()) {
		return encodedDelta{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set != set {
		s.set = set
		clear(s.cached)
	}
	if e, ok := s.cached[since]; ok {
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
	if err == nil && len(s.cached) < maxCached && len(e.data) <= maxCachedBytes {
		s.cached[since] = e
	}
	return e, err
}

func (s *Server) send(stream link.Stream, set *resource.Set, since resource.Version) error {
	e, err := s.encoded(set, since)
	if err != nil {
		return err
	}
	s.bytesSent.Add(uint64(len(e.data)))
	return writeDelta(stream, set.Version(), e, s.cfg.FrameTimeout)
}

// HandlePull answers with the delta since a version.
func (s *Server) HandlePull(ctx context.Context, stream link.Stream, first link.Frame) {
	defer context.AfterFunc(ctx, stream.Reset)()
	var r request
	err := wire.Decode(first.Payload, &r)
	if err == nil {
		if r.Call && s.called != nil {
			s.called()
		}
		set := s.holder.Current()
		if r.VersionOnly {
			err = writeDelta(stream, set.Version(), encodedDelta{}, s.cfg.FrameTimeout)
		} else {
			err = s.send(stream, set, r.Since)
		}
	}
	s.end(stream, "pull", err)
	s.served.Add(1)
}

func (s *Server) end(stream link.Stream, what string, err error) {
	if err != nil {
		s.log.Debug(what+" ended", "peer", stream.PeerName(), "err", err)
		stream.Reset()
		return
	}
	stream.Close()
}

// HandleWatch sends each change from a version on, and heartbeats in between,
// until the stream breaks or ctx ends.
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
	beat := time.NewTicker(s.cfg.Heartbeat)
	defer beat.Stop()
	for {
		set, changed := s.holder.next()
		if err := s.send(stream, set, since); err != nil {
			return err
		}
		if since.Less(set.Version()) {
			since = set.Version()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-beat.C:
		}
	}
}
