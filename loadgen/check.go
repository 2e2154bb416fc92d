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

// Header fields that only callers and the proxy exchange.
const (
	headerOutcome   = "Godwithub-Outcome"
	headerReason    = "Godwithub-Reason"
	headerCaller    = "Godwithub-Caller"
	headerTimeoutMs = "Godwithub-Timeout-Ms"
)

// Fault is what is wrong with an answer that a check has refused.
type Fault string

// Faults of answers.
const (
	FaultNone      Fault = ""
	FaultTransport Fault = "transport" // no answer: the connection failed before the status line
	FaultCut       Fault = "cut"       // the answer broke off, visibly to any client
	FaultShort     Fault = "short"     // presented as whole, with too few or too many bytes
	FaultCrossed   Fault = "crossed"   // belongs to another request
	FaultAltered   Fault = "altered"   // right request, wrong bytes
	FaultHeader    Fault = "header"    // outcome, reason, request id or status contradict each other
)

// broken reports whether the caller could tell that it has no whole answer.
func (f Fault) broken() bool { return f == FaultTransport || f == FaultCut }

// answer is what came back for one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// sent is what the checks need to know of one attempt.
type sent struct {
	workID    string
	requestID string // set for direct load only, where no proxy assigns it
	checksum  string // of the request's body
}

// verdict is the result of the checks of one answer.
type verdict struct {
	outcome outcome.Outcome
	reason  outcome.Reason
	fault   Fault
	detail  error // explains the fault
}

func refused(f Fault, format string, args ...any) verdict {
	return verdict{outcome: outcome.Unknown, fault: f, detail: fmt.Errorf(format, args...)}
}

// check judges a complete answer to s.
func check(s *sent, a *answer, direct bool) verdict {
	v := verdict{reason: outcome.Reason(a.header.Get(headerReason))}
	if direct {
		v.outcome, v.reason = directOutcome(a)
	} else if fault := checkHeaders(a, &v); fault != nil {
		return refused(FaultHeader, "%w", fault)
	}
	if v.outcome != outcome.Answered {
		return v
	}
	if fault, err := checkBody(s, a); err != nil {
		return refused(fault, "%w", err)
	}
	return v
}

// directOutcome derives the outcome of an answer that a stand-in sent itself.
func directOutcome(a *answer) (outcome.Outcome, outcome.Reason) {
	reason := a.header.Get(standin.HeaderNotRun)
	if a.status == http.StatusServiceUnavailable && reason != "" {
		return outcome.NotRun, outcome.Reason(reason)
	}
	return outcome.Answered, outcome.ReasonNone
}

// checkHeaders sets v's outcome, or says how the headers contradict the
// status or each other.
func checkHeaders(a *answer, v *verdict) error {
	text := a.header.Get(headerOutcome)
	v.outcome = outcome.Parse(text)
	if v.outcome.String() != text {
		return fmt.Errorf("outcome %q is none of the three", text)
	}
	if a.header.Get(standin.HeaderRequestID) == "" {
		return errors.New("no request id")
	}
	if v.outcome == outcome.Answered {
		if v.reason != outcome.ReasonNone {
			return fmt.Errorf("answered with the reason %q", v.reason)
		}
		return nil
	}
	if v.reason == outcome.ReasonNone {
		return fmt.Errorf("%s without a reason", v.outcome)
	}
	if !statusAllowed(v.outcome, a.status) {
		return fmt.Errorf("%s with status %d", v.outcome, a.status)
	}
	return nil
}

// statusAllowed reports whether the design page allows the status for an
// outcome other than Answered.
func statusAllowed(o outcome.Outcome, status int) bool {
	if o == outcome.Unknown {
		return status == http.StatusBadGateway || status == http.StatusGatewayTimeout
	}
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkBody compares the answer with the only one that is right for s.
func checkBody(s *sent, a *answer) (Fault, error) {
	h := a.header
	if got := h.Get(standin.HeaderWorkID); got != s.workID {
		return FaultCrossed, fmt.Errorf("work id %q in the answer to %q", got, s.workID)
	}
	if got := h.Get(standin.HeaderRequestID); s.requestID != "" && got != s.requestID {
		return FaultCrossed, fmt.Errorf("request id %q in the answer to %q", got, s.requestID)
	}
	size, err := strconv.Atoi(h.Get(standin.HeaderBodyBytes))
	if err != nil || size < 0 {
		return FaultAltered, fmt.Errorf("%s is %q", standin.HeaderBodyBytes, h.Get(standin.HeaderBodyBytes))
	}
	if len(a.body) != size {
		return FaultShort, fmt.Errorf("%d bytes of %d", len(a.body), size)
	}
	if !bytes.Equal(a.body, standin.Body(s.workID, size)) {
		return FaultAltered, errors.New("the body does not belong to the work id")
	}
	if got, want := h.Get(standin.HeaderBodyChecksum), standin.Checksum(a.body); got != want {
		return FaultAltered, fmt.Errorf("checksum %q of a body with %q", got, want)
	}
	if got := h.Get(standin.HeaderRequestChecksum); got != s.checksum {
		return FaultAltered, fmt.Errorf("the request's body arrived with checksum %q, not %q", got, s.checksum)
	}
	return FaultNone, nil
}
