// Package eventqueue orders the actions of a discrete-event simulation by their simulated time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds actions and when they happen, as a time since the start of the simulation. Actions at the same
// time are in the order in which they were pushed. The zero value is empty.
type Queue struct {
	events  eventHeap
	lastSeq uint64
}

// Push adds an action.
func (q *Queue) Push(at time.Duration, do func()) {
	q.lastSeq++
	heap.Push(&q.events, event{at, q.lastSeq, do})
}

// Pop removes and returns the next action and its time. ok is false if there is none.
func (q *Queue) Pop() (at time.Duration, do func(), ok bool) {
	if len(q.events) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&q.events).(event)
	return e.at, e.do, true
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
