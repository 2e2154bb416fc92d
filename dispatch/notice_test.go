package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// limitOf returns the rate limit of the fixture's upstream, as the dispatcher knows it.
func (f *fixture) limitOf() float64 {
	u, _ := f.lookUp("u")
	return u.status().RateLimit
}

// answerWithLimit returns a handler that names a limit and answers with a status.
func answerWithLimit(status int, limit string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if limit != "" {
			w.Header().Set(HeaderRateLimit, limit)
		}
		w.WriteHeader(status)
	}
}

// Guards against a limit that is missed in answers other than complete successes.
func TestLimitIsReadFromEveryAnswer(t *testing.T) {
	refusal := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderNotRun, "full")
		answerWithLimit(http.StatusServiceUnavailable, "2.5")(w, r)
	}
	cut := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		answerWithLimit(http.StatusOK, "2.5")(w, r)
		fmt.Fprint(w, "part")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, h := range map[string]http.HandlerFunc{
		"success":     answerWithLimit(http.StatusOK, "2.5"),
		"error":       answerWithLimit(http.StatusInternalServerError, "2.5"),
		"not found":   answerWithLimit(http.StatusNotFound, "2.5"),
		"refusal":     refusal,
		"cut off":     cut,
		"unavailable": answerWithLimit(http.StatusServiceUnavailable, "2.5"),
	} {
		f := newFixture(t, nil, h)
		_, end := finish(t, begin(t, f, orderHead("a")))
		assert.Equal(t, f.limitOf(), 2.5, name)
		assert.Equal(t, end.Load.Notice.RateLimit, 2.5, name)
		declined := f.open()
		assert.NilError(t, wire.Write(declined, wire.FrameAttempt, orderHead("b")))
		_, end = readAnswer(t, declined)
		assert.Assert(t, end.Reason == outcome.ReasonLimited || end.Reason == outcome.ReasonUnhealthy, "%s: %+v", name, end)
		assert.Equal(t, f.runs.Load(), int64(1), name)
	}
}

// Guards against a limit that is missed when the answer comes before the upstream has read a body.
func TestLimitIsReadFromAnswerToUpload(t *testing.T) {
	f := newFixture(t, nil, answerWithLimit(http.StatusOK, "2.5"))
	head := orderHead("a")
	head.Streamed, head.BodyBytes = true, 3
	s := f.open()
	assert.NilError(t, wire.Write(s, wire.FrameAttempt, head))
	assert.NilError(t, wire.Read(s, wire.FrameAck, nil))
	assert.NilError(t, wire.Read(s, wire.FrameContinue, nil))
	assert.NilError(t, s.WriteFrame(wire.FrameData, []byte("abc")))
	finish(t, s)
	assert.Equal(t, f.limitOf(), 2.5)
}

// Guards against a limit that outlives its end, and against one that a malformed header removes.
func TestLimitEndsWithAnAnswerWithoutIt(t *testing.T) {
	limits := []string{"50", "", "50", "many", "-1", "NaN", "+Inf"}
	answers := 0
	f := newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) {
		answerWithLimit(http.StatusOK, limits[answers])(w, r)
		answers++
	})
	for i, want := range []float64{50, 0, 50, 50, 50, 50, 0} {
		head := orderHead(fmt.Sprint(i))
		head.Insist = true
		_, end := finish(t, begin(t, f, head))
		assert.Equal(t, end.Outcome, outcome.Answered)
		assert.Equal(t, f.limitOf(), want, limits[i])
	}
}

// Guards against an upstream that gets no request any more, so that no answer can end its limit.
func TestUpstreamWithLimitZeroIsAskedNowAndThen(t *testing.T) {
	p := OwnProtocol()
	limit, err := p.rateLimit(http.Header{HeaderRateLimit: {"0"}})
	assert.NilError(t, err)
	assert.Equal(t, limit, minRateLimit)
}

// Guards against the limit of an earlier process of the upstream, and against one that an ingress holds
// although the upstream has answered without it since.
func TestOnlyCurrentLimitsAreAdopted(t *testing.T) {
	f := newFixture(t, nil, answerWithLimit(http.StatusOK, ""))
	f.Withdraw("u")
	f.announcement.StartMs = 7
	f.Announce(f.announcement)
	u, _ := f.lookUp("u")
	adopted := func(startMs int64) float64 {
		f.adoptNotice(u, &wire.UpstreamNotice{StartMs: startMs, RateLimit: 2})
		return f.limitOf()
	}
	assert.Equal(t, adopted(6), 0.0)
	assert.Equal(t, adopted(7), 2.0)
	head := orderHead("a")
	head.Insist = true
	finish(t, begin(t, f, head))
	assert.Equal(t, f.limitOf(), 0.0)
	assert.Equal(t, adopted(7), 0.0)
}

