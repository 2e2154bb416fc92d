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
	latestStart time.Time     // a later start would miss the deadline
	turn        time.Time     // orders tickets of a rank and caller
	turnDelay   time.Duration // from the offer of the ticket to its turn
	expiresAt   time.Time     // end of the maximum wait; latestStart at the latest
	queued      bool
	positions   [3]int // index in each heap, by heapKind
	// maxCost is the time that the ticket had left when it was offered. It bounds cost where that decides
	// whether the ticket can meet its deadline.
	maxCost time.Duration
}

// heapKind selects the element of entry.positions that a heap maintains.
type heapKind int

const (
	orderHeap heapKind = iota
	expiryHeap
	arrivalHeap
)

// workWeight is the delay of a ticket's turn after its latest start, as a multiple of its expected slot time.
const workWeight = 5

// byTurn orders tickets of a rank and caller by their loss to callers per slot time: tickets with little work precede
// those with much, and tickets with an early deadline precede those with a late one. Since the turn is the sum of
// both times, a ticket with much work is not preceded by all later ones with less work.
func byTurn(a, b *entry) bool {
	if !a.turn.Equal(b.turn) {
		return a.turn.Before(b.turn)
	}
	return bySequence(a, b)
}

func bySequence(a, b *entry) bool { return a.sequence < b.sequence }

// byLoss orders calls: more is lost with a call whose parent has completed more calls before.
func byLoss(a, b *entry) bool {
	switch {
	case a.ticket.CompletedCalls != b.ticket.CompletedCalls:
		return a.ticket.CompletedCalls > b.ticket.CompletedCalls
	case a.ticket.Loss != b.ticket.Loss:
		return a.ticket.Loss > b.ticket.Loss
	}
	return a.sequence < b.sequence
}

func byExpiry(a, b *entry) bool { return a.expiresAt.Before(b.expiresAt) }

// entryHeap is a heap of entries from which any entry can be removed.
type entryHeap struct{ h *heapItems }

type heapItems struct {
	items []*entry
	less  func(a, b *entry) bool
	kind  heapKind
}

func newEntryHeap(less func(a, b *entry) bool, kind heapKind) entryHeap {
	return entryHeap{&heapItems{less: less, kind: kind}}
}

func (h entryHeap) len() int        { return len(h.h.items) }
func (h entryHeap) min() *entry     { return h.h.items[0] }
func (h entryHeap) push(e *entry)   { heap.Push(h.h, e) }
func (h entryHeap) remove(e *entry) { heap.Remove(h.h, e.positions[h.h.kind]) }

// last returns the entry that orders last, or nil if the heap is empty. It scans all
// entries, which is acceptable because it is needed only when the queue is full, and
// the queue's length is bounded.
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
	h.items[i].positions[h.kind] = i
	h.items[j].positions[h.kind] = j
}

// Push implements heap.Interface.
func (h *heapItems) Push(x any) {
	e := x.(*entry)
	e.positions[h.kind] = len(h.items)
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
