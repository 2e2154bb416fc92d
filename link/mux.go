package link

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

// firstFrameTimeout bounds the wait for the first frame of a stream.
const firstFrameTimeout = 10 * time.Second

// Handler serves one stream whose first frame has been read. It must end the stream with Close or
// Reset. first.Payload is valid until the next ReadFrame.
type Handler func(ctx context.Context, s Stream, first Frame)

// Mux passes each accepted stream to the handler that is registered for the type of its first
// frame.
type Mux struct {
	log      *slog.Logger
	handlers map[FrameType]Handler
	active   sync.WaitGroup
	// ctx is passed to the handlers of streams that were passed to Start.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewMux returns a mux without handlers.
func NewMux(log *slog.Logger) *Mux {
	m := &Mux{log: log, handlers: map[FrameType]Handler{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Start serves a stream that did not come from a listener. The context of its handler is canceled
// when Serve ends.
func (m *Mux) Start(s Stream) { m.active.Go(func() { m.serveStream(m.ctx, s) }) }

// Handle registers the handler of a frame type. It must be called before Serve.
func (m *Mux) Handle(t FrameType, h Handler) { m.handlers[t] = h }

// Serve accepts streams from l until l is closed or ctx ends. Each handler runs in its own
// goroutine, with ctx. Serve returns nil if l was closed or ctx was canceled.
func (m *Mux) Serve(ctx context.Context, l Listener) error {
	defer m.cancel()
	for {
		s, err := l.Accept(ctx)
		switch {
		case errors.Is(err, ErrClosed), errors.Is(err, context.Canceled):
			return nil
		case err != nil:
			return err
		}
		m.active.Go(func() { m.serveStream(ctx, s) })
	}
}

// Wait returns when all handlers have returned.
func (m *Mux) Wait() { m.active.Wait() }

func (m *Mux) serveStream(ctx context.Context, s Stream) {
	s.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	first, err := s.ReadFrame()
	if err != nil {
		s.Reset()
		return
	}
	s.SetReadDeadline(time.Time{})
	h := m.handlers[first.Type]
	if h == nil {
		m.log.Warn("stream begins with an unknown frame type", "type", first.Type, "peer", s.PeerName())
		s.Reset()
		return
	}
	h(ctx, s, first)
}
