package idempotency

import (
	"context"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// HandleStatus answers a stream that begins with wire.FrameGroupStatus. It is registered with link.Mux.
func (h *Host) HandleStatus(_ context.Context, s link.Stream, first link.Frame) {
	var q wire.GroupStatusRequest
	s.SetReadDeadline(time.Now().Add(readTimeout))
	if err := wire.Decode(first.Payload, &q); err != nil {
		h.log.Warn("cannot read request for a group's status", "peer", s.PeerName(), "error", err)
		s.Reset()
		return
	}
	if wire.Write(s, wire.FrameGroupStatus, h.Status(q)) != nil {
		s.Reset()
		return
	}
	s.Close()
}

// Status returns the status of this node's replica of a group.
func (h *Host) Status(q wire.GroupStatusRequest) wire.GroupStatus {
	h.reconcile() // so that a replica that is assigned at that generation runs, and an earlier one does not
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[q.Group]
	if g == nil || g.Epoch < q.Epoch || g.Epoch == q.Epoch && g.Generation < q.Generation {
		return wire.GroupStatus{}
	}
	out := wire.GroupStatus{Known: true}
	r := h.hosted[q.Group]
	if r == nil || r.name.epoch != q.Epoch {
		return out
	}
	status := r.replica.Status()
	out.Replica, out.HasLeader = r.name.id, status.Leader != 0
	out.LastIndex, out.LastTerm = status.Last, status.LastTerm
	for _, m := range status.Membership {
		if m.Voter {
			out.Voters = append(out.Voters, uint64(m.ID))
		}
	}
	return out
}
