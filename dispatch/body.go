package dispatch

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/reqbody"
	"github.com/godwithub/godwithub/wire"
)

// maxHeldBody is the largest body, in bytes, that an ingress sends before the attempt runs.
const maxHeldBody = reqbody.MaxHeld + reqbody.MinHeld

// requestBody is the body of an attempt. It is held, or it is streamed: then the ingress is asked for it
// once the attempt has a slot. As long as no body is read, the stream is watched for its end.
type requestBody struct {
	dispatcher *Dispatcher
	attempt    *attempt
	stream     link.Stream
	deadline   time.Time
	held       []byte
	length     int64 // -1: not known
	streamed   *streamedBody
	stopWatch  func()
}

// receiveBody reads the body of an attempt, unless it is streamed.
func (d *Dispatcher) receiveBody(a *attempt, s link.Stream, head *wire.AttemptHead, deadline time.Time) (*requestBody, error) {
	b := &requestBody{dispatcher: d, attempt: a, stream: s, deadline: deadline, length: head.BodyBytes}
	if head.Streamed {
		b.streamed = &streamedBody{stream: s, left: head.BodyBytes, released: make(chan struct{})}
		return b, nil
	}
	var err error
	b.held, err = readBody(s, head, deadline)
	return b, err
}

// watch begins to watch the stream.
func (b *requestBody) watch() { b.stopWatch = b.dispatcher.watchStream(b.attempt, b.stream) }

// begin asks for a streamed body and waits for its first bytes: they show that the ingress knows that
// the request runs from now on. An ingress that has given the stream up sends none. It holds the start of the
// body, so that the first bytes do not depend on its caller.
func (b *requestBody) begin(w *answerWriter) error {
	if b.streamed == nil {
		return nil
	}
	b.stopWatch()
	b.stopWatch = func() {}
	if err := w.writeContinue(); err != nil {
		return err
	}
	b.streamed.begun = true
	b.stream.SetReadDeadline(time.Now().Add(min(wire.SilenceTimeout, time.Until(b.deadline))))
	if err := b.streamed.readFrame(); err != nil {
		return err
	}
	return b.stream.SetReadDeadline(b.deadline)
}

// open returns a new reader of the body, or nil if it is empty. A streamed body is opened once.
func (b *requestBody) open() io.ReadCloser {
	switch {
	case b.streamed != nil:
		b.streamed.opened = true
		return b.streamed
	case len(b.held) == 0:
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.held))
}

// stop ends the reading of the stream.
func (b *requestBody) stop() {
	b.stopWatch()
	if s := b.streamed; s != nil && s.opened {
		b.stream.SetReadDeadline(time.Now())
		<-s.released
	}
}

// unread reports whether the ingress may still be sending the body.
func (b *requestBody) unread() bool {
	return b.streamed != nil && b.streamed.begun && !b.streamed.ended
}

// errBodyTruncated means that a body ended before its announced length, or went on after it.
var errBodyTruncated = errors.New("dispatch: the body does not have its announced length")

// streamedBody reads a body from the stream of its attempt.
type streamedBody struct {
	stream link.Stream
	left   int64  // bytes that are still to come; below 0: not known
	frame  []byte // rest of the last frame
	begun  bool   // the ingress was asked for the body
	opened bool   // given to the exchange with the upstream
	ended  bool   // the end was read
	err    error

	released chan struct{} // closed when the exchange does not read it any more
}

// readFrame reads the next frame. After the last one, ended is set.
func (b *streamedBody) readFrame() error {
	f, err := b.stream.ReadFrame()
	switch {
	case errors.Is(err, io.EOF):
		// The stream was reset between two frames.
		b.err = io.ErrUnexpectedEOF
	case err != nil:
		b.err = err
	case f.Type == wire.FrameData && (b.left < 0 || int64(len(f.Payload)) <= b.left):
		b.frame = f.Payload
		if b.left > 0 {
			b.left -= int64(len(f.Payload))
		}
	case f.Type == wire.FrameEnd && b.left <= 0:
		b.ended = true
	case f.Type == wire.FrameData, f.Type == wire.FrameEnd:
		b.err = errBodyTruncated
	default:
		b.err = &wire.UnexpectedFrameError{Got: f.Type, Want: wire.FrameData}
	}
	return b.err
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 && !b.ended && b.err == nil {
		b.readFrame()
	}
	switch {
	case len(b.frame) > 0:
		n := copy(p, b.frame)
		b.frame = b.frame[n:]
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	return 0, io.EOF
}

// Close implements io.Closer. The exchange closes the body when it does not read it any more.
func (b *streamedBody) Close() error {
	select {
	case <-b.released:
	default:
		close(b.released)
	}
	return nil
}
