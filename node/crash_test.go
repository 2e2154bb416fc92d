package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/crash"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// Guards against evidence that does not reach the other nodes: the ages of runs, without which upstreams that
// end at the same moment look like crashes one after the other, and answers, without which a proper
// request stays refused.
func TestCrashEvidenceReachesOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := newCrashTracker(nil)
		sent := 0
		c := newCrashTracker(func(_ string, _ link.FrameType, m any) {
			sent++
			payload, err := wire.Encode(m)
			assert.NilError(t, err)
			switch m.(type) {
			case wire.Crash:
				var got wire.Crash
				assert.NilError(t, wire.Decode(payload, &got))
				other.report(got)
			case wire.Survival:
				var got wire.Survival
				assert.NilError(t, wire.Decode(payload, &got))
				other.survived(got)
			}
		})
		began := time.Now()
		inFlight := func() []dispatch.InFlight { return []dispatch.InFlight{{Fingerprint: 1, Began: began}} }
		time.Sleep(time.Second)
		c.Crashed("a", "shop", inFlight())
		time.Sleep(10 * time.Millisecond)
		c.Crashed("b", "shop", inFlight())
		assert.Assert(t, !other.Refused(1), "the runs overlapped")
		began = time.Now()
		time.Sleep(10 * time.Millisecond)
		c.Crashed("d", "shop", inFlight())
		assert.Assert(t, other.Refused(1))

		c.Completed("shop", 1)
		c.Completed("shop", 1)
		time.Sleep(crash.MaxShareDelay)
		synctest.Wait()
		assert.Assert(t, !other.Refused(1))
		assert.Equal(t, sent, 4, "an answer is told once")
	})
}

// Guards against reports that an earlier version sends, which have no ages, or that are malformed.
func TestCrashReportOfEarlierVersion(t *testing.T) {
	c := newCrashTracker(nil)
	c.report(wire.Crash{Upstream: "a", Fingerprints: []uint64{1, 2}})
	c.report(wire.Crash{Upstream: "b", Fingerprints: []uint64{1}, Runs: []wire.InterruptedRun{{AgeMs: -1 << 62, AnsweredAgoMs: -5}, {}}})
	assert.Assert(t, c.Refused(1) && !c.Refused(2))
}
