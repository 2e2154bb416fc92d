// Package credential decides whether a node may still trust the keys of customers in its configuration. It does
// no I/O and starts no goroutines; all functions but Now take the time as a parameter.
package credential

import (
	"slices"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// Instant is a reading of the clock of Now.
type Instant time.Duration

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Proof says that at the time At, each change that control had acknowledged was part of Version.
type Proof struct {
	Version resource.Version
	At      Instant
}

// coveredBy reports whether a node that has q needs no p: q holds for as low a version, and longer.
func (p Proof) coveredBy(q Proof) bool { return !p.Version.Less(q.Version) && p.At <= q.At }

// maxProofs bounds the proofs that a Lease keeps. There is one for each version that control has named and this
// node does not have in force yet, and one for the version in force.
const maxProofs = 16

// Lease holds the newest proofs of a node. Its zero value has none. A proof of a version above that in force is
// kept until the node has that version; meanwhile an earlier proof may still hold.
type Lease struct {
	// proofs are ordered by version and by time. None is covered by another one.
	proofs []Proof
}

// Record adds a proof. It returns false if an earlier one covers it.
func (l *Lease) Record(p Proof) bool {
	if slices.ContainsFunc(l.proofs, p.coveredBy) {
		return false
	}
	l.proofs = slices.DeleteFunc(l.proofs, func(q Proof) bool { return q.coveredBy(p) })
	i := 0
	for i < len(l.proofs) && l.proofs[i].Version.Less(p.Version) {
		i++
	}
	l.proofs = slices.Insert(l.proofs, i, p)
	if len(l.proofs) > maxProofs {
		// The proof of the lowest version may be in force, and that of the highest is the one to pass on.
		l.proofs = slices.Delete(l.proofs, len(l.proofs)-2, len(l.proofs)-1)
	}
	return true
}

// ProvenAt returns the last time at which the configuration of version v, or one that it contains, is known to
// have been the newest. ok is false if that is not known of any time.
func (l *Lease) ProvenAt(v resource.Version) (at Instant, ok bool) {
	for _, p := range slices.Backward(l.proofs) {
		if !v.Less(p.Version) {
			return p.At, true
		}
	}
	return 0, false
}

// Valid reports whether a request that arrives now may be served from the configuration of version v: each change
// that was acknowledged more than bound ago is part of v.
func (l *Lease) Valid(now Instant, bound time.Duration, v resource.Version) bool {
	at, ok := l.ProvenAt(v)
	return ok && now >= at && now.Sub(at) <= bound
}

// Newest returns the last proof. ok is false if there is none.
func (l *Lease) Newest() (p Proof, ok bool) {
	if len(l.proofs) == 0 {
		return Proof{}, false
	}
	return l.proofs[len(l.proofs)-1], true
}
