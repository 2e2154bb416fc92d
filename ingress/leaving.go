package ingress

import (
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/dispatch"
)

// leavingMargin covers the delay with which this node learns that another one is leaving, and the
// network round trip to the upstream.
const leavingMargin = 500 * time.Millisecond

// endsBeforeStop reports whether a request that is sent to u now ends before u's node stops, if that node is leaving.
// The dispatcher of that node knows when it stops and declines what it may not take.
func (in *Ingress) endsBeforeStop(v *board.View, u *board.Upstream, rq *request) bool {
	if u.LeavingSince.IsZero() {
		return true
	}
	stopAt := u.LeavingSince.Add(in.cfg.StopTime - leavingMargin)
	return dispatch.EndsInTime(rq.deadline, stopAt, u.Node == v.Self.ID)
}
