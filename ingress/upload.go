package ingress

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// uploadChunk is the size of the frames of a streamed body, in bytes. It bounds what a link buffers.
const uploadChunk = 8 << 10

// upload sends the body of a streamed attempt, concurrently with the reading of its answer: an upstream
// may answer before it has read the body.
type upload struct {
	attempt *attempt
	stream  link.Stream
	done    chan struct{} // closed when sending has ended; nil: it has not begun
	// stopping is set when the body is not needed any more.
	stopping atomic.Bool

	mu       sync.Mutex
	bodyRead bool // the end of the body has been read
}

// start begins to send the body. The dispatcher asks for it once.
func (u *upload) start() {
	if u.done != nil || !u.attempt.head.Streamed || !u.attempt.rq.body.Replayable() {
		return
	}
	u.attempt.mayRun = true
	u.done = make(chan struct{})
	go func() {
		defer close(u.done)
		if u.send() != nil {
			// The dispatcher learns that the body ends here, and the reader of the answer returns.
			u.stream.Reset()
		}
	}()
}

func (u *upload) send() error {
	body := u.attempt.rq.body.Open()
	buf := make([]byte, uploadChunk)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := u.stream.WriteFrame(wire.FrameData, buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			u.finishReading()
			return u.stream.WriteFrame(wire.FrameEnd, nil)
		case err != nil && !u.stopping.Load():
			u.attempt.bodyFault = &bodyFault{err}
			return err
		case err != nil:
			return err
		}
	}
}

// stop waits until sending has ended, after the answer or a failure of the route. A body that was not
// sent to its end is not needed any more: the rest of it is not read, and the server closes the caller's
// connection after the answer.
func (u *upload) stop() {
	if u.done == nil {
		return
	}
	select {
	case <-u.done:
	default:
		u.stopping.Store(true)
		u.abortReading()
		u.stream.Reset()
		<-u.done
	}
}

// finishReading removes the deadline of the body: the server goes on reading, to notice when the caller
// leaves.
func (u *upload) finishReading() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bodyRead = true
	u.attempt.rq.conn.SetReadDeadline(time.Time{})
}

// abortReading ends the reading of the body, unless its end has been read. The server cancels all later
// requests of a connection on which a read fails, so the connection is not used again.
func (u *upload) abortReading() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.bodyRead {
		u.attempt.answer.w.Header().Set("Connection", "close")
		u.attempt.rq.conn.SetReadDeadline(time.Now())
	}
}

// bodyFault says why the body of a request could not be read to its end.
type bodyFault struct{ err error }

// outcome returns the outcome of the request, whose start may have reached an upstream.
func (f *bodyFault) outcome() outcome.Ended {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(f.err, &tooLarge):
		return outcome.MayHaveRun(outcome.ReasonTooLarge)
	case errors.Is(f.err, os.ErrDeadlineExceeded):
		return outcome.MayHaveRun(outcome.ReasonLateAnswer)
	}
	return outcome.MayHaveRun(outcome.ReasonCanceled)
}
