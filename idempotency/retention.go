package idempotency

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/wire"
)

// queue holds entries in the order of their last change. An item is stale, and skipped, if its
// entry has changed since or was forgotten.
type queue []queueItem

type queueItem struct {
	id  string
	seq uint64
}

func (q *queue) push(id string, seq uint64) { *q = append(*q, queueItem{id, seq}) }

// oldest drops the stale items at the head of a queue and returns its first entry, or nil.
func (t *Table) oldest(q *queue) (string, *entry) {
	for len(*q) > 0 {
		item := (*q)[0]
		if e := t.entries[item.id]; e != nil && e.Seq == item.seq {
			return item.id, e
		}
		*q = (*q)[1:]
	}
	*q = nil
	return "", nil
}

// addEntry returns a new entry, or nil if there is no room. In a full table, the least recently
// changed entry whose key has a readable creation time is forgotten and the floor is raised above
// that time, unless an attempt still holds the key.
func (t *Table) addEntry(k Key) *entry {
	if len(t.entries) >= t.cfg.MaxKeys && !t.makeRoom() {
		return nil
	}
	_, timed := t.createdAt(k)
	e := &entry{Key: k, Timed: timed}
	t.entries[k.id()] = e
	return e
}

func (t *Table) makeRoom() bool {
	id, e := t.oldest(&t.timed)
	if e == nil || e.Record == nil && e.Expires > t.now {
		return false
	}
	at, _ := t.createdAt(e.Key)
	t.floor = max(t.floor, at+1)
	t.forget(id, e)
	return true
}

func (t *Table) forget(id string, e *entry) {
	if e.Record != nil {
		t.answerBytes -= e.Record.answerBytes()
	}
	delete(t.entries, id)
}

// recordChange records that e has changed at the current time.
func (t *Table) recordChange(e *entry) {
	t.seq++
	e.Seq, e.Changed = t.seq, t.now
	t.enqueue(e)
	if e.Record == nil {
		return
	}
	t.answerBytes += e.Record.answerBytes()
	t.dropAnswers()
}

func (t *Table) enqueue(e *entry) {
	id := e.Key.id()
	if e.Timed {
		t.timed.push(id, e.Seq)
	} else {
		t.untimed.push(id, e.Seq)
	}
	if e.Record != nil && e.Record.answerBytes() > 0 {
		t.answers.push(id, e.Seq)
	}
}

// dropAnswers drops the oldest answers until the others fit into AnswerBytes.
func (t *Table) dropAnswers() {
	for t.answerBytes > t.cfg.AnswerBytes {
		_, e := t.oldest(&t.answers)
		if e == nil {
			return
		}
		t.answerBytes -= e.Record.answerBytes()
		// Results that were returned share the record, so a copy is modified.
		dropped := *e.Record
		dropped.dropAnswer()
		e.Record = &dropped
		t.answers = t.answers[1:]
	}
}

// tableState is the snapshot of a table.
type tableState struct {
	Config    TableConfig `cbor:"1,keyasint"`
	Now       int64       `cbor:"2,keyasint"`
	StartedAt int64       `cbor:"3,keyasint"`
	Floor     int64       `cbor:"4,keyasint"`
	Seq       uint64      `cbor:"5,keyasint"`
	Entries   []*entry    `cbor:"6,keyasint"` // ordered by Seq
}

// Snapshot implements consensus.StateMachine.
func (t *Table) Snapshot() ([]byte, error) {
	s := tableState{t.cfg, t.now, t.startedAt, t.floor, t.seq, make([]*entry, 0, len(t.entries))}
	for _, e := range t.entries {
		s.Entries = append(s.Entries, e)
	}
	slices.SortFunc(s.Entries, func(a, b *entry) int { return cmp.Compare(a.Seq, b.Seq) })
	b, err := wire.Encode(s)
	if err != nil {
		return nil, fmt.Errorf("idempotency: encode snapshot of the table: %w", err)
	}
	return b, nil
}

// Restore implements consensus.StateMachine.
func (t *Table) Restore(b []byte) error {
	var s tableState
	if err := wire.Decode(b, &s); err != nil {
		return fmt.Errorf("idempotency: decode snapshot of the table: %w", err)
	}
	*t = Table{cfg: s.Config, entries: make(map[string]*entry, len(s.Entries)), now: s.Now, startedAt: s.StartedAt, floor: s.Floor, seq: s.Seq}
	for _, e := range s.Entries {
		t.entries[e.Key.id()] = e
		t.enqueue(e)
		if e.Record != nil {
			t.answerBytes += e.Record.answerBytes()
		}
	}
	return nil
}
