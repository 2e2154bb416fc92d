package admission

import (
	"time"

	"github.com/godwithub/godwithub/outcome"
)

// ExpiryReason returns why a ticket whose maximum wait is over is refused: with time left
// to its deadline, another upstream may still serve it.
func (t *Ticket) ExpiryReason(now time.Time) outcome.Reason {
	if now.Before(t.Deadline) {
		return outcome.ReasonQueueLong
	}
	return outcome.ReasonDeadline
}

// Expire removes and returns the tickets whose maximum wait is over. The dispatcher
// must refuse them with their ExpiryReason. Next does the same; Expire is for an upstream
// whose slots stay busy.
func (q *Queue) Expire(now time.Time) []Ticket {
	var expired []Ticket
	for q.expiry.len() > 0 && q.expiry.min().expiresAt.Before(now) {
		expired = append(expired, q.dropLate(now, q.expiry.min()))
	}
	return expired
}

// dropLate drops an entry that can no longer be served in time.
func (q *Queue) dropLate(now time.Time, e *entry) Ticket {
	q.recordDrop(now, &e.ticket)
	q.drop(e)
	return e.ticket
}

// NextExpiry returns the time after which Expire removes the next ticket. ok is
// false if the queue is empty.
func (q *Queue) NextExpiry() (at time.Time, ok bool) {
	if q.expiry.len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.min().expiresAt, true
}

// Trim removes and returns the queued tickets that Offer would refuse now, because the upstream
// accepts less work than it did when they were offered. The dispatcher must refuse them.
func (q *Queue) Trim(now time.Time) []Ticket {
	var trimmed []Ticket
	for _, r := range q.ranks {
		for _, part := range []trimmable{&r.retriesAndTrials, &r.firstAttempts, r.calls} {
			trimmed = append(trimmed, q.trimLast(part, func(e *entry) bool { return q.pressure(now, e) > 1 })...)
		}
	}
	return trimmed
}

// TrimDisplaced removes and returns the queued tickets that would probably wait for longer than they
// may, because tickets with precedence over them have come. The dispatcher must refuse them with their
// ExpiryReason. They would be refused later otherwise. Like other drops, they raise the threshold.
func (q *Queue) TrimDisplaced(now time.Time) []Ticket {
	var trimmed []Ticket
	isDisplaced := func(e *entry) bool { return q.wait(now, e.rank, e) > e.expiresAt.Sub(now) }
	for _, r := range q.ranks {
		for _, part := range []trimmable{&r.firstAttempts, r.calls} {
			trimmed = append(trimmed, q.trimLast(part, isDisplaced)...)
		}
	}
	for i := range trimmed {
		q.recordDrop(now, &trimmed[i])
	}
	return trimmed
}

// trimmable is a part of a rank whose last entry can be found.
type trimmable interface{ last() *entry }

// trimLast removes entries of part from the last one on, until refuses returns false. The entries before that wait
// for less time.
func (q *Queue) trimLast(part trimmable, refuses func(*entry) bool) []Ticket {
	var trimmed []Ticket
	for e := part.last(); e != nil && refuses(e); e = part.last() {
		q.drop(e)
		trimmed = append(trimmed, e.ticket)
	}
	return trimmed
}

// maxWait returns how long a ticket with the given slack may wait in the queue.
func maxWait(t *Ticket, slack time.Duration) time.Duration {
	if t.Call {
		return time.Duration(callWaitFraction * float64(slack))
	}
	fraction := time.Duration(maxWaitFraction * float64(slack))
	return max(fraction, min(slack, alwaysAllowedWait))
}
