package crash

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

var start = time.Unix(1_700_000_000, 0)

// crashOf returns a crash that interrupts runs which have just begun.
func crashOf(upstream fleet.UpstreamID, inFlight ...Fingerprint) Crash {
	c := Crash{Upstream: upstream}
	for _, f := range inFlight {
		c.InFlight = append(c.InFlight, Run{Fingerprint: f})
	}
	return c
}

// Guards against a request that continues to crash upstreams, and against refusing one
// because a single upstream crashed repeatedly.
func TestRefusesAfterTwoUpstreams(t *testing.T) {
	tr := New()
	assert.Equal(t, len(tr.Report(start, crashOf("a", 1, 2))), 0)
	assert.Equal(t, len(tr.Report(start, crashOf("a", 1, 2))), 0)
	assert.Assert(t, !tr.Refused(start, 1))
	assert.DeepEqual(t, tr.Report(start, crashOf("b", 3, 1)), []Fingerprint{1})
	assert.Assert(t, tr.Refused(start, 1) && !tr.Refused(start, 2) && !tr.Refused(start, 3))
	assert.Assert(t, tr.Explains(start, []Fingerprint{9, 1}) && !tr.Explains(start, []Fingerprint{2, 3}))
	assert.Assert(t, !tr.Refused(start.Add(RefusalPeriod), 1))
}

// Guards against refusing a frequent request because it was in flight at unrelated
// crashes.
func TestAnswerClearsFingerprint(t *testing.T) {
	tr := New()
	tr.Report(start, crashOf("a", 1))
	tr.Completed(start, 1)
	assert.Equal(t, len(tr.Report(start, crashOf("b", 1))), 0)
}

// Guards against refusing a frequent request that was answered before the crashes. Such a
// request is in flight at both of them, and once it is refused, no answer can clear it.
func TestRecentlyAnsweredRequestIsNotBlamed(t *testing.T) {
	tr := New()
	tr.Completed(start, 1)
	tr.Report(start, crashOf("a", 1, 2))
	assert.DeepEqual(t, tr.Report(start, crashOf("b", 1, 2)), []Fingerprint{2})
	later := start.Add(ExemptionPeriod)
	tr.Report(later, crashOf("a", 1))
	assert.DeepEqual(t, tr.Report(later, crashOf("b", 1)), []Fingerprint{1})
}

// Guards against refusing a request because upstreams that lose their power together all run it.
func TestCrashesAtOnceAreOneRound(t *testing.T) {
	tr := New()
	for i, upstream := range []fleet.UpstreamID{"a", "b", "c"} {
		at := start.Add(time.Duration(i) * time.Millisecond)
		assert.Equal(t, len(tr.Report(at, Crash{upstream, []Run{{Fingerprint: 1, Age: time.Second}}})), 0)
	}
	assert.DeepEqual(t, tr.Report(start.Add(time.Second), crashOf("d", 1)), []Fingerprint{1})
}

// Guards against blaming a request for two crashes while other upstreams crash without it, and against a request that
// crashes many because others crash as well.
func TestCrashesWithoutTheRequest(t *testing.T) {
	tr := New()
	tr.Report(start, crashOf("x", 9))
	for _, upstream := range []fleet.UpstreamID{"a", "b"} {
		assert.Equal(t, len(tr.Report(start, crashOf(upstream, 1))), 0)
	}
	assert.DeepEqual(t, tr.Report(start, crashOf("c", 1)), []Fingerprint{1})
}

// Guards against blaming a request for two crashes because it is most of what the upstreams run.
func TestFrequentRequestIsInFlightAtMostCrashes(t *testing.T) {
	tr := New()
	for _, upstream := range []fleet.UpstreamID{"a", "b"} {
		assert.Equal(t, len(tr.Report(start, crashOf(upstream, 1, 1, 2))), 0)
		tr.Completed(start, 2)
	}
	assert.DeepEqual(t, tr.Report(start, crashOf("c", 1)), []Fingerprint{1})
}

// Guards against blaming a proper request for the crashes that another one beside it causes, in either order of
// the reports.
func TestCrashesAreExplainedByOneRequest(t *testing.T) {
	const proper, crashing = 1, 2
	partial := func(u fleet.UpstreamID) Crash {
		return Crash{u, []Run{{Fingerprint: proper, Age: time.Second}}}
	}
	full := func(u fleet.UpstreamID) Crash {
		return Crash{u, []Run{{Fingerprint: proper, Age: time.Second}, {Fingerprint: crashing, Age: time.Millisecond}}}
	}
	tr := New()
	tr.Report(start, full("a"))
	later := start.Add(2 * time.Second)
	assert.DeepEqual(t, tr.Report(later, partial("b")), []Fingerprint{proper})
	assert.DeepEqual(t, tr.Report(later, full("b")), []Fingerprint{crashing})
	assert.Assert(t, !tr.Refused(later, proper))
}

// Guards against refusals of a request that other nodes have seen answered after the crashes: while they refuse it,
// they cannot see that for themselves.
func TestAnswerElsewhereClears(t *testing.T) {
	here, elsewhere := New(), New()
	for _, tr := range []*Tracker{here, elsewhere} {
		tr.Report(start, crashOf("a", 1))
		tr.Report(start, crashOf("b", 1))
	}
	later := start.Add(time.Second)
	assert.Assert(t, elsewhere.Completed(later, 1))
	ago, ok := elsewhere.TakeUnshared(later, 1)
	assert.Assert(t, ok)
	here.AnsweredElsewhere(later, 1, ago)
	assert.Assert(t, !here.Refused(later, 1))
	_, ok = elsewhere.TakeUnshared(later, 1)
	assert.Assert(t, !ok, "the answer is told twice")
}

// Guards against a request that crashes its only upstream again and again.
func TestOneUpstreamCrashesRepeatedly(t *testing.T) {
	tr := New()
	for i := range 4 {
		assert.Assert(t, !tr.Refused(start, 1))
		tr.Report(start.Add(time.Duration(i)*time.Minute/2), crashOf("a", 1))
	}
	assert.Assert(t, tr.Refused(start.Add(2*time.Minute), 1))
}

// Guards against memory use that grows with the number of crashes, and against keeping
// expired fingerprints.
func TestMemoryIsBounded(t *testing.T) {
	tr := New()
	for f := range Fingerprint(3 * maxFingerprints) {
		tr.Report(start, crashOf("a", f))
	}
	assert.Equal(t, tr.Len(), maxFingerprints)
	tr.Report(start.Add(RetentionPeriod), crashOf("a", 1))
	assert.Equal(t, tr.Len(), 1)
	for f := range Fingerprint(3 * maxFingerprints) {
		tr.Report(start.Add(RetentionPeriod), crashOf(fleet.UpstreamID(strconv.Itoa(int(f))), 1, f))
		tr.Completed(start.Add(RetentionPeriod), f)
	}
	assert.Equal(t, len(tr.crashes), maxCrashes)
	assert.Assert(t, len(tr.answers.recent)+len(tr.answers.older) <= maxFingerprints)
	assert.Assert(t, len(tr.unshared) <= maxFingerprints)
}
