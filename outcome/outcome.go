// Package outcome defines how an attempt at a request, or the request itself,
// can end. The outcome alone decides whether another attempt is safe.
package outcome

// Outcome is the result of an attempt or a request.
type Outcome uint8

const (
	// Unknown means the request may have run. It is the zero value, so that a
	// missing outcome is never taken for a safe one.
	Unknown Outcome = iota
	// Answered means the whole answer arrived, bound to this request.
	Answered
	// NotRun means the request has not run and will not run.
	NotRun
)

// String returns the outcome as it is written in the Godwithub-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Parse returns the outcome written as s. Text it does not know is Unknown.
func Parse(s string) Outcome {
	switch s {
	case "answered":
		return Answered
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

// Reason says why a request was not run or why its outcome is unknown. It is
// written in the Godwithub-Reason header.
type Reason string

// Reasons of NotRun.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad-request"       // malformed request; the message names the field
	ReasonNoRoute         Reason = "no-route"          // no service for host and path
	ReasonNoKind          Reason = "no-kind"           // the service has no request kind for method and path
	ReasonTooLarge        Reason = "too-large"         // header or body over the limit
	ReasonNoUpstream      Reason = "no-upstream"       // no usable upstream is known
	ReasonDraining        Reason = "draining"          // the upstream or the node is leaving
	ReasonUpstreamGone    Reason = "upstream-gone"     // the upstream is not registered at its node
	ReasonShed            Reason = "shed"              // refused by rank during overload
	ReasonRateLimited     Reason = "rate-limited"      // the caller is over its rate
	ReasonDeadline        Reason = "deadline"          // the deadline could not be met
	ReasonPathDown        Reason = "path-down"         // the dispatcher could not be reached
	ReasonConnect         Reason = "connect-failed"    // no connection to the upstream
	ReasonBusy            Reason = "busy"              // no slot of the upstream is free
	ReasonUnhealthy       Reason = "unhealthy"         // the upstream fails its work at present
	ReasonUpstreamShed    Reason = "upstream-shed"     // the upstream refused the work before running it
	ReasonFenced          Reason = "fenced"            // a fence for the key came before the claim
	ReasonClaimFailed     Reason = "claim-unavailable" // no majority to claim the key
	ReasonCrashing        Reason = "crashing"          // the request is known to crash upstreams
	ReasonNoConfiguration Reason = "no-configuration"  // the node has no configuration yet
	ReasonCanceled        Reason = "canceled"          // the caller went away before dispatch
	ReasonInternal        Reason = "internal"          // a fault of the proxy before dispatch
)

// Reasons of Unknown.
const (
	ReasonLostUpstream   Reason = "lost-upstream"   // the connection to the upstream broke after sending
	ReasonLostDispatcher Reason = "lost-dispatcher" // the link to the dispatcher broke after the acknowledgement
	ReasonShortAnswer    Reason = "short-answer"    // the answer ended before its announced length
	ReasonLateAnswer     Reason = "late-answer"     // no answer by the deadline
	ReasonHeldByOther    Reason = "held-by-other"   // another attempt holds the key
	ReasonAnswerGone     Reason = "answer-gone"     // the request has run, but its answer was not kept
	ReasonOldKey         Reason = "old-key"         // the key is older than the group that holds claims
)

// Ended is an outcome with its reason. The zero value is an unknown outcome.
type Ended struct {
	Outcome Outcome
	Reason  Reason
}

// HasNotRun returns a NotRun outcome with reason r.
func HasNotRun(r Reason) Ended { return Ended{NotRun, r} }

// MayHaveRun returns an Unknown outcome with reason r.
func MayHaveRun(r Reason) Ended { return Ended{Unknown, r} }

// RetryAllowed reports whether another attempt at a request of an idempotent
// or non-idempotent kind is safe after e. It says nothing about budgets.
func (e Ended) RetryAllowed(idempotent bool) bool {
	switch e.Outcome {
	case Answered:
		return false
	case NotRun:
		return !e.Reason.Final()
	default:
		return idempotent && e.Reason != ReasonLateAnswer
	}
}

// Final reports whether every node would refuse the request for the same
// reason, so that another attempt is useless.
func (r Reason) Final() bool {
	switch r {
	case ReasonBadRequest, ReasonNoRoute, ReasonNoKind, ReasonTooLarge,
		ReasonDeadline, ReasonCrashing, ReasonRateLimited, ReasonCanceled, ReasonFenced:
		return true
	}
	return false
}

// Loaded reports whether the attempt came to an upstream, or was refused
// because there was no capacity for it. Other attempts failed on the way.
func (e Ended) Loaded() bool {
	switch {
	case e.Outcome != NotRun:
		return true
	case e.Reason == ReasonDraining, e.Reason == ReasonUpstreamGone, e.Reason == ReasonPathDown, e.Reason == ReasonConnect, e.Declined():
		return false
	}
	return true
}

// Declined reports whether a dispatcher turned the attempt down because another
// upstream may serve it better. It would have taken an attempt that insists.
func (e Ended) Declined() bool {
	return e.Outcome == NotRun && (e.Reason == ReasonBusy || e.Reason == ReasonUnhealthy)
}
