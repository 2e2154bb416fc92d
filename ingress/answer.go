package ingress

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// errorBodyTimeout is how long the body of a server error may take to arrive before another attempt is
// made instead. Within a fleet it arrives together with the head, even over a busy link.
const errorBodyTimeout = time.Second

// errErrorBody means that the body of a server error was too long to be held back, or did not end in
// time, and that another attempt is allowed.
var errErrorBody = errors.New("ingress: the body of a server error is too long or does not end")

// answer passes an upstream's answer on to the caller. A short answer is held back until it is
// complete, so that the caller never sees part of an answer that failed. A longer one, or one of
// unknown length, is passed on as it arrives.
type answer struct {
	w http.ResponseWriter
	// retryStatus is set if a server error may lead to another attempt. An answer with status 500
	// or above is then held back.
	retryStatus bool
	// mayRetry reports whether another attempt is allowed at present. It is asked only if retryStatus
	// is set.
	mayRetry func() bool

	head     *wire.AnswerHead
	headAt   time.Time
	body     []byte // at most maxBuffered bytes
	received int64
	conn     *http.ResponseController
	// stalled is set if the answer was ended since the caller did not read it.
	stalled bool
	// begun is set once part of the answer has been sent to the caller.
	begun bool
	// fallback is the server error that answered an earlier attempt. The caller gets it if no later
	// attempt is answered.
	fallback *fallbackAnswer
}

// fallbackAnswer is a complete answer that has not been sent to the caller.
type fallbackAnswer struct {
	head *wire.AnswerHead
	body []byte
}

// keepAsFallback keeps the current answer, which is complete, while another attempt is made.
func (a *answer) keepAsFallback() { a.fallback = &fallbackAnswer{a.head, bytes.Clone(a.body)} }

// restoreFallback makes the fallback the current answer. It reports false if there is none, or if
// part of another answer has been sent to the caller.
func (a *answer) restoreFallback() bool {
	if a.fallback == nil || a.begun {
		return false
	}
	a.head, a.body, a.received = a.fallback.head, a.fallback.body, int64(len(a.fallback.body))
	return true
}

// receive reads an answer up to its end. It calls sendBody when the dispatcher asks for the body. An
// error means that the route failed, that the answer is malformed or incomplete, or that it could not be
// written to the caller.
func (a *answer) receive(s link.Stream, rq *request, sendBody func()) (*wire.AnswerEnd, error) {
	a.reset()
	for {
		s.SetReadDeadline(time.Now().Add(wire.SilenceTimeout))
		f, err := s.ReadFrame()
		if err != nil {
			return nil, timeoutAsSilence(err)
		}
		switch f.Type {
		case wire.FrameAck:
		case wire.FrameContinue:
			sendBody()
		case wire.FrameAnswer:
			err = a.handleHead(f.Payload, rq)
		case wire.FrameData:
			err = a.handleData(f.Payload, rq)
		case wire.FrameAnswerEnd:
			return a.handleEnd(f.Payload, rq)
		default:
			err = &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameAnswer}
		}
		if err == nil {
			err = a.checkErrorBody()
		}
		if err != nil {
			return nil, err
		}
	}
}

// reset discards the current answer, unless part of it has been sent to the caller.
func (a *answer) reset() {
	if !a.begun {
		a.head, a.body, a.received = nil, a.body[:0], 0
	}
}

func (a *answer) handleHead(payload []byte, rq *request) error {
	head := new(wire.AnswerHead)
	if err := wire.Decode(payload, head); err != nil {
		return err
	}
	if head.RequestID != rq.id {
		return fmt.Errorf("ingress: got an answer to request %s while waiting for one to %s", head.RequestID, rq.id)
	}
	if a.head != nil {
		return fmt.Errorf("ingress: answer to request %s has a second head", rq.id)
	}
	if err := head.Check(); err != nil {
		return err
	}
	a.head, a.headAt = head, time.Now()
	if !a.shouldHold() {
		a.writeHead(rq)
	}
	return nil
}

// shouldHold reports whether the answer is held back until it is complete.
func (a *answer) shouldHold() bool {
	return a.head.BodyBytes >= 0 && a.head.BodyBytes <= maxBuffered || a.isRetriedError()
}

// isRetriedError reports whether the answer is a server error that may lead to another attempt.
func (a *answer) isRetriedError() bool {
	return a.retryStatus && a.head.Status >= http.StatusInternalServerError
}

