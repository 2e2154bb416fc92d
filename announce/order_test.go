package announce

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
)

// sinkRecorder records its calls: the ID of an announced upstream, with a minus that of a withdrawn one.
type sinkRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (r *sinkRecorder) add(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

// recorded returns the calls since the last reset.
func (r *sinkRecorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

func (r *sinkRecorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = nil
}

func (r *sinkRecorder) Announce(a Announcement)      { r.add(string(a.ID)) }
func (r *sinkRecorder) Withdraw(id fleet.UpstreamID) { r.add("-" + string(id)) }

// Guards against delayed announcements that bring back an upstream which was withdrawn,
// has begun to drain, or whose address is used by a later upstream.
func TestOrderedDropsOldAnnouncements(t *testing.T) {
	r := &sinkRecorder{}
	o := NewOrdered(r, NoDepartures{}, VM{}, logging.Discard())
	announce := func(id string, startMs int64, sequence uint64, addr string) {
		o.Announce(Announcement{ID: fleet.UpstreamID(id), Addr: addr, StartMs: startMs, Sequence: sequence})
	}
	expectCalls := func(want ...string) {
		t.Helper()
		assert.DeepEqual(t, r.recorded(), want)
		r.reset()
	}
	announce("a", 10, 2, "x")
	announce("a", 10, 1, "x") // an earlier sequence number arrives late
	announce("a", 10, 2, "x") // duplicate
	expectCalls("a")
	announce("a", 20, 1, "x") // restarted under the same ID
	announce("a", 10, 9, "x") // an earlier incarnation
	expectCalls("-a", "a")
	announce("b", 30, 1, "x") // a later upstream uses the address
	announce("a", 20, 2, "x")
	expectCalls("-a", "b")
	o.Withdraw("b", 20) // an earlier incarnation
	expectCalls()
	o.Withdraw("b", 30)
	announce("b", 30, 2, "x") // arrives after the withdrawal
	expectCalls("-b")
	announce("b", 40, 1, "x")
	expectCalls("b")
}

// Guards against renewals that are dropped, which would keep an upstream out after the
// dispatcher has withdrawn it because it refused connections. Also, renewals must not
// restart the cold start: the first announced length counts.
func TestOrderedKeepsRenewals(t *testing.T) {
	r := &sinkRecorder{}
	o := NewOrdered(r, NoDepartures{}, VM{}, logging.Discard())
	for sequence := range uint64(3) {
		o.Announce(Announcement{ID: "a", Addr: "x", Sequence: sequence + 1, WarmMs: int64(300 - sequence)})
	}
	assert.Equal(t, len(r.recorded()), 3)
	assert.Equal(t, o.known["a"].warmMs, int64(300))
}

// Guards against an upstream that has left and is in use again after a restart of the node: the node does
// not know the upstream any more when it is withdrawn, and a delayed announcement arrives afterwards.
func TestWithdrawalAfterRestartHolds(t *testing.T) {
	for _, startMs := range []int64{0, 1000} {
		r := &sinkRecorder{}
		o := NewOrdered(r, NoDepartures{}, VM{}, logging.Discard())
		o.Withdraw("a", startMs)
		o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 7})
		assert.DeepEqual(t, r.recorded(), []string{"-a"})
		o.Announce(Announcement{ID: "a", Addr: "x", StartMs: time.Now().UnixMilli() + 1, Sequence: 1})
		assert.DeepEqual(t, r.recorded(), []string{"-a", "a"})
	}
}

// fakeDepartures is the memory of the other nodes.
type fakeDepartures struct {
	kept     []fleet.Departure
	recalled chan struct{}
	fail     error
}

func (f *fakeDepartures) RecordDeparture(_ context.Context, d fleet.Departure) error {
	if f.fail == nil {
		f.kept = append(f.kept, d)
	}
	return f.fail
}

