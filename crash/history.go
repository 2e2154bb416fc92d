package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// maxCrashesPerRequest bounds the number of crashes kept of one request.
const maxCrashesPerRequest = 8

// seenCrash is a crash that was reported.
type seenCrash struct {
	at       time.Time
	upstream fleet.UpstreamID
	// inFlight holds the requests that it interrupted, at most maxRunsPerCrash, while the crash is one of the
	// Tracker's latest.
	inFlight []Fingerprint
	// cause is the refused request that explains the crash, if any.
	cause *history
}

// interruption is a crash that interrupted runs of a request.
type interruption struct {
	*seenCrash
	fingerprint Fingerprint
	age         time.Duration // of the oldest run
	answeredAgo time.Duration // see Run
	// frequent says that these were several runs, and most of those that the crash interrupted.
	frequent bool
}

// history holds the crashes that interrupted a request and that no answer to it has followed.
type history struct {
	fingerprint Fingerprint
	crashes     []interruption // the latest at the end
	refused     bool
	expires     time.Time
}

// add adds a crash unless it is known already.
func (h *history) add(i interruption) {
	if slices.ContainsFunc(h.crashes, func(o interruption) bool { return o.seenCrash == i.seenCrash }) {
		return
	}
	if len(h.crashes) == maxCrashesPerRequest {
		if h.crashes[0].cause == h {
			h.crashes[0].cause = nil
		}
		h.crashes = slices.Delete(h.crashes, 0, 1)
	}
	h.crashes = append(h.crashes, i)
}

// frequent reports whether the request was most of what some upstream ran when it crashed.
func (h *history) frequent() bool {
	return slices.ContainsFunc(h.crashes, func(i interruption) bool { return i.frequent })
}

// latest returns the latest crash.
func (h *history) latest() interruption { return h.crashes[len(h.crashes)-1] }

// rounds returns the greatest number of crashes of which each interrupted a run that had begun after the one before.
// Upstreams that lose their power together interrupt runs that had begun before, while a request that crashes
// upstreams is mostly sent again after a crash.
func (h *history) rounds() int { return roundsOf(h.crashes) }

// unexplainedRounds returns the rounds without the crashes that a more likely cause explains.
func (h *history) unexplainedRounds() int {
	return roundsOf(slices.DeleteFunc(slices.Clone(h.crashes), func(i interruption) bool {
		return i.cause != nil && compare(i.cause, h) < 0
	}))
}

func roundsOf(crashes []interruption) (n int) {
	var end time.Time // of the latest round
	for _, c := range crashes {
		if began := c.at.Add(-c.age); n == 0 || !began.Before(end) {
			n++
			end = c.at
		}
	}
	return n
}

// upstreams returns the number of upstreams that crashed, at most 2.
func (h *history) upstreams() int {
	for _, c := range h.crashes {
		if c.upstream != h.crashes[0].upstream {
			return 2
		}
	}
	return 1
}

// release makes the request the cause of no crash.
func (h *history) release() {
	for _, c := range h.crashes {
		if c.cause == h {
			c.cause = nil
		}
	}
}

// compare orders the histories of requests that a crash interrupted by how likely they are its cause, the
// most likely first: by the number of rounds, and then by the longest run, since longer runs are in flight at more
// crashes by coincidence.
func compare(a, b *history) int {
	return cmp.Or(cmp.Compare(b.rounds(), a.rounds()), cmp.Compare(a.longestRun(), b.longestRun()))
}

// longestRun returns the age of the longest run that a crash interrupted.
func (h *history) longestRun() (longest time.Duration) {
	for _, c := range h.crashes {
		longest = max(longest, c.age)
	}
	return longest
}
