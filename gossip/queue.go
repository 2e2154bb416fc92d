package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// backlog is the length from which a queue counts a change that comes in again
// as sent, once for each multiple of backlog. The change is then known widely,
// and the queue holds more than fits one datagram.
const backlog = 16

// longBacklog is the length from which a node no longer relies on the queue alone;
// see compareTables. It is reached when many nodes start at once.
const longBacklog = 8 * backlog

// part names one part of a node's record. A queued change replaces an older
// one of the same part.
type part struct {
	node     fleet.NodeID
	kind     partKind
	upstream fleet.UpstreamID
}

type partKind uint8

const (
	partStatus partKind = iota
	partMeta
	partUpstream
)

// queued is a change that this node still sends to others.
type queued struct {
	part
	raw   cbor.RawMessage
	sends int // on probes and answers
	order uint64
	// urgent changes take capacity away from where others may send work.
	urgent bool
	// fresh changes have not been pushed.
	fresh bool
}

// queue holds changes until each was sent often enough. It holds at most one
// per part of the members known.
type queue struct {
	items  map[part]*queued
	order  uint64
	fresh  int // number of fresh changes
	urgent int // number of urgent changes
}

func newQueue() *queue { return &queue{items: map[part]*queued{}} }

// add queues a change, to be pushed.
func (q *queue) add(p part, r record, urgent bool) {
	q.remove(p)
	q.order++
	q.items[p] = &queued{part: p, raw: mustEncode(r), order: q.order, urgent: urgent, fresh: true}
	q.fresh++
	if urgent {
		q.urgent++
	}
}

func (q *queue) remove(p part) {
	if it := q.items[p]; it != nil {
		q.unfresh(it)
		if it.urgent {
			q.urgent--
		}
		delete(q.items, p)
	}
}

func (q *queue) unfresh(it *queued) {
	if it.fresh {
		it.fresh = false
		q.fresh--
	}
}

// removeIf removes the changes for which f is true.
func (q *queue) removeIf(f func(part) bool) {
	for p := range q.items {
		if f(p) {
			q.remove(p)
		}
	}
}

// duplicate notes that a change came in again.
func (q *queue) duplicate(p part, limit int) {
	it := q.items[p]
	if it == nil {
		return
	}
	// Urgent changes go before the others, which don't delay them.
	waiting := len(q.items)
	if it.urgent {
		waiting = q.urgent
	}
	if it.sends += waiting / backlog; it.sends >= limit {
		q.remove(p)
	}
}

// sorted returns the changes, the urgent ones first, then those sent least,
// then the newest.
func (q *queue) sorted(freshOnly bool) []*queued {
	if freshOnly && q.fresh == 0 {
		return nil
	}
	out := make([]*queued, 0, len(q.items))
	for _, it := range q.items {
		if it.fresh || !freshOnly {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *queued) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.order, a.order))
	})
	return out
}

// takeFresh returns fresh changes of room bytes at most, to be pushed.
func (q *queue) takeFresh(room int) []cbor.RawMessage {
	var out []cbor.RawMessage
	for _, it := range fitting(q.sorted(true), room) {
		out = append(out, it.raw)
		q.unfresh(it)
	}
	return out
}

// take returns changes of room bytes at most and counts them as sent. Changes
// that were sent limit times leave the queue.
func (q *queue) take(room, limit int) []cbor.RawMessage {
	var out []cbor.RawMessage
	for _, it := range fitting(q.sorted(false), room) {
		out = append(out, it.raw)
		if it.sends++; it.sends >= limit {
			q.remove(it.part)
		}
	}
	return out
}

// fitting returns those of list that fit a datagram with room bytes left.
func fitting(list []*queued, room int) []*queued {
	out := list[:0]
	for _, it := range list {
		if len(it.raw) <= room && len(out) < maxUpdates-1 {
			room -= len(it.raw)
			out = append(out, it)
		}
	}
	return out
}

// hasFresh reports whether a change waits for its push.
func (q *queue) hasFresh() bool { return q.fresh > 0 }

// freshUrgent reports whether an urgent change waits for its push.
func (q *queue) freshUrgent() bool {
	for _, it := range q.items {
		if it.fresh && it.urgent {
			return true
		}
	}
	return false
}

// settle leaves changes to probes: all, or those that are not urgent.
func (q *queue) settle(urgent bool) {
	for _, it := range q.items {
		if urgent || !it.urgent {
			q.unfresh(it)
		}
	}
}

// sizeLog grows with the logarithm of the number of nodes, from 1.
func sizeLog(nodes int) float64 { return max(1, math.Log2(float64(nodes+1))) }
