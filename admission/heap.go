package admission

import (
	"container/heap"
	"time"
)

// entry is a queued ticket.
type entry struct {
	ticket      Ticket
	rank        *rank
	sequence    uint64        // order of arrival
	cost        time.Duration // estimated slot time
	start       time.Duration // tag in the rank's virtual time
	latestStart time.Time     // a later start misses the deadline
	giveUp      time.Time     // the end of the wait, latestStart at most
	served      bool
	positions   [2]int // in the heaps, by heapSlot
}

// before reports whether e is served before o in the fair order of a rank.
func (e *entry) before(o *entry) bool { return byStart(e, o) }

// heapSlot selects which of an entry's positions a heap maintains.
type heapSlot int

const (
	orderSlot heapSlot = iota
	expirySlot
)

func byStart(a, b *entry) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

func byGiveUp(a, b *entry) bool { return a.giveUp.Before(b.giveUp) }

// entryHeap is a heap of entries that can remove any of them.
type entryHeap struct{ h *heapItems }

type heapItems struct {
	items []*entry
	less  func(a, b *entry) bool
	slot  heapSlot
}

func newEntryHeap(less func(a, b *entry) bool, slot heapSlot) entryHeap {
	return entryHeap{&heapItems{less: less, slot: slot}}
}

func (h entryHeap) len() int        { return len(h.h.items) }
func (h entryHeap) min() *entry     { return h.h.items[0] }
func (h entryHeap) push(e *entry)   { heap.Push(h.h, e) }
func (h entryHeap) remove(e *entry) { heap.Remove(h.h, e.positions[h.h.slot]) }

// last returns the entry that would be served last, or nil. It looks at all
// entries: only a full queue asks, and its length is bounded.
func (h entryHeap) last() *entry {
	var last *entry
	for _, e := range h.h.items {
		if last == nil || h.h.less(last, e) {
			last = e
		}
	}
	return last
}

// Len implements heap.Interface.
func (h *heapItems) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *heapItems) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *heapItems) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].positions[h.slot] = i
	h.items[j].positions[h.slot] = j
}

// Push implements heap.Interface.
func (h *heapItems) Push(x any) {
	e := x.(*entry)
	e.positions[h.slot] = len(h.items)
	h.items = append(h.items, e)
}

// Pop implements heap.Interface.
func (h *heapItems) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return e
}