func (a *answer) handleData(b []byte, rq *request) error {
	if a.head == nil {
		return &wire.UnexpectedFrameError{Got: wire.FrameData, Want: wire.FrameAnswer}
	}
	a.received += int64(len(b))
	if !a.begun && len(a.body)+len(b) <= maxBuffered {
		a.body = append(a.body, b...)
		return nil
	}
	if !a.begun {
		if a.isRetriedError() && a.mayRetry() {
			return errErrorBody
		}
		if err := a.writeHeld(rq); err != nil {
			return err
		}
	}
	return a.writeBody(b)
}

// writeBody sends a part of a long answer to the caller.
func (a *answer) writeBody(b []byte) error {
	if a.conn == nil {
		a.conn = http.NewResponseController(a.w)
	}
	_, err := a.w.Write(b)
	if err == nil {
		err = a.conn.Flush()
	}
	a.stalled = errors.Is(err, errCallerStalled)
	return err
}

// checkErrorBody returns errErrorBody if another attempt is to replace a server error whose body does not
// end in time.
func (a *answer) checkErrorBody() error {
	if a.head == nil || a.begun || !a.isRetriedError() || time.Since(a.headAt) < errorBodyTimeout || !a.mayRetry() {
		return nil
	}
	return errErrorBody
}

func (a *answer) handleEnd(payload []byte, rq *request) (*wire.AnswerEnd, error) {
	end := new(wire.AnswerEnd)
	if err := wire.Decode(payload, end); err != nil {
		return nil, err
	}
	if end.RequestID != rq.id {
		return nil, fmt.Errorf("ingress: got the end of request %s while waiting for the end of %s", end.RequestID, rq.id)
	}
	if end.Outcome == outcome.Answered && (a.head == nil || end.BodyBytes != a.received) {
		return nil, fmt.Errorf("ingress: answer to request %s is incomplete: got %d of %d bytes", rq.id, a.received, end.BodyBytes)
	}
	return end, nil
}

// writeHead sends the status and headers of the answer to the caller.
func (a *answer) writeHead(rq *request) {
	a.begun = true
	if rq.parent != nil && a.head.Status >= http.StatusBadRequest {
		// The upstream may fail its run before the body has ended.
		rq.parent.RecordFailedCall()
	}
	h := a.w.Header()
	for _, f := range a.head.Headers {
		h.Add(f.Name, f.Value)
	}
	setOutcome(h, rq.id, outcome.Ended{Outcome: outcome.Answered})
	a.w.WriteHeader(a.head.Status)
}

// writeHeld sends what was held back of an answer to the caller.
func (a *answer) writeHeld(rq *request) error {
	if a.begun {
		return nil
	}
	a.writeHead(rq)
	body := a.body
	a.body = nil
	if len(body) == 0 {
		return nil
	}
	_, err := a.w.Write(body)
	return err
}

func setOutcome(h http.Header, id string, e outcome.Ended) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, e.Outcome.String())
	if e.Reason != outcome.ReasonNone {
		h.Set(HeaderReason, string(e.Reason))
	}
}

// defaultRetryAfter is when a caller may return whose request was refused for a reason that passes.
const defaultRetryAfter = time.Second

// writeFailure answers a request that got no answer from an upstream. retryAfter is when its caller may
// return if it has not run; 0 stands for defaultRetryAfter.
func writeFailure(w http.ResponseWriter, id string, e outcome.Ended, message string, retryAfter time.Duration) {
	h := w.Header()
	setOutcome(h, id, e)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	status := statusOf(e)
	if isRetryable(status) {
		h.Set("Retry-After", formatSeconds(cmp.Or(retryAfter, defaultRetryAfter)))
	}
	w.WriteHeader(status)
	if message != "" {
		message = ": " + message
	}
	fmt.Fprintf(w, "%s (%s)%s\n", e.Outcome, e.Reason, message)
}

// isRetryable reports whether a refusal with this status tells its caller when to return.
func isRetryable(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// formatSeconds formats d in seconds, rounded up to a millisecond.
func formatSeconds(d time.Duration) string {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64)
}

// statusOf returns the HTTP status of a request that was not answered.
func statusOf(e outcome.Ended) int {
	switch e.Reason {
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonNoRoute, outcome.ReasonNoKind:
		return http.StatusNotFound
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonCrashing:
		return http.StatusUnprocessableEntity
	case outcome.ReasonShed, outcome.ReasonRateLimited, outcome.ReasonUpstreamShed:
		return http.StatusTooManyRequests
	case outcome.ReasonUnknownKey:
		return http.StatusUnauthorized
	case outcome.ReasonLateAnswer:
		return http.StatusGatewayTimeout
	}
	if e.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
