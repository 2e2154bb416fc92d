package dispatch

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/internal/testwait"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// grantedClaims grants all claims and passes on the records that end them.
type grantedClaims struct{ finished chan idempotency.Record }

func (g grantedClaims) Claim(context.Context, idempotency.Key, idempotency.AttemptID, time.Time) (idempotency.ClaimResult, error) {
	return idempotency.ClaimResult{Status: idempotency.StatusGranted}, nil
}

func (g grantedClaims) Fence(context.Context, idempotency.Key, idempotency.AttemptID) (idempotency.FenceResult, error) {
	return idempotency.FenceResult{}, nil
}

func (g grantedClaims) Finish(_ context.Context, _ idempotency.Key, _ idempotency.AttemptID, r idempotency.Record) error {
	g.finished <- r
	return nil
}

// Guards against a key that stays claimed by an attempt which was refused after its claim had been granted: the request
// could not run elsewhere.
func TestClaimIsReleasedIfTheRunIsNotBegun(t *testing.T) {
	claims := grantedClaims{make(chan idempotency.Record, 2)}
	free := make(chan struct{})
	f := newFixture(t, claims, func(http.ResponseWriter, *http.Request) { <-free })
	var once sync.Once
	finishRun := func() { once.Do(func() { close(free) }) }
	t.Cleanup(finishRun)
	head := orderHead("b")
	head.Key = "k"
	running, waiting := begin(t, f, orderHead("a")), begin(t, f, head)
	assert.NilError(t, running.WriteFrame(wire.FrameEnd, nil))
	testwait.Until(t, 5*time.Second, "the first attempt is at its upstream", func() bool { return f.runs.Load() == 1 })
	assert.NilError(t, waiting.WriteFrame(wire.FrameEnd, nil))
	testwait.Until(t, 5*time.Second, "the second attempt waits", func() bool { return f.upstreamStatuses()[0].Queued == 1 })
	f.BeginLeave(time.Now().Add(4 * time.Second))
	finishRun()
	_, end := readAnswer(t, waiting)
	assert.Equal(t, outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}, outcome.HasNotRun(outcome.ReasonDraining))
	select {
	case r := <-claims.finished:
		assert.Equal(t, r.Outcome, outcome.NotRun)
	case <-time.After(5 * time.Second):
		t.Fatal("the key is still claimed")
	}
}
