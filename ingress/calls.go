package ingress

import (
	"net/http"
	"strings"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/outcome"
)

// parentOf returns the run on this VM that made a request with an ID, or nil. Both parts of the ID may
// contain the separator; the longest ID of a running request counts.
func (in *Ingress) parentOf(id string) *dispatch.RunningRequest {
	separator := in.cfg.CallerProtocol.CallSeparator
	if in.cfg.Parent == nil || separator == "" {
		return nil
	}
	for end := strings.LastIndex(id, separator); end > 0; end = strings.LastIndex(id[:end], separator) {
		if p := in.cfg.Parent(id[:end]); p != nil {
			return p
		}
	}
	return nil
}

// parentKind returns the kind of the run that made the request, or "".
func (rq *request) parentKind() string {
	if rq.parent == nil {
		return ""
	}
	return rq.parent.Kind
}

// recordCall records that the request, if it is a call, begins.
func (in *Ingress) recordCall(rq *request) {
	if rq.parent != nil {
		in.stats.calls.Add(1)
		rq.parent.RecordCall(rq.service.Name)
	}
}

// recordCallEnd records that the request, if it is a call, ended with e and was answered with a status.
func (in *Ingress) recordCallEnd(rq *request, e outcome.Ended, status int) {
	if rq.parent == nil {
		return
	}
	if status < http.StatusInternalServerError && e.Outcome == outcome.Answered {
		rq.parent.RecordCompletedCall()
		return
	}
	label := rq.parent.Kind + "/" + rq.kind.Name + "/" + e.Outcome.String()
	if e.Reason != outcome.ReasonNone {
		label += "/" + string(e.Reason)
	}
	in.stats.callsFailed.Add(label, 1)
	if refusedForCapacity(e) {
		rq.parent.RecordNoRoom(rq.service.Name)
	}
}

// reportFailed records that the request has failed, before its caller is answered. The failure of a call is
// recorded for the run that made it.
func (in *Ingress) reportFailed(rq *request) {
	switch {
	case rq.parent != nil:
		rq.parent.RecordFailedCall()
	case in.cfg.Failed != nil:
		in.cfg.Failed(rq.began)
	}
}
