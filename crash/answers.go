package crash

import "time"

// answers holds when requests were last answered. When recent is full it becomes older, so that frequent requests
// are kept whatever the number of others.
type answers struct{ recent, older map[Fingerprint]time.Time }

func (a *answers) add(at time.Time, f Fingerprint) {
	if last, found := a.last(f); found && last.After(at) {
		return
	}
	if a.recent == nil || len(a.recent) >= maxFingerprints/2 {
		a.older, a.recent = a.recent, map[Fingerprint]time.Time{}
	}
	a.recent[f] = at
}

// last returns when a request with the fingerprint was last answered.
func (a *answers) last(f Fingerprint) (at time.Time, found bool) {
	if at, found = a.recent[f]; !found {
		at, found = a.older[f]
	}
	return at, found
}

// since reports whether such a request was answered after a time.
func (a *answers) since(f Fingerprint, start time.Time) bool {
	at, found := a.last(f)
	return found && at.After(start)
}
