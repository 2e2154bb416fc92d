package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/reqbody"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// A request that an upstream fails at once has used no capacity, for example one that tests whether
// the upstream has recovered. Its next attempt must not queue behind all first attempts.
func TestShortRunIsNoLoad(t *testing.T) {
	answered := outcome.Ended{Outcome: outcome.Answered}
	for _, c := range []struct {
		name         string
		e            outcome.Ended
		end          *wire.AnswerEnd
		usedCapacity bool
	}{
		{"failed at once", answered, &wire.AnswerEnd{ServedMs: 2}, false},
		{"lost at once", outcome.MayHaveRun(outcome.ReasonLostUpstream), &wire.AnswerEnd{ServedMs: 2}, false},
		{"failed after work", answered, &wire.AnswerEnd{ServedMs: 300}, true},
		{"lost with its dispatcher", outcome.MayHaveRun(outcome.ReasonLostDispatcher), nil, true},
		{"shed", outcome.HasNotRun(outcome.ReasonShed), &wire.AnswerEnd{}, true},
		{"declined", outcome.HasNotRun(outcome.ReasonBusy), &wire.AnswerEnd{}, false},
	} {
		h := &requestHandler{view: &board.View{}}
		h.recordAttempt(&board.Upstream{}, c.e, c.end)
		assert.Equal(t, h.usedCapacity, c.usedCapacity, c.name)
	}
}

// homeAndRemote returns a handler of a request of a service with four upstreams in each of two regions.
func homeAndRemote() *requestHandler {
	v := &board.View{Self: fleet.Node{Region: "home"}, Upstreams: map[string][]board.Upstream{}}
	for i, region := range []string{"home", "home", "home", "home", "remote", "remote", "remote", "remote"} {
		u := board.Upstream{Region: region}
		u.ID, u.Slots = fleet.UpstreamID(region+string(rune('0'+i))), 3
		v.Upstreams["shop"] = append(v.Upstreams["shop"], u)
	}
	in := New(Config{Log: logging.Discard(), View: func() *board.View { return v }})
	rq := &request{service: &resource.Service{Meta: resource.Meta{Name: "shop"}}, kind: &resource.RequestKind{}, body: &reqbody.Body{}}
	return &requestHandler{in: in, view: v, rq: rq}
}

// pickAll makes attempts that are all declined until one insists, and returns the regions in order.
func (h *requestHandler) pickAll(now time.Time, reason outcome.Reason, load wire.Load) []string {
	var regions []string
	for {
		u, _ := h.pick(now)
		h.attempts++
		regions = append(regions, u.Region)
		if h.insists() {
			return regions
		}
		entry := h.in.loads.entry(u.ID)
		entry.begin()
		end := &wire.AnswerEnd{Load: load}
		entry.finish(end, now)
		h.recordAttempt(u, outcome.HasNotRun(reason), end)
	}
}

// Guards against a request that has to run at an upstream which is known to fail, while upstreams of
// another region were not asked. Load: all upstreams of the home region fail, and those of the other
// region fail as well or have room.
func TestOtherRegionIsAskedBeforeFailingUpstreams(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	failing := wire.Load{Slots: 3, FailingPercent: 90, Suspect: true}
	regions := homeAndRemote().pickAll(now, outcome.ReasonUnhealthy, failing)
	assert.DeepEqual(t, regions[:5], []string{"home", "home", "home", "home", "remote"})
	assert.Equal(t, len(regions), retry.MaxAttempts)
}

// Guards against attempts that cross regions only because the home region is busy: the request queues
// at the shortest queue there.
func TestBusyRegionIsNotLeft(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	busy := wire.Load{Slots: 3, SlotsInUse: 3, Queued: 1, FailingPercent: 2}
	regions := homeAndRemote().pickAll(now, outcome.ReasonBusy, busy)
	assert.DeepEqual(t, regions, []string{"home", "home", "home", "home"})
}

// Guards against upstreams of leaving nodes that get requests which may outlast the stop, or none at all.
func TestLeavingNodeTakesRequestsThatEndInTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	h := homeAndRemote()
	h.in.cfg.StopTime = 5 * time.Second
	list := h.view.Upstreams["shop"]
	for i := range list {
		list[i].Node, list[i].LeavingSince = "other", now
	}
	picked := func(deadline time.Duration) bool {
		h.rq.deadline = now.Add(deadline)
		u, _ := h.pick(now)
		return u != nil
	}
	for _, idempotent := range []bool{false, true} {
		h.rq.kind = &resource.RequestKind{Meta: resource.Meta{Name: "list"}, Idempotent: idempotent}
		assert.Assert(t, picked(4*time.Second))
		assert.Assert(t, !picked(5*time.Second), "its deadline is within the margin")
		assert.Assert(t, !picked(10*time.Second))
	}
	h.in.cfg.StopTime = 0
	assert.Assert(t, !picked(time.Second))
	h.view.Self.ID = "other"
	assert.Assert(t, picked(10*time.Second), "a request of the leaving node itself does not go to its own upstreams")
}

// Guards against attempts at leaving nodes whose dispatchers decline them: the last run of a request is like one that
// must not run twice. Each of them takes one of the few attempts of the request.
func TestLastRunGoesToNoNodeThatDeclinesIt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	h := homeAndRemote()
	h.in.cfg.StopTime = 5 * time.Second
	list := h.view.Upstreams["shop"]
	for i := range list {
		list[i].Node, list[i].LeavingSince = "other", now
	}
	h.rq.kind = &resource.RequestKind{Meta: resource.Meta{Name: "list"}, Idempotent: true, MaxAttempts: 2}
	h.rq.deadline = now.Add(10 * time.Second)
	h.runs = 1
	assert.Assert(t, h.lastRun(now))
	u, _ := h.pick(now)
	assert.Assert(t, u == nil, "a request goes to a node that will decline it")
}

// Guards against a request that was handed back by a stopping node and gets no other attempt, since upstreams had declined
// it before.
func TestHandedBackRequestHasAttemptsLeft(t *testing.T) {
	h := homeAndRemote()
	u := &h.view.Upstreams["shop"][0]
	for range insistAfter {
		h.attempts++
		h.recordAttempt(u, outcome.HasNotRun(outcome.ReasonBusy), nil)
	}
	h.attempts = retry.MaxAttempts
	h.recordAttempt(u, outcome.MayHaveRun(outcome.ReasonStopped), &wire.AnswerEnd{RetryGranted: true})
	assert.Equal(t, h.countedAttempts(), 0)
	assert.Assert(t, !h.insists(), "upstreams that declined before may have room now")
	h.answer, h.rq.kind.Idempotent, h.rq.deadline = &answer{}, true, time.Now().Add(time.Minute)
	assert.Assert(t, h.shouldRetry(h.in.retriesOf("shop"), outcome.MayHaveRun(outcome.ReasonStopped)))
}
