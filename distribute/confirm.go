package distribute

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/godwithub/godwithub/resource"
)

const (
	// confirmTimeout bounds one question to control.
	confirmTimeout = time.Second
	// confirmAge is how long an answer of control is used again.
	confirmAge = 50 * time.Millisecond
	// confirmBackoff is how long control is not asked after it has not answered, so that requests
	// do not wait for it while it is away.
	confirmBackoff = 5 * time.Second
	// confirmPollInterval is the time between checks whether a pull has brought the newest version.
	confirmPollInterval = 5 * time.Millisecond
)

// confirmations coalesces the questions of Confirm.
type confirmations struct {
	questions singleflight.Group

	mu                   sync.Mutex
	answeredAt, failedAt time.Time
}

// needed reports whether control has to be asked now.
func (c *confirmations) needed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.answeredAt) >= confirmAge && now.Sub(c.failedAt) >= confirmBackoff
}

func (c *confirmations) record(now time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.answeredAt, c.failedAt = now, time.Time{}
	} else {
		c.failedAt = now
	}
}

// answeredSince reports whether control has answered a question that was sent at t or later.
func (c *confirmations) answeredSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answeredAt.Before(t)
}

// Confirm asks control for its version and returns this node's version, once that is the newest that is
// known or ctx ends. A node calls it before it refuses a request that a newer configuration may allow. confirmed
// says that control has answered and this node has the version that it named.
func (f *Follower) Confirm(ctx context.Context) (v resource.Version, confirmed bool) {
	called := time.Now()
	if f.confirmations.needed(time.Now()) {
		done := f.confirmations.questions.DoChan("", func() (any, error) {
			f.askToConfirm()
			return nil, nil
		})
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	for f.holder.Version().Less(f.peers.newestVersion()) && sleep(ctx, confirmPollInterval) {
	}
	v = f.holder.Version()
	return v, f.confirmations.answeredSince(called.Add(-confirmAge)) && !v.Less(f.peers.newestVersion())
}

func (f *Follower) askToConfirm() {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	asked := time.Now()
	if f.pollControl(ctx, f.cfg.HedgeDelay) {
		f.confirmations.record(asked, true)
	} else {
		f.confirmations.record(time.Now(), false)
	}
}
