package dispatch

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// writeGrace is how long after the deadline of its attempt a write to a stream may still be blocked. An
// ingress that has not read by then has given the attempt up, or is out of reach.
const writeGrace = time.Second

// answerWriter writes an answer to a stream and records it in the attempt, for resends. After the
// first write error it only records. A write that is blocked beyond the deadline fails.
type answerWriter struct {
	attempt   *attempt // nil: the answer is not recorded
	requestID string
	// limit resets the stream after the deadline.
	limit *time.Timer
	// created is when the writer was made, and writingSince how long after that the present write began;
	// 0: none.
	created      time.Time
	writingSince atomic.Int64

	// ahead holds the part of a large answer that is not written yet; nil: none. Only the goroutine that
	// runs the attempt uses it.
	ahead *readAhead

	mu        sync.Mutex
	stream    link.Stream
	bodyBytes int64
	err       error
	finished  bool
}

func newAnswerWriter(s link.Stream, a *attempt, head *wire.AttemptHead, deadline time.Time) *answerWriter {
	return &answerWriter{
		stream: s, attempt: a, requestID: head.RequestID, created: time.Now(),
		limit: time.AfterFunc(time.Until(deadline)+writeGrace, s.Reset),
	}
}

// write calls f, which writes to the stream, unless an earlier write has failed. w.mu is held.
func (w *answerWriter) write(f func(link.Stream) error) {
	if w.err != nil {
		return
	}
	w.writingSince.Store(int64(max(time.Since(w.created), 1)))
	defer w.writingSince.Store(0)
	w.err = f(w.stream)
}

// resetIfBlocked resets the stream if a write has been blocked for so long that the ingress has given the
// stream up.
func (w *answerWriter) resetIfBlocked() {
	since := time.Duration(w.writingSince.Load())
	if since != 0 && time.Since(w.created)-since >= wire.SilenceTimeout {
		w.stream.Reset()
	}
}

// keepAlive repeats the acknowledgement until the attempt has finished, so that the ingress can
// distinguish a slow upstream from a silent connection.
func (w *answerWriter) keepAlive() {
	time.AfterFunc(wire.AckInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.finished || w.err != nil {
			return
		}
		w.write(func(s link.Stream) error { return s.WriteFrame(wire.FrameAck, nil) })
		w.keepAlive()
	})
}

// writeContinue asks for the body of a streamed attempt.
func (w *answerWriter) writeContinue() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(func(s link.Stream) error { return s.WriteFrame(wire.FrameContinue, nil) })
	return w.err
}

// writeHead buffers the answer head, which is sent with the first body frame or the end frame. It returns
// link.ErrFrameTooLarge for a head that does not fit a frame and wire.ErrMalformedAnswer for one outside HTTP,
// of which nothing is sent or recorded.
func (w *answerWriter) writeHead(h *wire.AnswerHead) error {
	if err := h.Check(); err != nil {
		return err
	}
	b, err := wire.Encode(h)
	if err != nil {
		return err
	}
	if len(b) > link.MaxPayload {
		return fmt.Errorf("%w: answer head of %d bytes", link.ErrFrameTooLarge, len(b))
	}
	if w.attempt != nil {
		w.attempt.keepHead(h)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(func(s link.Stream) error { return s.BufferFrame(wire.FrameAnswer, b) })
	return nil
}

// writeBody sends a part of the body.
func (w *answerWriter) writeBody(b []byte) {
	if w.attempt != nil {
		w.attempt.keepBody(b)
	}
	w.sendBody(b)
}

// sendBody sends a part of the body that is recorded already or need not be.
func (w *answerWriter) sendBody(b []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(func(s link.Stream) error { return wire.WriteChunks(s, wire.FrameData, b) })
	w.bodyBytes += int64(len(b))
	return w.err
}

// beginReadAhead returns the buffer through which the rest of the body is written.
func (w *answerWriter) beginReadAhead(budget *readAheadBudget) *readAhead {
	w.ahead = newReadAhead(w, budget)
	return w.ahead
}

// wanted reports whether anyone can still get the answer: its ingress, or a resend if all of it so far is
// recorded.
func (w *answerWriter) wanted() bool {
	w.mu.Lock()
	failed := w.err != nil
	w.mu.Unlock()
	return !failed || w.attempt != nil && w.attempt.keepsAnswer()
}

// writeLastBody buffers the last bytes of the body, so that they are sent in one packet with the
// end frame.
func (w *answerWriter) writeLastBody(b []byte) {
	if len(b) == 0 || len(b) > link.MaxPayload {
		w.writeBody(b)
		return
	}
	if w.attempt != nil {
		w.attempt.keepBody(b)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(func(s link.Stream) error { return s.BufferFrame(wire.FrameData, b) })
	w.bodyBytes += int64(len(b))
}

// noneUnread says that the ingress sends nothing more on a stream.
func noneUnread() bool { return false }

// finish sends the outcome and closes the stream, or resets it after a write error. If unread reports
// true, the ingress may still be sending the body of the request: it resets the stream when it has read
// the outcome, which a reset from this side could overtake.
func (w *answerWriter) finish(end wire.AnswerEnd, unread func() bool) {
	if w.ahead != nil {
		w.ahead.finish()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	end.RequestID = w.requestID
	end.BodyBytes = w.bodyBytes
	w.write(func(s link.Stream) error { return wire.Write(s, wire.FrameAnswerEnd, &end) })
	w.limit.Stop()
	if w.err == nil && !unread() {
		w.stream.Close()
		return
	}
	if w.err == nil {
		awaitReset(w.stream)
	}
	w.stream.Reset()
}

// resetTimeout bounds the wait for the ingress to reset a stream.
const resetTimeout = time.Second

// awaitReset reads from s until the ingress resets it.
func awaitReset(s link.Stream) {
	s.SetReadDeadline(time.Now().Add(resetTimeout))
	for {
		if _, err := s.ReadFrame(); err != nil {
			return
		}
	}
}
