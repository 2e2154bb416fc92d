package dispatch

import (
	"fmt"
	"sync"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// answerWriter writes an answer to a stream and records it in the attempt, for resends. After the
// first write error it only records.
type answerWriter struct {
	attempt   *attempt // nil: the answer is not recorded
	requestID string

	mu        sync.Mutex
	stream    link.Stream
	bodyBytes int64
	err       error
	finished  bool
}

func newAnswerWriter(s link.Stream, a *attempt, head *wire.AttemptHead) *answerWriter {
	return &answerWriter{stream: s, attempt: a, requestID: head.RequestID}
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
		w.err = w.stream.WriteFrame(wire.FrameAck, nil)
		w.keepAlive()
	})
}

// writeContinue asks for the body of a streamed attempt.
func (w *answerWriter) writeContinue() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.stream.WriteFrame(wire.FrameContinue, nil)
	}
	return w.err
}

// writeHead buffers the answer head, which is sent with the first body frame or the end frame. It returns
// link.ErrFrameTooLarge for a head that does not fit a frame, of which nothing is sent or recorded.
func (w *answerWriter) writeHead(h *wire.AnswerHead) error {
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
	if w.err == nil {
		w.err = w.stream.BufferFrame(wire.FrameAnswer, b)
	}
	return nil
}

// writeBody sends a part of the body.
func (w *answerWriter) writeBody(b []byte) {
	if w.attempt != nil {
		w.attempt.keepBody(b)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = wire.WriteChunks(w.stream, wire.FrameData, b)
	}
	w.bodyBytes += int64(len(b))
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
	if w.err == nil {
		w.err = w.stream.BufferFrame(wire.FrameData, b)
	}
	w.bodyBytes += int64(len(b))
}

// noneUnread says that the ingress sends nothing more on a stream.
func noneUnread() bool { return false }

// finish sends the outcome and closes the stream, or resets it after a write error. If unread reports
// true, the ingress may still be sending the body of the request: it resets the stream when it has read
// the outcome, which a reset from this side could overtake.
func (w *answerWriter) finish(end wire.AnswerEnd, unread func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	end.RequestID = w.requestID
	end.BodyBytes = w.bodyBytes
	if w.err == nil {
		w.err = wire.Write(w.stream, wire.FrameAnswerEnd, &end)
	}
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
