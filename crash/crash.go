// Package crash identifies requests that crash the upstreams that run them. It does no
// I/O and reads no clock.
package crash

import (
	"container/list"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Fingerprint is a hash of a request's kind and content.
type Fingerprint uint64

const (
	// RetentionPeriod is how long the fingerprint of a request that was in flight at one crash is
	// kept.
	RetentionPeriod = 10 * time.Minute
	// RefusalPeriod is how long the fingerprint of a request that was in flight at crashes of
	// two upstreams is refused. The period starts again with each further crash.
	RefusalPeriod = 10 * time.Minute
	// ExemptionPeriod is how long a request is not blamed for crashes after it was answered.
	// Identical requests that many callers send, such as a GET without a query, are in
	// flight at most crashes by coincidence.
	ExemptionPeriod = time.Minute
	// maxFingerprints bounds the number of fingerprints kept. An upstream has only a few
	// slots, so this covers hundreds of crashes.
	maxFingerprints = 4096
)

// Crash is the crash of an upstream process with requests in flight.
type Crash struct {
	Upstream fleet.UpstreamID
	InFlight []Fingerprint
}

// Tracker keeps the fingerprints of requests that were in flight at crashes, both those
// of its own node and those that other nodes report. It is not safe for concurrent use.
type Tracker struct {
	entries  map[Fingerprint]*list.Element
	byExpiry *list.List // of *entry; the first to expire is at the front

	// exemptUntil holds, for each fingerprint answered lately, the time until which it is
	// not blamed for crashes.
	exemptUntil map[Fingerprint]time.Time
}

type entry struct {
	fingerprint Fingerprint
	upstream    fleet.UpstreamID // of the latest crash
	refused     bool
	expires     time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[Fingerprint]*list.Element{}, byExpiry: list.New(), exemptUntil: map[Fingerprint]time.Time{}}
}

// Report records a crash and returns those of its fingerprints that are now refused. If
// there are any, neither this crash nor the earlier one with the same request in flight is
// evidence about the health of the upstreams.
func (t *Tracker) Report(now time.Time, c Crash) (refused []Fingerprint) {
	t.expire(now)
	for _, f := range c.InFlight {
		if now.Before(t.exemptUntil[f]) {
			continue
		}
		element, found := t.entries[f]
		if !found {
			t.insert(&entry{fingerprint: f, upstream: c.Upstream, expires: now.Add(RetentionPeriod)})
			continue
		}
		e := element.Value.(*entry)
		e.refused = e.refused || e.upstream != c.Upstream
		e.upstream = c.Upstream
		e.expires = now.Add(max(RetentionPeriod, RefusalPeriod))
		t.byExpiry.MoveToBack(element)
		if e.refused {
			refused = append(refused, f)
		}
	}
	return refused
}

// Refused reports whether a request with the fingerprint must not run.
func (t *Tracker) Refused(now time.Time, f Fingerprint) bool {
	element, found := t.entries[f]
	if !found {
		return false
	}
	e := element.Value.(*entry)
	return e.refused && now.Before(e.expires)
}

// Completed records that a request with the fingerprint was answered. The fingerprint is
// then no longer refused, and is exempt from blame for the duration of ExemptionPeriod. This
// clears requests that were in flight at crashes by coincidence, as frequent requests are
// likely to be.
func (t *Tracker) Completed(now time.Time, f Fingerprint) {
	if element, found := t.entries[f]; found {
		t.remove(element)
	}
	if len(t.exemptUntil) >= maxFingerprints {
		t.dropExemptions(now)
	}
	t.exemptUntil[f] = now.Add(ExemptionPeriod)
}

// dropExemptions drops the exemptions that have expired, and all of them if at
// least maxFingerprints/2 would remain. Frequent requests soon become exempt again.
func (t *Tracker) dropExemptions(now time.Time) {
	for f, until := range t.exemptUntil {
		if !now.Before(until) {
			delete(t.exemptUntil, f)
		}
	}
	if len(t.exemptUntil) >= maxFingerprints/2 {
		clear(t.exemptUntil)
	}
}

// Explains reports whether one of the fingerprints is known to crash upstreams. A crash
// with that request in flight is no evidence about the upstream's health.
func (t *Tracker) Explains(now time.Time, inFlight []Fingerprint) bool {
	for _, f := range inFlight {
		if t.Refused(now, f) {
			return true
		}
	}
	return false
}

// Len returns the number of fingerprints kept, without exemptions.
func (t *Tracker) Len() int { return len(t.entries) }

func (t *Tracker) insert(e *entry) {
	if len(t.entries) >= maxFingerprints {
		t.remove(t.byExpiry.Front())
	}
	t.entries[e.fingerprint] = t.byExpiry.PushBack(e)
}

func (t *Tracker) remove(element *list.Element) {
	delete(t.entries, element.Value.(*entry).fingerprint)
	t.byExpiry.Remove(element)
}

// expire drops the fingerprints that have expired.
func (t *Tracker) expire(now time.Time) {
	for element := t.byExpiry.Front(); element != nil; element = t.byExpiry.Front() {
		if now.Before(element.Value.(*entry).expires) {
			return
		}
		t.remove(element)
	}
}
