package consensus

import (
	"fmt"
	"slices"
)

// log holds the entries after its base in memory, the snapshot, and how far
// entries are stored, committed and handed out.
type log struct {
	snapshot Snapshot
	// base is the entry before entries[0], of which only index and term are kept.
	baseIndex, baseTerm uint64
	entries             []Entry
	stored              uint64
	commit              uint64
	handed              uint64 // last committed index handed out to be applied
	// memberships holds the memberships in force from an index on, the oldest
	// first. An entry's membership is in force as soon as it is in the log.
	memberships []membershipAt
}

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
		handed:      s.Snapshot.Index,
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
			return nil, fmt.Errorf("consensus: stored log has entry %d where %d belongs", e.Index, l.baseIndex+1+uint64(i))
		}
		if e.Kind == EntryMembership && e.Index > s.Snapshot.Index {
			l.memberships = append(l.memberships, membershipAt{e.Index, e.Membership})
		}
	}
	if l.last() < s.Snapshot.Index {
		return nil, fmt.Errorf("consensus: stored log ends at %d, before its snapshot at %d", l.last(), s.Snapshot.Index)
	}
	l.stored = l.last()
	return l, nil
}

func (l *log) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of the entry at index. ok is false if the entry is
// compacted or not there.
func (l *log) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index == l.snapshot.Index && index > 0:
		return l.snapshot.Term, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *log) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with the given entry is at least as
// complete as this one.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// from returns entries from index on, at least one if there is one, and at most
// maxBytes otherwise.
func (l *log) from(index uint64, maxBytes int) []Entry {
	if index > l.last() {
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

// span returns the entries from lo to hi, both included.
func (l *log) span(lo, hi uint64) []Entry {
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

// merge appends entries that follow a matching entry, and drops entries of its
// own that conflict with them.
func (l *log) merge(entries []Entry) {
	for i, e := range entries {
		if e.Index <= l.baseIndex {
			continue
		}
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// truncate drops the entries from index on.
func (l *log) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: committed entry %d conflicts with the leader's log (commit %d)", index, l.commit))
	}
	// The capacity is cut so that entries that messages still refer to are not
	// overwritten.
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
	l.stored = min(l.stored, index-1)
	for l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// membership returns the membership in force and the index of its entry.
func (l *log) membership() (Membership, uint64) {
	m := l.memberships[len(l.memberships)-1]
	return m.membership, m.index
}

// membershipsSince returns the membership in force at index and the later ones.
func (l *log) membershipsSince(index uint64) []membershipAt {
	i := len(l.memberships) - 1
	for i > 0 && l.memberships[i].index > index {
		i--
	}
	return l.memberships[i:]
}

// compact makes data the snapshot at index and drops the entries up to base.
func (l *log) compact(index, base uint64, data []byte) {
	term, _ := l.term(index)
	l.memberships = slices.Clone(l.membershipsSince(index))
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.memberships[0].membership, Data: data}
	if base <= l.baseIndex {
		return
	}
	baseTerm, _ := l.term(base)
	// A copy lets the dropped entries be collected.
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, baseTerm
}

// install replaces the whole log by a snapshot.
func (l *log) install(s Snapshot) {
	*l = log{
		snapshot:    s,
		baseIndex:   s.Index,
		baseTerm:    s.Term,
		stored:      s.Index,
		commit:      s.Index,
		handed:      s.Index,
		memberships: []membershipAt{{s.Index, s.Membership}},
	}
}
