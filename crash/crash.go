// Package crash recognises requests that crash the upstreams that run them. It
// does no I/O and reads no clock.
package crash

import (
	"container/list"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Fingerprint is a hash of a request's kind and content.
type Fingerprint uint64

const (
	// Memory is how long a fingerprint seen at one crash is remembered.
	Memory = 10 * time.Minute
	// Refusal is how long a fingerprint seen at crashes of two upstreams is
	// refused. A later crash starts it again.
	Refusal = 10 * time.Minute
	// Clearance is how long a request that was answered is not blamed for a
	// crash. Requests that many callers send alike, such as a GET without a
	// query, are in flight at most crashes by chance.
	Clearance = time.Minute
	// maxFingerprints bounds the memory. An upstream has a few slots, so this
	// holds hundreds of crashes.
	maxFingerprints = 4096
)

// Crash is the end of an upstream process with requests in flight.
type Crash struct {
	Upstream fleet.UpstreamID
	InFlight []Fingerprint
}

// Tracker remembers which requests were in flight at crashes. It takes in the
// crashes of its own node and those that other nodes report. It is not safe
// for concurrent use.
type Tracker struct {
	entries map[Fingerprint]*list.Element
	order   *list.List // of *entry, the one that expires first in front

	// cleared holds until when fingerprints are not blamed.
	cleared map[Fingerprint]time.Time
}

type entry struct {
	fingerprint Fingerprint
	upstream    fleet.UpstreamID // of the latest crash
	refused     bool
	expires     time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[Fingerprint]*list.Element{}, order: list.New(), cleared: map[Fingerprint]time.Time{}}
}

// Report takes in a crash and returns the fingerprints that are refused because
// of it. If there are any, the crash, and the earlier one with the same
// request in flight, say nothing about the upstreams' health.
func (t *Tracker) Report(now time.Time, c Crash) (refused []Fingerprint) {
	t.expire(now)
	for _, f := range c.InFlight {
		if now.Before(t.cleared[f]) {
			continue
		}
		element, found := t.entries[f]
		if !found {
			t.insert(&entry{fingerprint: f, upstream: c.Upstream, expires: now.Add(Memory)})
			continue
		}
		e := element.Value.(*entry)
		e.refused = e.refused || e.upstream != c.Upstream
		e.upstream = c.Upstream
		e.expires = now.Add(max(Memory, Refusal))
		t.order.MoveToBack(element)
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

// Completed takes in that a request with the fingerprint was answered. It
// clears a request that was in flight at crashes by chance, as a frequent one
// is likely to be.
func (t *Tracker) Completed(now time.Time, f Fingerprint) {
	if element, found := t.entries[f]; found {
		t.remove(element)
	}
	if len(t.cleared) >= maxFingerprints {
		t.dropCleared(now)
	}
	t.cleared[f] = now.Add(Clearance)
}

// dropCleared makes room: it drops what is over, and everything if that is not
// enough. Frequent requests are back at once.
func (t *Tracker) dropCleared(now time.Time) {
	for f, until := range t.cleared {
		if !now.Before(until) {
			delete(t.cleared, f)
		}
	}
	if len(t.cleared) >= maxFingerprints/2 {
		clear(t.cleared)
	}
}

// Explains reports whether one of the fingerprints is known to crash
// upstreams, so that a crash with them in flight is no evidence.
func (t *Tracker) Explains(now time.Time, inFlight []Fingerprint) bool {
	for _, f := range inFlight {
		if t.Refused(now, f) {
			return true
		}
	}
	return false
}

// Len returns the number of fingerprints that are remembered.
func (t *Tracker) Len() int { return len(t.entries) }

func (t *Tracker) insert(e *entry) {
	if len(t.entries) >= maxFingerprints {
		t.remove(t.order.Front())
	}
	t.entries[e.fingerprint] = t.order.PushBack(e)
}

func (t *Tracker) remove(element *list.Element) {
	delete(t.entries, element.Value.(*entry).fingerprint)
	t.order.Remove(element)
}

// expire drops what is over from the front.
func (t *Tracker) expire(now time.Time) {
	for element := t.order.Front(); element != nil; element = t.order.Front() {
		if now.Before(element.Value.(*entry).expires) {
			return
		}
		t.remove(element)
	}
}
