// Package crash identifies requests that crash the upstreams that run them. It does no
// I/O and reads no clock.
package crash

import (
	"container/list"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Fingerprint is a hash of a request's kind and content.
type Fingerprint uint64

const (
	// RetentionPeriod is how long a request that was in flight at a crash is suspected, counted
	// from its latest crash.
	RetentionPeriod = 10 * time.Minute
	// RefusalPeriod is how long a request that is found to crash upstreams is refused. The period
	// starts again with each further crash.
	RefusalPeriod = 10 * time.Minute
	// ExemptionPeriod is how long an answer to a request raises the number of crashes for which it is
	// refused. Identical requests that many callers send, such as a GET without a query, are in
	// flight at most crashes by coincidence.
	ExemptionPeriod = time.Minute
	// unrelatedPeriod is how long before the first crash of a request the crashes without it count
	// as unrelated ones.
	unrelatedPeriod = time.Minute
	// sameCrashPeriod is the longest time between two reports of one crash. An upstream takes longer
	// to restart.
	sameCrashPeriod = time.Second
	// maxFingerprints bounds the number of histories, and of answered requests. An upstream has
	// only a few slots, so this covers hundreds of crashes.
	maxFingerprints = 4096
	// maxCrashes bounds the number of crashes kept.
	maxCrashes = 256
	// maxRunsPerCrash bounds the number of fingerprints kept of one crash.
	maxRunsPerCrash = 256
)

// MaxShareDelay bounds the random delay after which a node tells others of an answer to a suspected request,
// so that one node tells them in most cases.
const MaxShareDelay = time.Second

// Run is a run of a request that an upstream's crash interrupted.
type Run struct {
	Fingerprint Fingerprint
	// Age is how long the request was in flight.
	Age time.Duration
	// AnsweredAgo is how long before the report the reporting node last saw such a request
	// answered, or 0 if it has seen none.
	AnsweredAgo time.Duration
}

// Crash is the crash of an upstream process with requests in flight.
type Crash struct {
	Upstream fleet.UpstreamID
	InFlight []Run
}

// Tracker weighs which requests crash upstreams, by the crashes that its own node and other
// nodes report and by the requests that were answered. It is not safe for concurrent use.
type Tracker struct {
	histories map[Fingerprint]*list.Element
	byExpiry  *list.List   // of *history; the first to expire is at the front
	crashes   []*seenCrash // of the last RetentionPeriod
	answers   answers
	// unshared holds requests that this node has seen answered after crashes, for the other nodes.
	unshared map[Fingerprint]bool
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{histories: map[Fingerprint]*list.Element{}, byExpiry: list.New(), unshared: map[Fingerprint]bool{}}
}

// Report records a crash and returns those of its fingerprints that are now refused.
func (t *Tracker) Report(now time.Time, c Crash) (refused []Fingerprint) {
	t.expire(now)
	seen := t.record(now, &c)
	var suspects []*history
	for _, i := range interruptions(seen, &c) {
		if i.answeredAgo > 0 {
			t.answered(now.Add(-i.answeredAgo), i.fingerprint)
		}
		h := t.history(now, i.fingerprint)
		h.add(i)
		suspects = append(suspects, h)
	}
	slices.SortStableFunc(suspects, compare)
	for _, h := range suspects {
		t.weigh(now, h)
	}
	for _, h := range suspects {
		if h.refused {
			refused = append(refused, h.fingerprint)
		}
	}
	return refused
}

// interruptions returns what a crash interrupted, one for each fingerprint.
func interruptions(seen *seenCrash, c *Crash) (list []interruption) {
	index, runs := map[Fingerprint]int{}, map[Fingerprint]int{}
	for _, r := range c.InFlight {
		if runs[r.Fingerprint]++; runs[r.Fingerprint] == 1 {
			index[r.Fingerprint] = len(list)
			list = append(list, interruption{seenCrash: seen, fingerprint: r.Fingerprint, answeredAgo: r.AnsweredAgo})
		}
		i := &list[index[r.Fingerprint]]
		i.age = max(i.age, r.Age)
	}
	for i := range list {
		n := runs[list[i].fingerprint]
		list[i].frequent = n > 1 && 2*n > len(c.InFlight)
	}
	return list
}

// record adds a crash to the crashes seen, or its requests to the same crash as reported before: several requests
// that it interrupts may each cause a report.
func (t *Tracker) record(now time.Time, c *Crash) *seenCrash {
	i := slices.IndexFunc(t.crashes, func(o *seenCrash) bool { return o.upstream == c.Upstream && now.Sub(o.at) < sameCrashPeriod })
	if i < 0 {
		if len(t.crashes) == maxCrashes {
			t.dropCrashes(1)
		}
		t.crashes = append(t.crashes, &seenCrash{at: now, upstream: c.Upstream})
		i = len(t.crashes) - 1
	}
	seen := t.crashes[i]
	for _, r := range c.InFlight {
		if len(seen.inFlight) < maxRunsPerCrash && !slices.Contains(seen.inFlight, r.Fingerprint) {
			seen.inFlight = append(seen.inFlight, r.Fingerprint)
		}
	}
	return seen
}

// weigh decides whether a request is refused, as the cause of its crashes. Other requests are no longer
// refused for these.
func (t *Tracker) weigh(now time.Time, h *history) {
	if !h.refused && h.unexplainedRounds() < t.requiredRounds(now, h) {
		return
	}
	h.refused = true
	var others []*history
	for _, c := range h.crashes {
		if c.cause != nil && c.cause != h {
			others = append(others, c.cause)
		}
		c.cause = h
	}
	for _, other := range others {
		if other.unexplainedRounds() < t.requiredRounds(now, other) {
			other.refused = false
			other.release()
		}
	}
}

// Numbers of rounds in which a request must have crashed upstreams to be refused.
const (
	usualRounds       = 2
	doubtfulRounds    = 3 // before manyCrashes: others crash without it, or it was most of what an upstream ran
	oneUpstreamRounds = 4 // a single upstream crashed each time, which may itself be the cause
	answeredRounds    = 6 // it was answered within ExemptionPeriod
	// manyCrashes is the number of crashes from which usualRounds suffice whatever else crashes. A request that
	// crashes upstreams must run in at most three retries after the third crash.
	manyCrashes = 3
)

// requiredRounds returns in how many rounds a request must have crashed upstreams to be refused.
func (t *Tracker) requiredRounds(now time.Time, h *history) int {
	switch {
	case t.answers.since(h.fingerprint, now.Add(-ExemptionPeriod)):
		return answeredRounds
	case h.upstreams() == 1:
		return oneUpstreamRounds
	case len(h.crashes) < manyCrashes && (h.frequent() || t.hasUnrelatedCrash(h)):
		return doubtfulRounds
	}
	return usualRounds
}

// hasUnrelatedCrash reports whether, around the crashes of h, an upstream crashed without its request in flight and
// no refused request explains that.
func (t *Tracker) hasUnrelatedCrash(h *history) bool {
	since := h.crashes[0].at.Add(-unrelatedPeriod)
	return slices.ContainsFunc(t.crashes, func(c *seenCrash) bool {
		return c.cause == nil && !c.at.Before(since) && !slices.Contains(c.inFlight, h.fingerprint)
	})
}

// Refused reports whether a request with the fingerprint must not run.
func (t *Tracker) Refused(now time.Time, f Fingerprint) bool {
	element, found := t.histories[f]
	if !found {
		return false
	}
	h := element.Value.(*history)
	return h.refused && now.Before(h.expires)
}

// Completed records that an upstream of this node has answered a request with the fingerprint, which
// clears it. It reports whether the other nodes are to be told, after a random delay of up to MaxShareDelay,
// if TakeUnshared still says so then.
func (t *Tracker) Completed(now time.Time, f Fingerprint) (share bool) {
	if !t.answered(now, f) || t.unshared[f] {
		return false
	}
	if len(t.unshared) >= maxFingerprints {
		clear(t.unshared)
	}
	t.unshared[f] = true
	return true
}

// AnsweredElsewhere records that an upstream of another node answered such a request this long ago.
func (t *Tracker) AnsweredElsewhere(now time.Time, f Fingerprint, ago time.Duration) {
	t.answered(now.Add(-ago), f)
	delete(t.unshared, f)
}

// TakeUnshared reports whether this node has seen a suspected request answered of which no node has told the others,
// with the time since then, and marks it as told.
func (t *Tracker) TakeUnshared(now time.Time, f Fingerprint) (ago time.Duration, ok bool) {
	if !t.unshared[f] {
		return 0, false
	}
	delete(t.unshared, f)
	return t.AnsweredAgo(now, f), true
}

// AnsweredAgo returns how long ago such a request was last answered, at least 1 ms, or 0 if that was more
// than RetentionPeriod ago or is not known.
func (t *Tracker) AnsweredAgo(now time.Time, f Fingerprint) time.Duration {
	at, found := t.answers.last(f)
	if !found || now.Sub(at) > RetentionPeriod {
		return 0
	}
	return max(time.Millisecond, now.Sub(at))
}

// answered records that some upstream answered such a request at a time. It reports whether this clears the
// request: one that crashes upstreams is not answered after its crashes.
func (t *Tracker) answered(at time.Time, f Fingerprint) (cleared bool) {
	t.answers.add(at, f)
	element, found := t.histories[f]
	if !found || at.Before(element.Value.(*history).latest().at) {
		return false
	}
	t.remove(element)
	t.weighAgain(at, element.Value.(*history))
	return true
}

// weighAgain weighs the requests whose crashes a request explained that was then answered.
func (t *Tracker) weighAgain(now time.Time, answered *history) {
	if !answered.refused {
		return
	}
	for _, c := range answered.crashes {
		for _, f := range c.inFlight {
			if element, found := t.histories[f]; found {
				t.weigh(now, element.Value.(*history))
			}
		}
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

// Len returns the number of requests whose crashes are kept.
func (t *Tracker) Len() int { return len(t.histories) }

// history returns the history of a request, and extends its time.
func (t *Tracker) history(now time.Time, f Fingerprint) *history {
	element, found := t.histories[f]
	if !found {
		if len(t.histories) >= maxFingerprints {
			t.remove(t.byExpiry.Front())
		}
		element = t.byExpiry.PushBack(&history{fingerprint: f})
		t.histories[f] = element
	}
	t.byExpiry.MoveToBack(element)
	h := element.Value.(*history)
	h.expires = now.Add(max(RetentionPeriod, RefusalPeriod))
	return h
}

// remove drops the history of a request, which then no longer explains crashes.
func (t *Tracker) remove(element *list.Element) {
	h := element.Value.(*history)
	h.release()
	delete(t.histories, h.fingerprint)
	t.byExpiry.Remove(element)
}

// expire drops what has expired.
func (t *Tracker) expire(now time.Time) {
	expired := 0
	for expired < len(t.crashes) && now.Sub(t.crashes[expired].at) >= RetentionPeriod {
		expired++
	}
	t.dropCrashes(expired)
	for element := t.byExpiry.Front(); element != nil; element = t.byExpiry.Front() {
		if now.Before(element.Value.(*history).expires) {
			return
		}
		t.remove(element)
	}
}

// dropCrashes drops the first n crashes. Histories that still hold them do not need their requests.
func (t *Tracker) dropCrashes(n int) {
	for _, c := range t.crashes[:n] {
		c.inFlight = nil
	}
	t.crashes = slices.Delete(t.crashes, 0, n)
}
