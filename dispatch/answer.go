package dispatch

import (
	"sync"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// answerWriter sends an answer on a stream. After the first failure it only
// keeps the answer for a resend.
type answerWriter struct {
	keep      *attempt // nil: keep nothing
	requestID string

	mu   sync.Mutex
	s    link.Stream
	sent int64
	err  error
	done bool
}

func newAnswerWriter(s link.Stream, keep *attempt, head *wire.AttemptHead) *answerWriter {
	return &answerWriter{s: s, keep: keep, requestID: head.RequestID}
}

// keepAlive repeats the acknowledgement while the attempt goes on, so that the
// ingress can tell a slow upstream from a connection gone silent.
func (w *answerWriter) keepAlive() {
	time.AfterFunc(wire.AckInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.done || w.err != nil {
			return
		}
		w.err = w.s.WriteFrame(wire.FrameAck, nil)
		w.keepAlive()
	})
}

// head queues the head; it leaves with the first data or the end.
func (w *answerWriter) head(h *wire.AnswerHead) {
	if w.keep != nil {
		w.keep.keepHead(h)
	}
	b, err := wire.Encode(h)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
	if w.err == nil {
		w.err = w.s.BufferFrame(wire.FrameAnswer, b)
	}
}

// data sends part of the body.
func (w *answerWriter) data(b []byte) {
	if w.keep != nil {
		w.keep.keepBody(b)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = wire.WriteChunks(w.s, wire.FrameData, b)
	}
	w.sent += int64(len(b))
}

// last queues the last bytes of a body, so that they leave in one packet with
// the end.
func (w *answerWriter) last(b []byte) {
	if len(b) == 0 || len(b) > link.MaxPayload {
		w.data(b)
		return
	}
	if w.keep != nil {
		w.keep.keepBody(b)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.s.BufferFrame(wire.FrameData, b)
	}
	w.sent += int64(len(b))
}

// finish ends the stream with the outcome.
func (w *answerWriter) finish(end wire.AnswerEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	end.RequestID = w.requestID
	end.BodyBytes = w.sent
	if w.err == nil {
		w.err = wire.Write(w.s, wire.FrameAnswerEnd, &end)
	}
	if w.err != nil {
		w.s.Reset()
		return
	}
	w.s.Close()
}
