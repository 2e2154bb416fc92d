package dispatch

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/outcome"
)

// crashReports receives the requests in flight at each crash that is reported.
type crashReports chan []InFlight

func (c crashReports) Refused(uint64) bool                                       { return false }
func (c crashReports) Crashed(_ fleet.UpstreamID, _ string, inFlight []InFlight) { c <- inFlight }
func (c crashReports) Completed(string, uint64)                                  {}

// Guards against a crash that goes unnoticed because the listener of the ending process closes a
// moment after its connections: the request would then be retried and crash other upstreams.
func TestListenerClosesAfterConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reports := make(crashReports, 1)
	d := New(Config{Log: logging.Discard(), Crashes: reports, Gone: func(fleet.UpstreamID, int64) {}})
	u := newUpstream(announce.Announcement{ID: "u", Service: "shop", Addr: ln.Addr().String(), Slots: 1}, &Protocol{})
	want := InFlight{42, time.Now()}
	u.running[1] = want
	assert.Assert(t, !d.checkCrash(u), "the listener still accepts connections")
	assert.NilError(t, ln.Close())
	select {
	case inFlight := <-reports:
		assert.DeepEqual(t, inFlight, []InFlight{want})
	case <-time.After(2 * time.Second):
		t.Fatal("no crash was reported")
	}
}

// Guards against the late end of an earlier process of an upstream that withdraws the present one.
func TestLateEndOfAnEarlierProcess(t *testing.T) {
	f := newFixture(t, nil, answerOK)
	earlier := f.upstreams["u"]
	f.Withdraw("u")
	f.Announce(f.announcement)
	f.withdrawGone(earlier)
	_, end := finish(t, begin(t, f, orderHead("a")))
	assert.Equal(t, end.Outcome, outcome.Answered)
}
