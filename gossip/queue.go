package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// backlog is the length from which a queue counts a change that comes in again
// as sent. The change is then known widely, and the queue holds more than fits
// one datagram.
const backlog = 16

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
	sends int
	order uint64
	// urgent changes take capacity away from where others may send work.
	urgent bool
	// fresh changes have not been pushed.
	fresh bool
}

// queue holds changes until each was sent often enough. It holds at most one
// per part of the members known.
type queue struct {
	items map[part]*queued
	order uint64
	fresh int // number of fresh changes
}

func newQueue() *queue { return &queue{items: map[part]*queued{}} }

// add queues a change, to be pushed.
func (q *queue) add(p part, r record, urgent bool) {
	q.remove(p)
	q.order++
	q.items[p] = &queued{part: p, raw: mustEncode(r), order: q.order, urgent: urgent, fresh: true}
	q.fresh++
}

func (q *queue) remove(p part) {
	if it := q.items[p]; it != nil {
		q.unfresh(it)
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
	if it == nil || len(q.items) < backlog {
		return
	}
	if it.sends++; it.sends >= limit {
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

// take returns changes of room bytes at most and counts them as sent to a
// number of receivers. Changes that were sent limit times leave the queue.
func (q *queue) take(room int, freshOnly bool, receivers, limit int) []cbor.RawMessage {
	var out []cbor.RawMessage
	for _, it := range q.sorted(freshOnly) {
		if len(it.raw) > room || len(out) == maxUpdates {
			continue
		}
		room -= len(it.raw)
		out = append(out, it.raw)
		it.sends += receivers
		q.unfresh(it)
		if it.sends >= limit {
			q.remove(it.part)
		}
	}
	return out
}

// hasFresh reports whether a change waits for its push.
func (q *queue) hasFresh() bool { return q.fresh > 0 }

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
