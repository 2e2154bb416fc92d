package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

const (
	// attemptRetention is how long the ID of an ended attempt is kept. An ingress resends within a
	// few round trips, and never after the deadline.
	attemptRetention = 60 * time.Second
	// answerRetention is how long the answer of an ended attempt is kept. An ingress considers a
	// silent path failed after 1.5 s and then tries two others for less than a second each. A later
	// resend is told that the attempt has run, without its answer.
	answerRetention = 10 * time.Second
	// maxKeptBody is the size of the largest answer body kept for resends, in bytes.
	maxKeptBody = 64 << 10
	// maxKeptBodiesTotal bounds the total size of the bodies kept at a node, in bytes.
	maxKeptBodiesTotal = 8 << 20
)

// attempt is an attempt that this dispatcher has received, with its answer once it has ended. The
// same attempt may arrive on several streams, when an ingress considers a connection silent and
// resends it; it runs once.
type attempt struct {
	id string
	// done is closed when the attempt has ended.
	done chan struct{}
	// ctx ends at the deadline, or when no stream is attached any more.
	ctx    context.Context
	cancel context.CancelFunc
	// claim is set before the attempt is shared. It belongs to the attempt and not to the stream
	// that arrived first, which may break.
	claim *claim

	// queued is the time spent waiting for a slot, served the time at the upstream, and expected the
	// usual one of the kind. Only the goroutine that runs the attempt may access them.
	queued, served, expected time.Duration

	mu      sync.Mutex
	streams int
	started bool
	writer  *answerWriter // of the stream that has started the attempt; nil: none
	ended   bool
	head    *wire.AnswerHead
	body    []byte
	// bodyDropped says that the answer body was too large to keep, or that the answer has expired.
	bodyDropped bool
	end         wire.AnswerEnd
}

// start reports whether the calling stream is the first that received the whole request, and
// therefore has to run the attempt and to write its answer to w.
func (a *attempt) start(w *answerWriter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.ended {
		return false
	}
	a.started, a.writer = true, w
	return true
}

// wait waits until the attempt has ended. Meanwhile it resets the stream of the attempt if that blocks
// the writing of the answer: the ingress waits for the answer on another stream.
func (a *attempt) wait() {
	check := time.NewTicker(wire.AckInterval)
	defer check.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-check.C:
		}
		a.mu.Lock()
		w := a.writer
		a.mu.Unlock()
		if w != nil {
			w.resetIfBlocked()
		}
	}
}

func (a *attempt) keepHead(h *wire.AnswerHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
}

func (a *attempt) keepBody(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyDropped {
		return
	}
	if len(a.body)+len(b) > maxKeptBody {
		a.bodyDropped, a.body = true, nil
		return
	}
	a.body = append(a.body, b...)
}

// dropBody is called for an answer whose body is known to be too large to be kept.
func (a *attempt) dropBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodyDropped, a.body = true, nil
}

// keepsAnswer reports whether the whole answer so far is recorded.
func (a *attempt) keepsAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.bodyDropped
}

// answer returns the recorded answer of an ended attempt. kept is false if it was dropped.
func (a *attempt) answer() (head *wire.AnswerHead, body []byte, kept bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.body, !a.bodyDropped
}

// dropAnswer discards the recorded answer and returns the size of its body.
func (a *attempt) dropAnswer() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.body)
	a.head, a.body, a.bodyDropped = nil, nil, true
	return n
}

// registry holds recent attempts by ID, so that none runs twice.
type registry struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// ended holds the ended attempts in the order of their end, from index first on.
	ended []endedAttempt
	first int
	// droppedUntil is the index in ended below which answers have been dropped.
	droppedUntil int
	keptBytes    int // total size of the kept bodies
}

type endedAttempt struct {
	a  *attempt
	at time.Time
}

func newRegistry() *registry { return &registry{attempts: map[string]*attempt{}} }

// attach returns the attempt with this ID and counts one more stream that waits for it. A new
// attempt is passed to setUp before it is shared.
func (r *registry) attach(id string, deadline time.Time, setUp func(*attempt)) (a *attempt, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	a = r.attempts[id]
	if a == nil {
		a = &attempt{id: id, done: make(chan struct{})}
		a.ctx, a.cancel = context.WithDeadline(context.Background(), deadline)
		setUp(a)
		r.attempts[id] = a
		isNew = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams++
	return a, isNew
}

// knows reports whether the attempt with this ID has arrived before.
func (r *registry) knows(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[id] != nil
}

// detach is called when a stream of the attempt is lost. After the last one, the attempt is
// canceled, and finished as not run if it had not started.
func (r *registry) detach(a *attempt) {
	a.mu.Lock()
	a.streams--
	noStreams := a.streams == 0
	abandoned := noStreams && !a.started && !a.ended
	if abandoned {
		a.started = true
	}
	a.mu.Unlock()
	if noStreams {
		a.cancel()
	}
	if abandoned {
		a.claim.abandon()
		r.finish(a, wire.AnswerEnd{Outcome: outcome.NotRun, Reason: outcome.ReasonCanceled})
	}
}

// finish records how the attempt ended and wakes the streams that wait for it.
func (r *registry) finish(a *attempt, end wire.AnswerEnd) {
	a.mu.Lock()
	a.end = end
	a.ended = true
	size := len(a.body)
	a.mu.Unlock()
	a.cancel()
	close(a.done)

	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = append(r.ended, endedAttempt{a, time.Now()})
	r.keptBytes += size
	r.dropAnswers(time.Now())
}

// dropAnswers discards answers that are too old, and the oldest ones above maxKeptBodiesTotal. r.mu
// is held.
func (r *registry) dropAnswers(now time.Time) {
	r.droppedUntil = max(r.droppedUntil, r.first)
	for r.droppedUntil < len(r.ended) && (r.keptBytes > maxKeptBodiesTotal || now.Sub(r.ended[r.droppedUntil].at) > answerRetention) {
		r.keptBytes -= r.ended[r.droppedUntil].a.dropAnswer()
		r.droppedUntil++
	}
}

// expire removes attempts that ended more than attemptRetention ago. r.mu is held.
func (r *registry) expire(now time.Time) {
	r.dropAnswers(now)
	for r.first < len(r.ended) && now.Sub(r.ended[r.first].at) > attemptRetention {
		e := &r.ended[r.first]
		r.keptBytes -= e.a.dropAnswer()
		delete(r.attempts, e.a.id)
		*e = endedAttempt{}
		r.first++
	}
	if r.first > len(r.ended)/2 {
		r.droppedUntil = max(0, r.droppedUntil-r.first)
		r.ended = append([]endedAttempt(nil), r.ended[r.first:]...)
		r.first = 0
	}
}
