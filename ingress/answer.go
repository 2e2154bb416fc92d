package ingress

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// answer passes an upstream's answer to the caller. It holds a short answer
// back until it is complete, so that a caller never sees part of one that
// failed; a longer one is passed on as it comes.
type answer struct {
	w http.ResponseWriter
	// retryStatus says that an answer with status 500 or above is held back
	// until it is known whether another attempt will be made.
	retryStatus bool

	head     *wire.AnswerHead
	body     []byte
	received int64
	// begun says that the caller has seen part of the answer.
	begun bool
	// spare is the server error of an earlier attempt. The caller gets it if no
	// later attempt brings an answer.
	spare *spareAnswer
}

// spareAnswer is a whole answer that is held back.
type spareAnswer struct {
	head *wire.AnswerHead
	body []byte
}

// setAside keeps a whole answer while another attempt is made.
func (o *answer) setAside() { o.spare = &spareAnswer{o.head, bytes.Clone(o.body)} }

// restore takes up the answer that was set aside. It reports false if there is
// none, or the caller has seen part of another one.
func (o *answer) restore() bool {
	if o.spare == nil || o.begun {
		return false
	}
	o.head, o.body, o.received = o.spare.head, o.spare.body, int64(len(o.spare.body))
	return true
}

// receive reads an answer up to its end. An error means that the route failed
// or the answer was not whole.
func (o *answer) receive(s link.Stream, rq *request) (*wire.AnswerEnd, error) {
	o.reset()
	for {
		s.SetReadDeadline(time.Now().Add(silenceTimeout))
		f, err := s.ReadFrame()
		if err != nil {
			return nil, silentIfTimeout(err)
		}
		switch f.Type {
		case wire.FrameAck:
		case wire.FrameAnswer:
			err = o.takeHead(f.Payload, rq)
		case wire.FrameData:
			err = o.takeData(f.Payload)
		case wire.FrameAnswerEnd:
			return o.takeEnd(f.Payload, rq)
		default:
			err = &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameAnswer}
		}
		if err != nil {
			return nil, err
		}
	}
}

// reset forgets an answer of which the caller has seen nothing.
func (o *answer) reset() {
	if !o.begun {
		o.head, o.body, o.received = nil, o.body[:0], 0
	}
}

func (o *answer) takeHead(payload []byte, rq *request) error {
	head := new(wire.AnswerHead)
	if err := wire.Decode(payload, head); err != nil {
		return err
	}
	if head.RequestID != rq.id {
		return fmt.Errorf("ingress: answer to request %s came for %s", head.RequestID, rq.id)
	}
	if o.head != nil {
		return fmt.Errorf("ingress: second head in an answer to %s", rq.id)
	}
	o.head = head
	if !o.hold() {
		o.begin(rq)
	}
	return nil
}

// hold reports whether the answer is held back until it is complete.
func (o *answer) hold() bool {
	return o.head.BodyBytes >= 0 && o.head.BodyBytes <= maxBuffered ||
		o.retryStatus && o.head.Status >= http.StatusInternalServerError
}

func (o *answer) takeData(b []byte) error {
	if o.head == nil {
		return &wire.UnexpectedFrameError{Got: wire.FrameData, Want: wire.FrameAnswer}
	}
	o.received += int64(len(b))
	if !o.begun {
		o.body = append(o.body, b...)
		return nil
	}
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

func (o *answer) takeEnd(payload []byte, rq *request) (*wire.AnswerEnd, error) {
	end := new(wire.AnswerEnd)
	if err := wire.Decode(payload, end); err != nil {
		return nil, err
	}
	if end.RequestID != rq.id {
		return nil, fmt.Errorf("ingress: end of request %s came for %s", end.RequestID, rq.id)
	}
	if end.Outcome == outcome.Answered && (o.head == nil || end.BodyBytes != o.received) {
		return nil, fmt.Errorf("ingress: answer to %s has %d of %d bytes", rq.id, o.received, end.BodyBytes)
	}
	return end, nil
}

// begin writes the head of the answer to the caller.
func (o *answer) begin(rq *request) {
	o.begun = true
	h := o.w.Header()
	for _, f := range o.head.Headers {
		h.Add(f.Name, f.Value)
	}
	setOutcome(h, rq.id, outcome.Ended{Outcome: outcome.Answered})
	o.w.WriteHeader(o.head.Status)
}

// pass writes what was held back of a complete answer.
func (o *answer) pass(rq *request) {
	if o.begun {
		return
	}
	o.begin(rq)
	if len(o.body) > 0 {
		o.w.Write(o.body)
	}
}

func setOutcome(h http.Header, id string, e outcome.Ended) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, e.Outcome.String())
	if e.Reason != outcome.ReasonNone {
		h.Set(HeaderReason, string(e.Reason))
	}
}

// fail answers a request that has no answer of an upstream.
func fail(w http.ResponseWriter, id string, e outcome.Ended, message string) {
	h := w.Header()
	setOutcome(h, id, e)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	status := statusOf(e)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	if message != "" {
		message = ": " + message
	}
	fmt.Fprintf(w, "%s (%s)%s\n", e.Outcome, e.Reason, message)
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
	case outcome.ReasonLateAnswer:
		return http.StatusGatewayTimeout
	}
	if e.Outcome == outcome.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
