package announce

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
)

type sinkRecorder struct{ calls []string }

func (r *sinkRecorder) Announce(a Announcement)      { r.calls = append(r.calls, string(a.ID)) }
func (r *sinkRecorder) Withdraw(id fleet.UpstreamID) { r.calls = append(r.calls, "-"+string(id)) }

// Guards against delayed announcements that bring back an upstream which was withdrawn,
// has begun to drain, or whose address is used by a later upstream.
func TestOrderedDropsOldAnnouncements(t *testing.T) {
	r := &sinkRecorder{}
	o := NewOrdered(r, logging.Discard())
	announce := func(id string, startMs int64, sequence uint64, addr string) {
		o.Announce(Announcement{ID: fleet.UpstreamID(id), Addr: addr, StartMs: startMs, Sequence: sequence})
	}
	expectCalls := func(want ...string) {
		t.Helper()
		assert.DeepEqual(t, r.calls, want)
		r.calls = nil
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
	o := NewOrdered(r, logging.Discard())
	for sequence := range uint64(3) {
		o.Announce(Announcement{ID: "a", Addr: "x", Sequence: sequence + 1, WarmMs: int64(300 - sequence)})
	}
	assert.Equal(t, len(r.calls), 3)
	assert.Equal(t, o.known["a"].warmMs, int64(300))
}

// Guards against an upstream that has left and is in use again after a restart of the node: the node does
// not know the upstream any more when it is withdrawn, and a delayed announcement arrives afterwards.
func TestWithdrawalAfterRestartHolds(t *testing.T) {
	for _, startMs := range []int64{0, 1000} {
		r := &sinkRecorder{}
		o := NewOrdered(r, logging.Discard())
		o.Withdraw("a", startMs)
		o.Announce(Announcement{ID: "a", Addr: "x", StartMs: 1000, Sequence: 7})
		assert.DeepEqual(t, r.calls, []string{"-a"})
		o.Announce(Announcement{ID: "a", Addr: "x", StartMs: time.Now().UnixMilli() + 1, Sequence: 1})
		assert.DeepEqual(t, r.calls, []string{"-a", "a"})
	}
}
