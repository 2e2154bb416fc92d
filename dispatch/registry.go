package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

const (
	// rememberAttempts is how long the id of an ended attempt is kept. An
	// ingress resends within a few round trips, and never after the deadline.
	rememberAttempts = 60 * time.Second
	// keepAnswers is how long the answer of an ended attempt is kept. An ingress takes
	// a silent path for failed after 1.5 s and tries two others for less than a second
	// each; it hears of a later resend that the attempt has run.
	keepAnswers = 10 * time.Second
	// maxReplay is the largest body kept for a resend, in bytes.
	maxReplay = 64 << 10
	// maxReplayTotal bounds all kept bodies of a node, in bytes.
	maxReplayTotal = 8 << 20
)

// attempt is one attempt that came to this dispatcher, with its answer once it
// has ended. The same attempt may come over several streams, when an ingress
// takes a connection for silent; it runs once.
type attempt struct {
	id string
	// done is closed when the attempt has ended.
	done chan struct{}
	// ctx ends with the deadline, or when no stream is attached any more.
	ctx    context.Context
	cancel context.CancelFunc
	// claim is set before the attempt is shared. It belongs to the attempt and
	// not to the stream that came first, which may break.
	claim *claim

	// queued and served are how long it waited for a slot and held one. They
	// belong to the goroutine that runs it.
	queued, served time.Duration

	mu       sync.Mutex
	attached int
	started  bool
	ended    bool
	head     *wire.AnswerHead
	body     []byte
	// bodyGone says that the answer was too large to keep, or has been dropped.
	bodyGone bool
	end      wire.AnswerEnd
}

// start reports whether the calling stream is the first to have brought the
// whole request, and has to run the attempt.
func (a *attempt) start() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.started || a.ended {
		return false
	}
	a.started = true
	return true
}

func (a *attempt) keepHead(h *wire.AnswerHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
}

func (a *attempt) keepBody(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bodyGone {
		return
	}
	if len(a.body)+len(b) > maxReplay {
		a.bodyGone, a.body = true, nil
		return
	}
	a.body = append(a.body, b...)
}

// answer returns the answer of an ended attempt. kept is false if it was dropped.
func (a *attempt) answer() (head *wire.AnswerHead, body []byte, kept bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head, a.body, !a.bodyGone
}

// dropAnswer frees the kept answer and returns the size of its body.
func (a *attempt) dropAnswer() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.body)
	a.head, a.body, a.bodyGone = nil, nil, true
	return n
}

// registry remembers recent attempts by id, so that none runs twice.
type registry struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// ended holds the ended attempts, the oldest first, from index first on.
	ended []endedAttempt
	first int
	// dropped is the index below which answers have been dropped.
	dropped int
	kept    int // bytes of kept bodies
}

type endedAttempt struct {
	a  *attempt
	at time.Time
}

func newRegistry() *registry { return &registry{attempts: map[string]*attempt{}} }

// attach returns the attempt called id and counts a stream that waits for it.
// A new attempt is passed to begin before others see it.
func (r *registry) attach(id string, deadline time.Time, begin func(*attempt)) (a *attempt, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(time.Now())
	a = r.attempts[id]
	if a == nil {
		a = &attempt{id: id, done: make(chan struct{})}
		a.ctx, a.cancel = context.WithDeadline(context.Background(), deadline)
		begin(a)
		r.attempts[id] = a
		isNew = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attached++
	return a, isNew
}

// knows reports whether the attempt called id has come before.
func (r *registry) knows(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[id] != nil
}

// detach is called when a stream was lost. Once none is left the attempt is
// cancelled, and has ended if it had not started.
func (r *registry) detach(a *attempt) {
	a.mu.Lock()
	a.attached--
	last := a.attached == 0
	abandoned := last && !a.started && !a.ended
	if abandoned {
		a.started = true
	}
	a.mu.Unlock()
	if last {
		a.cancel()
	}
	if abandoned {
		a.claim.abandon()
		r.finish(a, wire.AnswerEnd{Outcome: outcome.NotRun, Reason: outcome.ReasonCanceled})
	}
}

// finish records how a ended and wakes those that wait for it.
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
	r.kept += size
	r.dropAnswers(time.Now())
}

// dropAnswers frees answers that are old, or more than may be kept. r.mu is held.
func (r *registry) dropAnswers(now time.Time) {
	r.dropped = max(r.dropped, r.first)
	for r.dropped < len(r.ended) && (r.kept > maxReplayTotal || now.Sub(r.ended[r.dropped].at) > keepAnswers) {
		r.kept -= r.ended[r.dropped].a.dropAnswer()
		r.dropped++
	}
}

// expire forgets attempts that ended long ago. r.mu is held.
func (r *registry) expire(now time.Time) {
	r.dropAnswers(now)
	for r.first < len(r.ended) && now.Sub(r.ended[r.first].at) > rememberAttempts {
		e := &r.ended[r.first]
		r.kept -= e.a.dropAnswer()
		delete(r.attempts, e.a.id)
		*e = endedAttempt{}
		r.first++
	}
	if r.first > len(r.ended)/2 {
		r.dropped = max(0, r.dropped-r.first)
		r.ended = append([]endedAttempt(nil), r.ended[r.first:]...)
		r.first = 0
	}
}
