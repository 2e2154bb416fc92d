package controld

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/link"
)

// proofInterval is the time between the confirmations that a member starts for nodes that ask for proofs. All that
// ask meanwhile share the next one, so that the traffic between members does not grow with the number of nodes.
const proofInterval = 300 * time.Millisecond

// pacer lets callers of wait pass at intervals; all that wait pass together.
type pacer struct {
	interval time.Duration

	mu   sync.Mutex
	next time.Time // when the next calls pass
}

// wait waits until calls may pass. It returns false if ctx ends first.
func (p *pacer) wait(ctx context.Context) bool {
	p.mu.Lock()
	now := time.Now()
	passAt := p.next
	if !now.Before(passAt) {
		p.next, passAt = now.Add(p.interval), now
	}
	p.mu.Unlock()
	if passAt.Equal(now) {
		return true
	}
	if !sleep(ctx, passAt.Sub(now)) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Equal(passAt) {
		p.next = passAt.Add(p.interval)
	}
	return true
}

// pacedProofs passes polls for proofs to prove, which confirms that this member is current. The confirmation begins
// after the poll has arrived, since prove is called after it has waited.
func pacedProofs(prove link.Handler) link.Handler {
	p := &pacer{interval: proofInterval}
	return func(ctx context.Context, s link.Stream, first link.Frame) {
		if !p.wait(ctx) {
			s.Reset()
			return
		}
		prove(ctx, s, first)
	}
}
