package shutdown

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a stop in which a further SIGTERM leaves no trace in the log.
func TestEachSignalIsLogged(t *testing.T) {
	var out lockedBuffer
	defer LogSignals(slog.New(slog.NewTextHandler(&out, nil)))()
	for _, line := range []string{"count=1", "count=2"} {
		assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Contains(out.String(), line) {
				return poll.Success()
			}
			return poll.Continue("%s is not logged", line)
		}, poll.WithDelay(time.Millisecond))
	}
}
