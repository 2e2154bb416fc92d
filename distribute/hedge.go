package distribute

import (
	"context"
	"time"
)

// attemptFunc is one attempt of several that are alternatives to each other. It returns when ctx ends.
type attemptFunc func(ctx context.Context) error

// hedged makes attempts until one succeeds or next returns none. Another attempt starts when the last
// one has failed, or has not ended after the given delay; earlier ones go on meanwhile. The attempts
// that are left when one succeeds are canceled and waited for. hedged returns false if none succeeded.
func hedged(ctx context.Context, delay time.Duration, next func() (attemptFunc, bool)) bool {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan error)
	running := 0
	defer func() {
		cancel()
		for ; running > 0; running-- {
			<-results
		}
	}()
	start := func() bool {
		attempt, ok := next()
		if ok {
			running++
			go func() { results <- attempt(ctx) }()
		}
		return ok
	}
	more := start()
	for running > 0 {
		timer := time.NewTimer(delay)
		if !more {
			timer.Stop()
		}
		select {
		case err := <-results:
			timer.Stop()
			running--
			if err == nil {
				return true
			}
		case <-timer.C:
		}
		more = more && ctx.Err() == nil && start()
	}
	return false
}
