package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

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
	// fresh changes have not been pushed.
	fresh bool
}

// queue holds changes until each was sent often enough. It holds at most one
// per part of the members known.
type queue struct {
	items map[part]*queued
	order uint64
}

func newQueue() *queue { return &queue{items: map[part]*queued{}} }

func (q *queue) add(p part, r record, fresh bool) {
	q.order++
	q.items[p] = &queued{part: p, raw: mustEncode(r), order: q.order, fresh: fresh}
}

// dropNode removes all changes of a node.
func (q *queue) dropNode(id fleet.NodeID) {
	for p := range q.items {
		if p.node == id {
			delete(q.items, p)
		}
	}
}

// sorted returns the changes, those sent least first, then the newest.
func (q *queue) sorted(freshOnly bool) []*queued {
	out := make([]*queued, 0, len(q.items))
	for _, it := range q.items {
		if it.fresh || !freshOnly {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *queued) int {
		if n := cmp.Compare(a.sends, b.sends); n != 0 {
			return n
		}
		return cmp.Compare(b.order, a.order)
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
		it.fresh = false
		if it.sends >= limit {
			delete(q.items, it.part)
		}
	}
	return out
}

// hasFresh reports whether a change waits for its push.
func (q *queue) hasFresh() bool {
	for _, it := range q.items {
		if it.fresh {
			return true
		}
	}
	return false
}

// settle leaves all changes to probes.
func (q *queue) settle() {
	for _, it := range q.items {
		it.fresh = false
	}
}

// sizeLog grows with the logarithm of the number of nodes, from 1.
func sizeLog(nodes int) float64 { return max(1, math.Log2(float64(nodes+1))) }