// Guards against queued attempts that wait until they expire at an upstream whose limit has fallen, while
// others could run them. Load: ten attempts wait for one slot; the limit then allows one a second, and they
// may wait for 2.5 s.
func TestFallenLimitReroutesQueuedAttempts(t *testing.T) {
	u, _ := grayUpstream()
	now := time.Now()
	u.slots, u.inUse = 1, 1
	var waits []chan outcome.Ended
	for range 10 {
		ch, _, _, ok := u.enqueue(admission.Ticket{Deadline: now.Add(5 * time.Second)}, &wire.AttemptHead{Insist: true})
		assert.Assert(t, ok)
		waits = append(waits, ch)
	}
	u.setRateLimit(now, 1)
	for i, ch := range waits {
		select {
		case e := <-ch:
			assert.Equal(t, e, outcome.HasNotRun(outcome.ReasonLimited))
			assert.Assert(t, i >= 1, "attempt %d starts after a second", i)
		default:
			assert.Assert(t, i < 2, "attempt %d would wait for %d s", i, i+1)
		}
	}
}

// Guards against attempts that wait for a limit and are not started when it allows them.
func TestQueuedAttemptsStartWhenTheLimitAllows(t *testing.T) {
	f := newFixture(t, nil, answerWithLimit(http.StatusOK, "20"))
	finish(t, begin(t, f, orderHead("first")))
	began := time.Now()
	var streams []link.Stream
	for i := range 3 {
		head := orderHead(strings.Repeat("x", i+1))
		head.Insist = true
		s := begin(t, f, head)
		assert.NilError(t, s.WriteFrame(wire.FrameEnd, nil))
		streams = append(streams, s)
	}
	for _, s := range streams {
		_, end := readAnswer(t, s)
		assert.Equal(t, end.Outcome, outcome.Answered)
	}
	// The bucket is empty at first, and the limit allows one in 50 ms.
	assert.Assert(t, time.Since(began) >= 100*time.Millisecond)
}

// leavingFixture returns a fixture whose upstream says in each answer that it leaves, and which counts the
// reports of that.
func leavingFixture(t *testing.T) (f *fixture, reports *atomic.Int64) {
	reports = new(atomic.Int64)
	f = newFixture(t, nil, func(w http.ResponseWriter, r *http.Request) { w.Header().Set(HeaderLeaving, "1") })
	f.cfg.Leaving = func(id fleet.UpstreamID, startMs int64) {
		assert.Equal(t, id, fleet.UpstreamID("u"))
		assert.Equal(t, startMs, f.announcement.StartMs)
		reports.Add(1)
	}
	return f, reports
}

// Guards against work for an upstream that has said in an answer that it leaves, while its announcements
// still say that it is ready.
func TestUpstreamThatSaysItLeavesGetsNoFurtherWork(t *testing.T) {
	f, reports := leavingFixture(t)
	_, end := finish(t, begin(t, f, orderHead("a")))
	assert.Equal(t, end.Outcome, outcome.Answered)
	assert.Assert(t, end.Load.Notice.Leaving)
	for i, insist := range []bool{false, true} {
		f.Announce(f.announcement)
		head := orderHead(fmt.Sprint(i))
		head.Insist = insist
		s := f.open()
		assert.NilError(t, wire.Write(s, wire.FrameAttempt, head))
		_, end = readAnswer(t, s)
		assert.Equal(t, end.Reason, outcome.ReasonDraining)
	}
	assert.Equal(t, f.runs.Load(), int64(1))
	assert.Equal(t, reports.Load(), int64(1))
}

// Guards against a restarted dispatcher that takes an upstream for ready although nodes that did not
// restart have passed on that it leaves, and against taking a later process of the upstream for leaving.
func TestRestartedDispatcherIsToldThatUpstreamLeaves(t *testing.T) {
	for _, c := range []struct {
		announced, told int64
		want            outcome.Reason
	}{
		{7, 7, outcome.ReasonDraining},
		{8, 7, outcome.ReasonNone},
		{0, 0, outcome.ReasonNone}, // It is not known whether the upstream has restarted since.
	} {
		f, reports := leavingFixture(t)
		f.Withdraw("u")
		f.announcement.StartMs = c.announced
		f.Announce(f.announcement)
		head := orderHead("a")
		head.Notice = &wire.UpstreamNotice{StartMs: c.told, Leaving: true}
		end, declined := f.decline(head, time.Now().Add(head.Remaining()))
		assert.Equal(t, end.Reason, c.want)
		assert.Equal(t, declined, c.want != outcome.ReasonNone)
		assert.Equal(t, reports.Load() == 1, declined)
	}
}
