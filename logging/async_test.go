package logging

import (
	"log/slog"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against requests that are blocked by a slow log reader, and against a warning that is
// dropped because of many lines about requests.
func TestAsyncNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	a := NewAsync(w)
	log := a.Limit(slog.New(slog.NewTextHandler(a, nil)))
	for range asyncBurstLines + 500 {
		log.Info("request")
	}
	log.Warn("important")
	assert.Assert(t, a.dropped.Load() >= 400)
	close(w.release)
	a.Close()
	assert.Assert(t, strings.Contains(w.text.String(), "important"))
}

// Guards against a process that panics at its end because a part of it still logs.
func TestLogAfterClose(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	a := NewAsync(w)
	log := slog.New(slog.NewTextHandler(a, nil))
	log.Info("before")
	a.Close()
	log.Info("after")
	a.Close()
	assert.Assert(t, strings.Contains(w.text.String(), "before"))
}

// Guards against long lines, which quote a peer, that fill the memory while the log reader is slow.
func TestLongLinesAreDropped(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	a := NewAsync(w)
	log := slog.New(slog.NewTextHandler(a, nil))
	log.Error("quoted", "text", strings.Repeat("x", maxLineBytes))
	log.Error("short")
	a.Close()
	assert.Assert(t, w.text.Len() < 200 && strings.Contains(w.text.String(), "short"))
	assert.Equal(t, a.dropped.Load(), int64(1))
}
