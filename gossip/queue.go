package gossip

import (
	"cmp"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/fleet"
)

// backlog is the queue length from which a change that is received again counts as sent, once for
// each multiple of backlog. Such a change is already widely known, and the queue holds more than
// one datagram can carry.
const backlog = 16

// longBacklog is the queue length from which a node requests repairs even while its table keeps
// changing; see compareTables. It is reached when many nodes start at once.
const longBacklog = 8 * backlog

// recordPart identifies one part of a node's record. A queued change replaces an older change of
// the same part.
type recordPart struct {
	node     fleet.NodeID
	kind     partKind
	upstream fleet.UpstreamID
}

type partKind uint8

const (
	partStatus partKind = iota
	partMeta
	partUpstream
	partDeparture
)

// queuedChange is a change that this node still has to send to others.
type queuedChange struct {
	recordPart
	raw   cbor.RawMessage
	sends int // times that it was sent on probes and acks
	seq   uint64
	// urgent marks a change that removes capacity to which others may be sending work.
	urgent bool
	// fresh marks a change that waits to be pushed.
	fresh bool
	// reach limits the nodes to which this node sends the change on probes and acks. If all nodes sent it to
	// all others, most traffic between failure domains and regions would be changes that are known there already.
	reach reach
}

// reach is a set of nodes around this one. Each value includes the smaller ones.
type reach uint8

const (
	reachDomain reach = iota // nodes of its failure domain
	reachRegion              // nodes of its region
	reachFleet               // all nodes
)

// queue holds each change until it has been sent often enough. It holds at most one change per
// record part.
type queue struct {
	items   map[recordPart]*queuedChange
	lastSeq uint64
	fresh   int // number of fresh changes
	urgent  int // number of urgent changes
}

func newQueue() *queue { return &queue{items: map[recordPart]*queuedChange{}} }

// add queues a fresh change.
func (q *queue) add(p recordPart, r record, urgent bool, to reach) {
	q.remove(p)
	q.lastSeq++
	q.items[p] = &queuedChange{recordPart: p, raw: mustEncode(r), seq: q.lastSeq, urgent: urgent, fresh: true, reach: to}
	q.fresh++
	if urgent {
		q.urgent++
	}
}

func (q *queue) remove(p recordPart) {
	if it := q.items[p]; it != nil {
		q.clearFresh(it)
		if it.urgent {
			q.urgent--
		}
		delete(q.items, p)
	}
}

func (q *queue) clearFresh(it *queuedChange) {
	if it.fresh {
		it.fresh = false
		q.fresh--
	}
}

// removeIf removes the changes for which f returns true.
func (q *queue) removeIf(f func(recordPart) bool) {
	for p := range q.items {
		if f(p) {
			q.remove(p)
		}
	}
}

// noteDuplicate notes that a queued change was received again.
func (q *queue) noteDuplicate(p recordPart, limit int) {
	it := q.items[p]
	if it == nil {
		return
	}
	// Urgent changes are sent before all others, so only the urgent ones count as their backlog.
	waiting := len(q.items)
	if it.urgent {
		waiting = q.urgent
	}
	if it.sends += waiting / backlog; it.sends >= limit {
		q.remove(p)
	}
}

// sorted returns the changes in the order of sending: urgent ones first, then by the number of
// times sent, then the newest first.
func (q *queue) sorted(freshOnly bool) []*queuedChange {
	if freshOnly && q.fresh == 0 {
		return nil
	}
	out := make([]*queuedChange, 0, len(q.items))
	for _, it := range q.items {
		if it.fresh || !freshOnly {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *queuedChange) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.seq, a.seq))
	})
	return out
}

// takeFresh returns fresh changes of at most room bytes in total, and marks them as pushed.
func (q *queue) takeFresh(room int) []cbor.RawMessage {
	var out []cbor.RawMessage
	for _, it := range fitting(q.sorted(true), room) {
		out = append(out, it.raw)
		q.clearFresh(it)
	}
	return out
}

// take returns changes of at most room bytes in total and counts them as sent. Changes that have
// been sent limit times are removed. Changes with a smaller reach than needed are left out.
func (q *queue) take(room, limit int, needed reach) []cbor.RawMessage {
	list := slices.DeleteFunc(q.sorted(false), func(it *queuedChange) bool { return it.reach < needed })
	var out []cbor.RawMessage
	for _, it := range fitting(list, room) {
		out = append(out, it.raw)
		if it.sends++; it.sends >= limit {
			q.remove(it.recordPart)
		}
	}
	return out
}

// fitting returns the changes of list that together fit into room bytes. It reuses list's array.
func fitting(list []*queuedChange, room int) []*queuedChange {
	out := list[:0]
	for _, it := range list {
		if len(it.raw) <= room && len(out) < maxUpdates-1 {
			room -= len(it.raw)
			out = append(out, it)
		}
	}
	return out
}

// hasFresh reports whether any change waits to be pushed.
func (q *queue) hasFresh() bool { return q.fresh > 0 }

// freshUrgent reports whether any urgent change waits to be pushed.
func (q *queue) freshUrgent() bool {
	for _, it := range q.items {
		if it.fresh && it.urgent {
			return true
		}
	}
	return false
}

// leaveToProbes cancels the push of all changes, or of those that are not urgent. They are still
// sent on probes.
func (q *queue) leaveToProbes(includeUrgent bool) {
	for _, it := range q.items {
		if includeUrgent || !it.urgent {
			q.clearFresh(it)
		}
	}
}

// sizeLog returns log2(nodes+1), but at least 1. Timeouts and retransmissions scale with it.
func sizeLog(nodes int) float64 { return max(1, math.Log2(float64(nodes+1))) }