func (f *fakeDepartures) RecallDepartures(apply func(fleet.Departure)) <-chan struct{} {
	for _, d := range f.kept {
		apply(d)
	}
	return f.recalled
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Guards against an upstream that has left or drains and is in use again after a restart of its node, since an
// announcement from before arrives late at the new process.
func TestLateAnnouncementAfterRestartIsDropped(t *testing.T) {
	for name, leave := range map[string]func(o *Ordered) error{
		"gone":          func(o *Ordered) error { return o.Withdraw("a", 0) },
		"gone, by name": func(o *Ordered) error { return o.Withdraw("a", 1000) },
		"draining": func(o *Ordered) error {
			return o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 9, Draining: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDepartures{recalled: closedChannel()}
			before := NewOrdered(&sinkRecorder{}, f, VM{}, logging.Discard())
			assert.NilError(t, before.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 7}))
			assert.NilError(t, leave(before))
			r := &sinkRecorder{}
			after := NewOrdered(r, f, VM{}, logging.Discard())
			late := Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 8}
			assert.NilError(t, after.Announce(late))
			assert.Equal(t, len(r.recorded()), 0)
			// A later process of the upstream under the same ID is not held back.
			assert.NilError(t, after.Announce(Announcement{ID: "a", Addr: "x", StartMs: 2000, Sequence: 1}))
			assert.Equal(t, r.recorded()[len(r.recorded())-1], "a")
		})
	}
}

// Guards against the same while the restarted node has not yet heard from others, and against upstreams that
// stay out of use if it never does.
func TestAnnouncementsWaitForRecall(t *testing.T) {
	for name, reached := range map[string]bool{"reached": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeDepartures{recalled: make(chan struct{})}
				r := &sinkRecorder{}
				o := NewOrdered(r, f, VM{}, logging.Discard())
				assert.NilError(t, o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 8}))
				assert.NilError(t, o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 7}))
				assert.NilError(t, o.Announce(Announcement{ID: "b", Addr: "y", StartMs: 1000, Sequence: 3}))
				synctest.Wait()
				assert.Equal(t, len(r.recorded()), 0)
				if reached {
					o.recall(fleet.Departure{Upstream: "a", StartMs: 1000, Sequence: 6, Gone: true})
					close(f.recalled)
					synctest.Wait()
					assert.DeepEqual(t, r.recorded(), []string{"b"})
					return
				}
				time.Sleep(recallTimeout + time.Millisecond)
				synctest.Wait()
				assert.Equal(t, len(r.recorded()), 2)
				// What is learned later still counts.
				o.recall(fleet.Departure{Upstream: "a", StartMs: 1000, Sequence: 6, Gone: true})
				assert.Equal(t, r.recorded()[len(r.recorded())-1], "-a")
			})
		})
	}
}

// Guards against an acknowledged departure that a restart of the node can forget: it is acknowledged only once
// other nodes keep it, and refused work meanwhile.
func TestDepartureIsAcknowledgedOnceKept(t *testing.T) {
	f := &fakeDepartures{recalled: closedChannel(), fail: context.DeadlineExceeded}
	r := &sinkRecorder{}
	o := NewOrdered(r, f, VM{}, logging.Discard())
	draining := Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 2, Draining: true}
	assert.NilError(t, o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 1}))
	assert.ErrorIs(t, o.Announce(draining), context.DeadlineExceeded)
	assert.DeepEqual(t, r.recorded(), []string{"a", "a"})
	f.fail = nil
	draining.Sequence++
	assert.NilError(t, o.Announce(draining))
	assert.Equal(t, len(f.kept), 1)
	draining.Sequence++
	assert.NilError(t, o.Announce(draining))
	assert.Equal(t, len(f.kept), 1, "the same departure was recorded again")
	assert.NilError(t, o.Withdraw("a", 0))
	assert.NilError(t, o.Withdraw("a", 0))
	assert.Equal(t, len(f.kept), 2)
}

// Guards against an upstream that stays out of use although it goes on to announce itself, since a withdrawal
// of its earlier process, which names no process, came late. Late announcements of one that has left must not
// bring it back.
func TestUnnamedWithdrawalOfAnEarlierProcess(t *testing.T) {
	for name, startMs := range map[string]int64{"unnamed": 0, "named": 2000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &sinkRecorder{}
				o := NewOrdered(r, NoDepartures{}, VM{}, logging.Discard())
				a := Announcement{ID: "a", Addr: "x", StartMs: 2000}
				announce := func() {
					a.Sequence++
					assert.NilError(t, o.Announce(a))
				}
				announce()
				assert.NilError(t, o.Withdraw("a", startMs))
				time.Sleep(maxDelay - time.Second)
				announce()
				assert.DeepEqual(t, r.recorded(), []string{"a", "-a"})
				time.Sleep(2 * time.Second)
				announce()
				want := []string{"a", "-a", "a"}
				if startMs != 0 {
					want = want[:2]
				}
				assert.DeepEqual(t, r.recorded(), want)
			})
		})
	}
}
