package logging

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// asyncBacklog is how many lines wait to be written.
	asyncBacklog = 2048
	// asyncRate and asyncBurst bound the lines below Warn, per second.
	asyncRate  = 400
	asyncBurst = 1000
	// droppedInterval is the time between reports of dropped lines.
	droppedInterval = 10 * time.Second
)

// Async writes lines in the background, so that a slow reader of the log never
// holds up a request. Lines beyond its rate or backlog are dropped and counted.
type Async struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
}

// NewAsync returns an Async that writes to w. Close writes what waits.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncBacklog), limiter: rate.NewLimiter(asyncRate, asyncBurst), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer for a handler, which writes one line at a time.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait. Nothing may be logged after it.
func (a *Async) Close() {
	a.closing.Do(func() { close(a.lines) })
	<-a.done
}

// NewDaemon returns the logger of a daemon, which never holds up its callers,
// and the function that writes what waits at the end. ctx ends the reports of
// dropped lines.
func NewDaemon(ctx context.Context, w io.Writer, format Format, level string) (log *slog.Logger, flush func(), err error) {
	a := NewAsync(w)
	log, err = New(a, format, level)
	if err != nil {
		a.Close()
		return nil, nil, err
	}
	log = a.Limit(log)
	go a.ReportDropped(ctx, log)
	return log, a.Close, nil
}

// Limit returns a logger like l whose lines below Warn are bounded in number.
func (a *Async) Limit(l *slog.Logger) *slog.Logger {
	return slog.New(&limitHandler{l.Handler(), a})
}

// ReportDropped logs the number of dropped lines now and then, until ctx ends.
func (a *Async) ReportDropped(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(droppedInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n := a.dropped.Swap(0); n > 0 {
			log.Warn("log lines were dropped", "lines", n)
		}
	}
}

// limitHandler drops records below Warn beyond the rate of its Async.
type limitHandler struct {
	slog.Handler
	async *Async
}

// Handle implements slog.Handler.
func (h *limitHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelWarn && !h.async.limiter.Allow() {
		h.async.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *limitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitHandler{h.Handler.WithAttrs(attrs), h.async}
}

// WithGroup implements slog.Handler.
func (h *limitHandler) WithGroup(name string) slog.Handler {
	return &limitHandler{h.Handler.WithGroup(name), h.async}
}
