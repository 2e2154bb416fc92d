package distribute

import (
	"log/slog"
	"sync"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// lag records what happens while a node knows of a newer version than it holds, for the log: with it,
// a late configuration can be traced to news that came late or to pulls that failed.
type lag struct {
	mu          sync.Mutex
	behindSince time.Time // zero while no newer version is known
	failedPulls int
}

// learned records that a newer version than the node's exists.
func (l *lag) learned(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
}

func (l *lag) pullFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedPulls++
}

// applied logs that the node holds version v now, which it got from source. caughtUp says that no newer
// version is known.
func (l *lag) applied(log *slog.Logger, now time.Time, v resource.Version, source string, caughtUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	behind := time.Duration(0)
	if !l.behindSince.IsZero() {
		behind = now.Sub(l.behindSince)
	}
	log.Info("version applied", "version", v.String(), "source", source, "behind_ms", behind.Milliseconds(), "failed_pulls", l.failedPulls)
	l.failedPulls = 0
	l.behindSince = time.Time{}
	if !caughtUp {
		l.behindSince = now
	}
}
