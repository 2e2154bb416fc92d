package crash

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against a request that continues to crash upstreams, and against refusing one
// because a single upstream crashed repeatedly.
func TestRefusesAfterTwoUpstreams(t *testing.T) {
	tr := New()
	assert.Equal(t, len(tr.Report(start, Crash{"a", []Fingerprint{1, 2}})), 0)
	assert.Equal(t, len(tr.Report(start, Crash{"a", []Fingerprint{1, 2}})), 0)
	assert.Assert(t, !tr.Refused(start, 1))
	assert.DeepEqual(t, tr.Report(start, Crash{"b", []Fingerprint{3, 1}}), []Fingerprint{1})
	assert.Assert(t, tr.Refused(start, 1) && !tr.Refused(start, 2) && !tr.Refused(start, 3))
	assert.Assert(t, tr.Explains(start, []Fingerprint{9, 1}) && !tr.Explains(start, []Fingerprint{2, 3}))
	assert.Assert(t, !tr.Refused(start.Add(RefusalPeriod), 1))
}

// Guards against refusing a frequent request because it was in flight at unrelated
// crashes.
func TestAnswerClearsFingerprint(t *testing.T) {
	tr := New()
	tr.Report(start, Crash{"a", []Fingerprint{1}})
	tr.Completed(start, 1)
	assert.Equal(t, len(tr.Report(start, Crash{"b", []Fingerprint{1}})), 0)
}

// Guards against refusing a frequent request that was answered before the crashes. Such a
// request is in flight at both of them, and once it is refused, no answer can clear it.
func TestRecentlyAnsweredRequestIsNotBlamed(t *testing.T) {
	tr := New()
	tr.Completed(start, 1)
	tr.Report(start, Crash{"a", []Fingerprint{1, 2}})
	assert.DeepEqual(t, tr.Report(start, Crash{"b", []Fingerprint{1, 2}}), []Fingerprint{2})
	later := start.Add(ExemptionPeriod)
	tr.Report(later, Crash{"a", []Fingerprint{1}})
	assert.DeepEqual(t, tr.Report(later, Crash{"b", []Fingerprint{1}}), []Fingerprint{1})
}

// Guards against memory use that grows with the number of crashes, and against keeping
// expired fingerprints.
func TestMemoryIsBounded(t *testing.T) {
	tr := New()
	for f := range Fingerprint(3 * maxFingerprints) {
		tr.Report(start, Crash{"a", []Fingerprint{f}})
	}
	assert.Equal(t, tr.Len(), maxFingerprints)
	tr.Report(start.Add(RetentionPeriod), Crash{"a", []Fingerprint{1}})
	assert.Equal(t, tr.Len(), 1)
}
