package loadgen

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/standin"
)

// Header fields exchanged only between callers and the proxy.
const (
	headerOutcome   = "Godwithub-Outcome"
	headerReason    = "Godwithub-Reason"
	headerCaller    = "Godwithub-Caller"
	headerTimeoutMs = "Godwithub-Timeout-Ms"

	headerCustomerKey = "Godwithub-Customer-Key"
)

// Fault classifies why an answer failed the checks.
type Fault string

// Faults of answers.
const (
	FaultNone      Fault = ""
	FaultTransport Fault = "transport" // no answer: the connection failed before the status line
	FaultCut       Fault = "cut"       // the connection failed within the body, which any client notices
	FaultShort     Fault = "short"     // presented as complete, with too few or too many bytes
	FaultCrossed   Fault = "crossed"   // the answer to another request
	FaultAltered   Fault = "altered"   // the answer to this request, with wrong bytes
	FaultHeader    Fault = "header"    // outcome, reason, request id or status contradict each other
)

// isIncomplete reports whether any caller could tell that it has no complete answer.
func (f Fault) isIncomplete() bool { return f == FaultTransport || f == FaultCut }

// answer is the complete HTTP response to one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte // up to one byte over the announced size
}

// expectation holds the values of an attempt that its answer is checked against.
type expectation struct {
	workID    string
	requestID string // set for direct load only, where no proxy assigns it
	checksum  string // of the request's body
}

// verdict is the result of checking one answer.
type verdict struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	fault   Fault
	detail  error // explains the fault
}

func faultVerdict(f Fault, format string, args ...any) verdict {
	return verdict{outcome: outcome.Unknown, fault: f, detail: fmt.Errorf(format, args...)}
}

// check checks a complete answer. direct tells that no proxy was involved.
func check(want *expectation, a *answer, direct bool) verdict {
	if a.status < 200 || a.status > 599 {
		return faultVerdict(FaultHeader, "status %d is outside HTTP", a.status)
	}
	v := verdict{reason: outcome.Reason(a.header.Get(headerReason))}
	if direct {
		v.outcome, v.reason = directOutcome(a)
	} else if err := checkHeaders(a, &v); err != nil {
		return faultVerdict(FaultHeader, "%w", err)
	}
	if v.outcome != outcome.Answered {
		return v
	}
	if fault, err := checkBody(want, a); err != nil {
		return faultVerdict(fault, "%w", err)
	}
	return v
}

// directOutcome derives the outcome of an answer that came from a stand-in without a proxy.
func directOutcome(a *answer) (outcome.Outcome, outcome.Reason) {
	reason := a.header.Get(standin.HeaderNotRun)
	if a.status == http.StatusServiceUnavailable && reason != "" {
		return outcome.NotRun, outcome.Reason(reason)
	}
	return outcome.Answered, outcome.ReasonNone
}

// checkHeaders sets v's outcome, or returns how the headers contradict the status or each other.
func checkHeaders(a *answer, v *verdict) error {
	text := a.header.Get(headerOutcome)
	v.outcome = outcome.Parse(text)
	if v.outcome.String() != text {
		return fmt.Errorf("outcome %q is not one of answered, not-run and unknown", text)
	}
	if a.header.Get(standin.HeaderRequestID) == "" {
		return errors.New("the answer has no request id")
	}
	if v.outcome == outcome.Answered {
		if v.reason != outcome.ReasonNone {
			return fmt.Errorf("outcome answered comes with reason %q", v.reason)
		}
		return nil
	}
	if v.reason == outcome.ReasonNone {
		return fmt.Errorf("outcome %s comes without a reason", v.outcome)
	}
	if !statusAllowed(v.outcome, a.status) {
		return fmt.Errorf("outcome %s does not allow status %d", v.outcome, a.status)
	}
	return nil
}

// statusAllowed reports whether the design page allows the status for an outcome other than
// Answered.
func statusAllowed(o outcome.Outcome, status int) bool {
	if o == outcome.Unknown {
		return status == http.StatusBadGateway || status == http.StatusGatewayTimeout
	}
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkBody compares the answer's ids, body and checksums with the only right ones.
func checkBody(want *expectation, a *answer) (Fault, error) {
	h := a.header
	if got := h.Get(standin.HeaderWorkID); got != want.workID {
		return FaultCrossed, fmt.Errorf("work id %q in the answer to %q", got, want.workID)
	}
	if got := h.Get(standin.HeaderRequestID); want.requestID != "" && got != want.requestID {
		return FaultCrossed, fmt.Errorf("request id %q in the answer to %q", got, want.requestID)
	}
	size, err := strconv.Atoi(h.Get(standin.HeaderBodyBytes))
	if err != nil || size < 0 {
		return FaultAltered, fmt.Errorf("header %s is not a size: %q", standin.HeaderBodyBytes, h.Get(standin.HeaderBodyBytes))
	}
	switch {
	case len(a.body) > size:
		return FaultShort, fmt.Errorf("the body has more than %d bytes", size)
	case len(a.body) < size:
		return FaultShort, fmt.Errorf("the body has %d bytes instead of %d", len(a.body), size)
	}
	if !bytes.Equal(a.body, standin.Body(want.workID, size)) {
		return FaultAltered, errors.New("the body is not the one that belongs to the work id")
	}
	if got, computed := h.Get(standin.HeaderBodyChecksum), standin.Checksum(a.body); got != computed {
		return FaultAltered, fmt.Errorf("the header has checksum %q, the body has %q", got, computed)
	}
	if got := h.Get(standin.HeaderRequestChecksum); got != want.checksum {
		return FaultAltered, fmt.Errorf("the upstream received the request's body with checksum %q instead of %q", got, want.checksum)
	}
	return FaultNone, nil
}
