package dispatch

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/internal/testwait"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Guards against a leaving node that takes a request which its end could cut off.
func TestEndsInTime(t *testing.T) {
	stopAt := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		deadline time.Duration // after stopAt
		sameNode bool
		want     bool
	}{
		{0, false, true},
		{time.Millisecond, false, false},
		{time.Millisecond, true, true},
	} {
		assert.Equal(t, EndsInTime(stopAt.Add(c.deadline), stopAt, c.sameNode), c.want, "%+v", c)
	}
}

// idempotentHead returns the head of an idempotent attempt without a body, at a request that may run once more.
func idempotentHead(id, kind string) *wire.AttemptHead {
	head := orderHead(id)
	head.Kind, head.Target, head.Idempotent, head.Repeatable = kind, "/"+kind, true, true
	return head
}

// attempt sends the head and the end of a request, and returns how the attempt ended.
func (f *fixture) attempt(t *testing.T, head *wire.AttemptHead) outcome.Ended {
	_, end := finish(t, begin(t, f, head))
	return outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}
}

// Guards against a leaving node that takes a request since runs of its kind are usually short, and cuts it off when it
// is not, and against one that takes nothing at all.
func TestLeavingDispatcherTakesAttemptsThatEndInTime(t *testing.T) {
	f := newFixture(t, nil, func(http.ResponseWriter, *http.Request) {})
	answered, draining := outcome.Ended{Outcome: outcome.Answered}, outcome.HasNotRun(outcome.ReasonDraining)
	for _, head := range []*wire.AttemptHead{orderHead("a"), idempotentHead("b", "list")} {
		assert.Equal(t, f.attempt(t, head), answered)
	}
	f.BeginLeave(time.Now().Add(4 * time.Second))
	for _, head := range []*wire.AttemptHead{orderHead("c"), idempotentHead("d", "list")} {
		assert.Equal(t, f.attempt(t, head), draining)
		head.AttemptID += "-short"
		head.RemainingMs = 3000
		assert.Equal(t, f.attempt(t, head), answered)
		head.AttemptID += "-local"
		head.RemainingMs, head.SameNode = 5000, true
		assert.Equal(t, f.attempt(t, head), answered)
	}
}

// Guards against an attempt that waits for a slot when the stop begins, and is begun so late that it is cut off.
func TestWaitingAttemptIsNotBegunShortlyBeforeTheStop(t *testing.T) {
	free := make(chan struct{})
	f := newFixture(t, nil, func(http.ResponseWriter, *http.Request) { <-free })
	var once sync.Once
	finishRun := func() { once.Do(func() { close(free) }) }
	t.Cleanup(finishRun)
	running, waiting := begin(t, f, orderHead("a")), begin(t, f, orderHead("b"))
	assert.NilError(t, running.WriteFrame(wire.FrameEnd, nil))
	testwait.Until(t, 5*time.Second, "the first attempt is at its upstream", func() bool { return f.runs.Load() == 1 })
	assert.NilError(t, waiting.WriteFrame(wire.FrameEnd, nil))
	testwait.Until(t, 5*time.Second, "the second attempt waits", func() bool { return f.upstreamStatuses()[0].Queued == 1 })
	f.BeginLeave(time.Now().Add(4 * time.Second))
	finishRun()
	_, end := readAnswer(t, running)
	assert.Equal(t, end.Outcome, outcome.Answered)
	_, end = readAnswer(t, waiting)
	assert.Equal(t, outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}, outcome.HasNotRun(outcome.ReasonDraining))
	assert.Equal(t, f.runs.Load(), int64(1))
}

