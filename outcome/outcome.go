// Package outcome defines the possible outcomes of a request and of each attempt at it.
// Whether another attempt is safe depends on the outcome, with its reason, and on whether
// the request is idempotent.
package outcome

// Outcome is the result of an attempt or a request.
type Outcome uint8

const (
	// Unknown means that the request may have run. It is the zero value, so that a
	// missing outcome is never mistaken for a safe one.
	Unknown Outcome = iota
	// Answered means that the complete answer arrived and belongs to this request.
	Answered
	// NotRun means that the request has not run and will not run.
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

// Parse returns the outcome written as s, or Unknown for any other text.
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

// Reason says why a request was not run or why its outcome is unknown. It is sent in the
// Godwithub-Reason header.
type Reason string

// Reasons of NotRun.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad-request"       // malformed request; the message names the field
	ReasonNoRoute         Reason = "no-route"          // no service for host and path
	ReasonNoKind          Reason = "no-kind"           // the service has no request kind for method and path
	ReasonTooLarge        Reason = "too-large"         // header or body exceeds the limit
	ReasonNoUpstream      Reason = "no-upstream"       // no usable upstream is known
	ReasonDraining        Reason = "draining"          // the upstream or the node is draining
	ReasonUpstreamGone    Reason = "upstream-gone"     // the upstream is not registered at its node
	ReasonShed            Reason = "shed"              // refused during overload, according to its rank
	ReasonRateLimited     Reason = "rate-limited"      // the caller exceeds its rate limit
	ReasonDeadline        Reason = "deadline"          // the deadline could not be met
	ReasonQueueLong       Reason = "queue-long"        // the wait in the upstream's queue is too long for the deadline
	ReasonPathDown        Reason = "path-down"         // the dispatcher could not be reached
	ReasonConnect         Reason = "connect-failed"    // connecting to the upstream failed
	ReasonBusy            Reason = "busy"              // no slot of the upstream is free
	ReasonUnhealthy       Reason = "unhealthy"         // the upstream currently fails its work
	ReasonLimited         Reason = "upstream-limit"    // the upstream gets as many requests as it accepts
	ReasonRetryBudget     Reason = "retry-budget"      // the service has had as many retries as the fleet may make
	ReasonUpstreamShed    Reason = "upstream-shed"     // the upstream refused the work before running it
	ReasonFenced          Reason = "fenced"            // the idempotency key was fenced before it was claimed
	ReasonClaimFailed     Reason = "claim-unavailable" // no quorum to claim the idempotency key
	ReasonCrashing        Reason = "crashing"          // the request is known to crash upstreams
	ReasonNoConfiguration Reason = "no-configuration"  // the node has no configuration yet
	ReasonCanceled        Reason = "canceled"          // the caller disconnected before dispatch
	ReasonUnknownKey      Reason = "unknown-key"       // no customer has the key of the request, or it has none
	ReasonNotFresh        Reason = "not-fresh"         // the node does not know whether its configuration is current
	ReasonQuotaUnknown    Reason = "quota-unknown"     // control could not be asked whether the customer is within its quota
	ReasonNoRoom          Reason = "no-room"           // a service that requests of this kind call is short of capacity
	ReasonInternal        Reason = "internal"          // internal error of the proxy before dispatch
)

// Reasons of Unknown.
const (
	ReasonLostUpstream   Reason = "lost-upstream"   // the connection to the upstream broke after sending
	ReasonLostDispatcher Reason = "lost-dispatcher" // the link to the dispatcher broke after it had acknowledged the attempt
	ReasonStopped        Reason = "stopped"         // the node beside the upstream stopped before the answer
	ReasonShortAnswer    Reason = "short-answer"    // the answer is shorter than its announced length
	ReasonLongError      Reason = "long-error"      // a server error whose body is too long or does not end was dropped for another attempt
	ReasonLateAnswer     Reason = "late-answer"     // no answer by the deadline
	ReasonHeldByOther    Reason = "held-by-other"   // another attempt holds the idempotency key
	ReasonAnswerGone     Reason = "answer-gone"     // the request has run, but its answer was not stored
	ReasonOldKey         Reason = "old-key"         // the idempotency key is older than the group that holds its claims
)

// Ended is an outcome with its reason. The zero value is Unknown without a reason.
type Ended struct {
	Outcome Outcome
	Reason  Reason
}

// HasNotRun returns a NotRun outcome with reason r.
func HasNotRun(r Reason) Ended { return Ended{NotRun, r} }

// MayHaveRun returns an Unknown outcome with reason r.
func MayHaveRun(r Reason) Ended { return Ended{Unknown, r} }

// RetryAllowed reports whether another attempt after e is safe and useful, for a request
// that is idempotent or not. It doesn't consider the retry budget.
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

// Final reports whether every node would refuse the request for the same reason, which
// makes another attempt useless.
func (r Reason) Final() bool {
	switch r {
	case ReasonBadRequest, ReasonNoRoute, ReasonNoKind, ReasonTooLarge,
		ReasonDeadline, ReasonCrashing, ReasonRateLimited, ReasonCanceled, ReasonFenced, ReasonUnknownKey:
		return true
	}
	return false
}

// UsedCapacity reports whether the attempt reached an upstream, or was refused for lack of
// capacity. It is false for attempts that failed before they reached an upstream, for those
// that a dispatcher declined, and for those that only waited in a queue.
func (e Ended) UsedCapacity() bool {
	switch {
	case e.Outcome != NotRun:
		return true
	case e.Reason == ReasonDraining, e.Reason == ReasonUpstreamGone, e.Reason == ReasonPathDown, e.Reason == ReasonConnect,
		e.Reason == ReasonQueueLong, e.Declined():
		return false
	}
	return true
}

// Declined reports whether a dispatcher declined the attempt because another upstream may
// serve it better. The dispatcher accepts such an attempt if the ingress insists.
func (e Ended) Declined() bool {
	if e.Outcome != NotRun {
		return false
	}
	switch e.Reason {
	case ReasonBusy, ReasonUnhealthy, ReasonLimited, ReasonRetryBudget:
		return true
	}
	return false
}
