package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// serveAttempt serves one stream of an attempt. It acknowledges the attempt at once, so that the
// ingress can distinguish a failure of the path from a slow upstream.
func (d *Dispatcher) serveAttempt(_ context.Context, s link.Stream, first link.Frame) {
	head := new(wire.AttemptHead)
	if err := decodeHead(first.Payload, head); err != nil {
		d.log.Warn("malformed attempt head refused", "peer", s.PeerName(), "fault", err)
		s.Reset()
		return
	}
	// While the dispatcher is leaving, the attempt is declined.
	endExchange, _ := d.beginExchange()
	defer endExchange()
	deadline := time.Now().Add(head.Remaining())
	otherIncarnation := head.Incarnation != 0 && head.Incarnation != d.incarnation
	ack := wire.Ack{Incarnation: d.incarnation}
	var end wire.AnswerEnd
	if !otherIncarnation && !d.attempts.knows(head.AttemptID) {
		end, ack.Declined = d.decline(head, deadline)
	}
	if err := wire.Write(s, wire.FrameAck, ack); err != nil {
		s.Reset()
		return
	}
	d.stats.attempts.Add(1)
	switch {
	case otherIncarnation:
		d.refuseOtherIncarnation(s, head, deadline)
		return
	case ack.Declined:
		d.finishDeclined(s, head, end, deadline)
		return
	}
	a, isNew := d.attempts.attach(head.AttemptID, deadline, func(a *attempt) { a.claim = d.beginClaim(a, head) })
	if !isNew {
		d.stats.duplicates.Add(1)
	}
	body, err := d.receiveBody(a, s, head, deadline)
	if err != nil {
		d.attempts.detach(a)
		s.Reset()
		return
	}
	w := newAnswerWriter(s, a, head, deadline)
	if !a.start(w) {
		w.limit.Stop()
		d.serveDuplicate(a, s, head, deadline)
		return
	}
	body.watch()
	w.keepAlive()
	end = d.run(a, head, body, w)
	end.ServedMs = a.served.Milliseconds()
	d.logAttempt(a, head, &end)
	d.recordMetrics(a, head, &end)
	d.attempts.finish(a, end)
	body.stop()
	d.count(end.Outcome)
	w.finish(end, body.unread)
}

// finishDeclined ends an attempt that was declined. The body of an idempotent one that is not streamed
// is read first, as the ingress sends it without waiting for the acknowledgement.
func (d *Dispatcher) finishDeclined(s link.Stream, head *wire.AttemptHead, end wire.AnswerEnd, deadline time.Time) {
	d.count(end.Outcome)
	d.stats.declined.Add(string(end.Reason), 1)
	if head.Idempotent && !head.Streamed {
		if _, err := readBody(s, head, deadline); err != nil {
			s.Reset()
			return
		}
	}
	newAnswerWriter(s, nil, head, deadline).finish(end, noneUnread)
}

// refuseOtherIncarnation ends an attempt that an earlier incarnation of this dispatcher has
// acknowledged. Whether that process ran it is not known here.
func (d *Dispatcher) refuseOtherIncarnation(s link.Stream, head *wire.AttemptHead, deadline time.Time) {
	d.stats.foreign.Add(1)
	if !head.Streamed {
		if _, err := readBody(s, head, deadline); err != nil {
			s.Reset()
			return
		}
	}
	d.log.Info("attempt was acknowledged by an earlier incarnation of the dispatcher", "request", head.RequestID, "attempt", head.AttemptID)
	w := newAnswerWriter(s, nil, head, deadline)
	w.finish(wire.AnswerEnd{Outcome: outcome.Unknown, Reason: outcome.ReasonLostDispatcher}, noneUnread)
}

func decodeHead(payload []byte, head *wire.AttemptHead) error {
	if err := wire.Decode(payload, head); err != nil {
		return err
	}
	switch {
	case head.AttemptID == "", head.RequestID == "":
		return errors.New("dispatch: attempt without an attempt ID or a request ID")
	case head.RemainingMs <= 0:
		return errors.New("dispatch: attempt arrived without time left to its deadline")
	case head.Streamed && head.BodyBytes < -1, !head.Streamed && (head.BodyBytes < 0 || head.BodyBytes > maxHeldBody):
		return fmt.Errorf("dispatch: request body of %d bytes is negative or too large", head.BodyBytes)
	}
	return nil
}