// Guards against an idempotent request that is lost with the node on which it runs, although it could still run
// elsewhere, and against other requests that are ended before the process is.
func TestInterruptHandsIdempotentAttemptsBack(t *testing.T) {
	free := make(chan struct{})
	f := newFixture(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-free:
		case <-r.Context().Done():
		}
	})
	var once sync.Once
	finishRuns := func() { once.Do(func() { close(free) }) }
	t.Cleanup(finishRuns)
	f.Withdraw("u")
	f.announcement.Slots = 3
	f.Announce(f.announcement)
	lastRun := idempotentHead("last", "list")
	lastRun.Repeatable = false
	var streams []link.Stream
	for _, head := range []*wire.AttemptHead{idempotentHead("first", "list"), lastRun, orderHead("order")} {
		s := begin(t, f, head)
		assert.NilError(t, s.WriteFrame(wire.FrameEnd, nil))
		streams = append(streams, s)
	}
	testwait.Until(t, 5*time.Second, "all attempts are at their upstream", func() bool { return f.runs.Load() == 3 })
	f.Interrupt()
	_, end := readAnswer(t, streams[0])
	assert.Equal(t, outcome.Ended{Outcome: end.Outcome, Reason: end.Reason}, outcome.MayHaveRun(outcome.ReasonStopped))
	finishRuns()
	for _, s := range streams[1:] {
		_, end = readAnswer(t, s)
		assert.Equal(t, end.Outcome, outcome.Answered)
	}
}

// Guards against a request that was handed back by a stopping node and fails since it waits behind new requests.
func TestHandedBackAttemptPrecedesOthers(t *testing.T) {
	order := make(chan string, 3)
	free := make(chan struct{}, 3)
	f := newFixture(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		order <- r.URL.Path
		<-free
	})
	t.Cleanup(func() { close(free) })
	running := begin(t, f, idempotentHead("a", "first"))
	assert.NilError(t, running.WriteFrame(wire.FrameEnd, nil))
	assert.Equal(t, <-order, "/first")
	handedBack := idempotentHead("c", "handed-back")
	handedBack.HandedBack, handedBack.Retry = true, true
	for i, head := range []*wire.AttemptHead{idempotentHead("b", "new"), handedBack} {
		head.Insist = true
		assert.NilError(t, begin(t, f, head).WriteFrame(wire.FrameEnd, nil))
		testwait.Until(t, 5*time.Second, "the attempt waits", func() bool { return f.upstreamStatuses()[0].Queued == i+1 })
	}
	free <- struct{}{}
	assert.Equal(t, <-order, "/handed-back")
}

// Guards against a request that was handed back by a stopping node and not sent elsewhere for want of a retry budget.
func TestInterruptedAttemptHasItsRetryGranted(t *testing.T) {
	u := newUpstream(announce.Announcement{ID: "u", Service: "shop", Slots: 1}, &Protocol{})
	u.retryLimits = func(string) retry.Limits { return retry.Limits{Ratio: 0.1} }
	head := idempotentHead("a", "list")
	assert.Assert(t, !u.grantRetry(time.Now(), head, outcome.MayHaveRun(outcome.ReasonLostUpstream), ResultBroken))
	assert.Assert(t, u.grantRetry(time.Now(), head, outcome.MayHaveRun(outcome.ReasonStopped), ResultRefused))
}

// Guards against an upload that is refused for the stop only after its body was asked for: it cannot be sent to another
// node then.
func TestWaitingUploadIsRefusedBeforeItsBodyIsAskedFor(t *testing.T) {
	free := make(chan struct{})
	f := newFixture(t, nil, func(http.ResponseWriter, *http.Request) { <-free })
	var once sync.Once
	finishRun := func() { once.Do(func() { close(free) }) }
	t.Cleanup(finishRun)
	running := begin(t, f, orderHead("a"))
	assert.NilError(t, running.WriteFrame(wire.FrameEnd, nil))
	testwait.Until(t, 5*time.Second, "the first attempt is at its upstream", func() bool { return f.runs.Load() == 1 })
	upload := orderHead("b")
	upload.Streamed, upload.BodyBytes, upload.Insist = true, 1<<20, true
	waiting := begin(t, f, upload)
	testwait.Until(t, 5*time.Second, "the upload waits", func() bool { return f.upstreamStatuses()[0].Queued == 1 })
	f.BeginLeave(time.Now().Add(4 * time.Second))
	finishRun()
	for {
		frame, err := waiting.ReadFrame()
		assert.NilError(t, err)
		assert.Assert(t, frame.Type != wire.FrameContinue, "the body is asked for")
		if frame.Type == wire.FrameAnswerEnd {
			return
		}
	}
}
