package consensus

import (
	"fmt"
	"slices"
)

// log is the in-memory log: the entries after its base, the latest snapshot, and the indexes up to
// which entries are stored, committed, released and delivered to the caller.
type log struct {
	snapshot Snapshot
	// The base is the entry before entries[0]. Only its index and term are kept.
	baseIndex, baseTerm uint64
	entries             []Entry
	stored              uint64 // last index on stable storage
	commit              uint64 // last committed index
	released            uint64 // last committed index that may be applied and acknowledged, see releasable
	delivered           uint64 // last released index delivered to the caller to be applied
	// memberships holds the memberships that the log and the snapshot contain, oldest first. A
	// membership takes effect as soon as its entry is in the log.
	memberships []membershipAt
}

// membershipAt is a membership that takes effect at an index.
type membershipAt struct {
	index      uint64
	membership Membership
}

func newLog(s Stored) (*log, error) {
	l := &log{
		snapshot:    s.Snapshot,
		baseIndex:   s.Snapshot.Index,
		baseTerm:    s.Snapshot.Term,
		commit:      s.Snapshot.Index,
		released:    s.Snapshot.Index,
		delivered:   s.Snapshot.Index,
		memberships: []membershipAt{{s.Snapshot.Index, s.Snapshot.Membership}},
	}
	entries := s.Entries
	if len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
		l.baseIndex, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	l.entries = slices.Clone(entries)
	for i, e := range l.entries {
		if e.Index != l.baseIndex+1+uint64(i) {
			return nil, fmt.Errorf("consensus: stored log is not contiguous: found entry %d, expected entry %d", e.Index, l.baseIndex+1+uint64(i))
		}
		if e.Kind == EntryMembership && e.Index > s.Snapshot.Index {
			l.memberships = append(l.memberships, membershipAt{e.Index, e.Membership})
		}
	}
	if l.lastIndex() < s.Snapshot.Index {
		return nil, fmt.Errorf("consensus: stored log ends at %d, before its snapshot at %d", l.lastIndex(), s.Snapshot.Index)
	}
	l.stored = l.lastIndex()
	return l, nil
}

func (l *log) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of the entry at index. ok is false if the entry has been compacted or does
// not exist.
func (l *log) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index == l.snapshot.Index && index > 0:
		return l.snapshot.Term, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the log holds an entry with the given index and term.
func (l *log) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log whose last entry has the given index and term is at least as
// up to date as this one.
func (l *log) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// entriesFrom returns entries starting at index, up to a total size of maxBytes. It returns at least
// one entry if there is one, whatever its size.
func (l *log) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	bytes := 0
	for i, e := range rest {
		bytes += e.Size()
		if i > 0 && bytes > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries from lo to hi, inclusive.
func (l *log) entriesBetween(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex : hi-l.baseIndex]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Kind == EntryMembership {
			l.memberships = append(l.memberships, membershipAt{e.Index, e.Membership})
		}
	}
}

// appendAfterMatch appends the leader's entries, whose preceding entry matches this log. It drops
// entries of this log that conflict with them.
func (l *log) appendAfterMatch(entries []Entry) {
	for i, e := range entries {
		if e.Index <= l.baseIndex {
			continue
		}
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// truncate drops the entries from index on.
func (l *log) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: committed entry %d conflicts with the leader's log (commit index %d)", index, l.commit))
	}
	// Limiting the capacity makes the next append copy the slice, so entries that queued messages
	// still refer to are not overwritten.
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stored = min(l.stored, index-1)
	for l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// membership returns the active membership and the index of its entry.
func (l *log) membership() (Membership, uint64) {
	m := l.memberships[len(l.memberships)-1]
	return m.membership, m.index
}

// membershipsSince returns the membership that was active at index, followed by the later ones.
func (l *log) membershipsSince(index uint64) []membershipAt {
	i := len(l.memberships) - 1
	for i > 0 && l.memberships[i].index > index {
		i--
	}
	return l.memberships[i:]
}

// compact makes data the snapshot at index and drops the entries up to and including base.
func (l *log) compact(index, base uint64, data []byte) {
	term, _ := l.term(index)
	l.memberships = slices.Clone(l.membershipsSince(index))
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.memberships[0].membership, Data: data}
	if base <= l.baseIndex {
		return
	}
	baseTerm, _ := l.term(base)
	// The copy lets the garbage collector free the dropped entries.
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, baseTerm
}

// installSnapshot replaces the whole log with a snapshot.
func (l *log) installSnapshot(s Snapshot) {
	*l = log{
		snapshot:    s,
		baseIndex:   s.Index,
		baseTerm:    s.Term,
		stored:      s.Index,
		commit:      s.Index,
		released:    s.Index,
		delivered:   s.Index,
		memberships: []membershipAt{{s.Index, s.Membership}},
	}
}
