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
	// asyncBacklogLines is the maximum number of lines that wait to be written.
	asyncBacklogLines = 2048
	// maxLineBytes bounds a line. Longer ones are dropped: they quote what a peer has sent, and the
	// backlog must not take the memory of a small VM.
	maxLineBytes = 16 << 10
	// asyncLinesPerSecond and asyncBurstLines limit the lines below Warn.
	asyncLinesPerSecond = 400
	asyncBurstLines     = 1000
	// droppedInterval is the time between reports of dropped lines.
	droppedInterval = 10 * time.Second
)

// Async writes log lines in the background, so that a slow log reader never blocks a request. Lines
// beyond its rate limit or backlog are dropped and counted.
type Async struct {
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Int64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewAsync returns an Async that writes to w. Close flushes the waiting lines.
func NewAsync(w io.Writer) *Async {
	a := &Async{
		lines:   make(chan []byte, asyncBacklogLines),
		limiter: rate.NewLimiter(asyncLinesPerSecond, asyncBurstLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run(w)
	return a
}

// run writes lines to w until Close is called, and then those that still wait.
func (a *Async) run(w io.Writer) {
	defer close(a.done)
	write := func(line []byte) {
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
	for {
		select {
		case line := <-a.lines:
			write(line)
			continue
		case <-a.closing:
		}
		for {
			select {
			case line := <-a.lines:
				write(line)
			default:
				return
			}
		}
	}
}

// Write implements io.Writer for a slog.Handler, which writes one line at a time.
func (a *Async) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close flushes the waiting lines. Later ones are dropped: parts of a process that are given up at its end
// may still log.
func (a *Async) Close() {
	a.closeOnce.Do(func() { close(a.closing) })
	<-a.done
}

// NewDaemon returns the logger of a daemon, which never blocks its callers, and the function that
// flushes the waiting lines at the end. Dropped lines are reported until ctx ends.
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

// Limit returns a logger like l whose lines below Warn are rate-limited.
func (a *Async) Limit(l *slog.Logger) *slog.Logger {
	return slog.New(&limitHandler{l.Handler(), a})
}

// ReportDropped logs the number of dropped lines every droppedInterval, until ctx ends.
func (a *Async) ReportDropped(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n := a.dropped.Swap(0); n > 0 {
			log.Warn("log lines were dropped", "lines", n)
		}
	}
}

// limitHandler drops records below Warn beyond the rate limit of its Async.
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