// readBody reads the request body up to FrameEnd. Without that frame the attempt never runs.
func readBody(s link.Stream, head *wire.AttemptHead, deadline time.Time) ([]byte, error) {
	s.SetReadDeadline(deadline)
	defer s.SetReadDeadline(time.Time{})
	body := make([]byte, 0, head.BodyBytes)
	for {
		f, err := s.ReadFrame()
		if err != nil {
			return nil, err
		}
		switch {
		case f.Type == wire.FrameEnd && int64(len(body)) == head.BodyBytes:
			return body, nil
		case f.Type == wire.FrameData && int64(len(body)+len(f.Payload)) <= head.BodyBytes:
			body = append(body, f.Payload...)
		default:
			return nil, &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameData}
		}
	}
}

// watchStream detaches the stream from the attempt if it breaks while the attempt runs. After the
// returned function has been called, the stream can be read again.
func (d *Dispatcher) watchStream(a *attempt, s link.Stream) (stop func()) {
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ReadFrame()
		select {
		case <-stopped:
		default:
			d.attempts.detach(a)
		}
	}()
	return func() {
		close(stopped)
		s.SetReadDeadline(time.Now())
		<-done
	}
}

// serveDuplicate waits for an attempt that was started by another stream, and repeats its answer.
func (d *Dispatcher) serveDuplicate(a *attempt, s link.Stream, head *wire.AttemptHead, deadline time.Time) {
	w := newAnswerWriter(s, nil, head, deadline)
	stop := d.watchStream(a, s)
	w.keepAlive()
	a.wait()
	stop()
	end := a.end
	answerHead, body, kept := a.answer()
	switch {
	case end.Outcome != outcome.Answered:
	case !kept, w.writeHead(answerHead) != nil:
		end = wire.AnswerEnd{Outcome: outcome.Unknown, Reason: outcome.ReasonAnswerGone}
	default:
		w.writeBody(body)
	}
	w.finish(end, noneUnread)
}

// logAttempt logs how an attempt ended, and the load of its upstream.
func (d *Dispatcher) logAttempt(a *attempt, head *wire.AttemptHead, end *wire.AnswerEnd) {
	d.log.Info("attempt ended",
		"request", head.RequestID, "upstream", head.Upstream, "kind", head.Kind, "retry", head.Retry, "insist", head.Insist, "call", head.Parent != nil, "expected_ms", a.expected.Milliseconds(),
		"outcome", end.Outcome.String(), "reason", string(end.Reason), "queued_ms", a.queued.Milliseconds(), "served_ms", a.served.Milliseconds(), "given_ms", head.RemainingMs,
		"in_use", end.Load.SlotsInUse, "slots", end.Load.Slots, "queued", end.Load.Queued, "suspect", end.Load.Suspect, "message", end.Message)
}

// recordMetrics counts an accepted attempt that has ended.
func (d *Dispatcher) recordMetrics(a *attempt, head *wire.AttemptHead, end *wire.AnswerEnd) {
	label := end.Outcome.String()
	if end.Reason != outcome.ReasonNone {
		label += "/" + string(end.Reason)
	}
	d.stats.ended.Add(label, 1)
	if head.Parent != nil {
		d.stats.calls.Add(1)
		d.stats.callsEnded.Add(head.Service+"/"+label, 1)
	}
	d.stats.queued.Record(head.Service, a.queued)
	if end.Outcome != outcome.NotRun {
		d.stats.served.Record(head.Service, a.served)
	}
}

// count counts the outcome of an attempt.
func (d *Dispatcher) count(o outcome.Outcome) {
	switch o {
	case outcome.Answered:
		d.stats.answered.Add(1)
	case outcome.NotRun:
		d.stats.notRun.Add(1)
	default:
		d.stats.unknown.Add(1)
	}
}
