package idempotency

import (
	"context"
	"strings"
	"time"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// Key identifies a request of a caller. The same value under another service, kind or caller
// identifies another request.
type Key struct {
	Service string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Caller  string `cbor:"3,keyasint"`
	Value   string `cbor:"4,keyasint"` // of the Idempotency-Key header
}

// id returns the key as one string.
func (k Key) id() string {
	return strings.Join([]string{k.Service, k.Kind, k.Caller, k.Value}, "\x00")
}

// AttemptID identifies one attempt at a request. It is unique in the fleet.
type AttemptID string

// Limits of a table. All replicas of a group use the same.
const (
	// MaxAnswer is the size of the largest answer that is stored, in bytes of headers and body.
	MaxAnswer = 16 << 10
	// MaxFenced bounds the number of fenced attempts that are stored for one key.
	MaxFenced = 64
	// MaxClaimDuration is the longest time from a claim to its expiry. It is longer than the longest
	// deadline of a request kind. A fence is stored for at least as long; claims of its attempt
	// that arrive later have expired.
	MaxClaimDuration = 15 * time.Minute
	// MaxClockSkew is the largest difference between any two clocks of callers and nodes.
	MaxClockSkew = 30 * time.Second
)

// Record describes how the attempt that held a key ended.
type Record struct {
	Outcome outcome.Outcome `cbor:"1,keyasint"`
	Reason  outcome.Reason  `cbor:"2,keyasint,omitempty"`
	// Status, Headers and Body are the answer, if Outcome is Answered.
	Status  int           `cbor:"3,keyasint,omitempty"`
	Headers []wire.Header `cbor:"4,keyasint,omitempty"`
	Body    []byte        `cbor:"5,keyasint,omitempty"`
	// AnswerGone says that the request was answered but the answer is not stored, because it was
	// larger than MaxAnswer or the table was full.
	AnswerGone bool `cbor:"6,keyasint,omitempty"`
}

// Ended returns the outcome for a request that is sent again.
func (r *Record) Ended() outcome.Ended {
	if r.AnswerGone || r.Outcome == outcome.Answered && !wire.ValidStatus(r.Status) {
		// A record of an earlier version may have a status outside HTTP.
		return outcome.MayHaveRun(outcome.ReasonAnswerGone)
	}
	return outcome.Ended{Outcome: r.Outcome, Reason: r.Reason}
}

// answerBytes returns the size of the answer.
func (r *Record) answerBytes() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Status is the result of an operation on a key.
type Status uint8

// Statuses of results. The zero value is not a status.
const (
	// StatusGranted: the attempt holds the key and may run.
	StatusGranted Status = iota + 1
	// StatusHeld: an attempt holds the key and has not finished. As the result of a fence: the
	// attempt to be fenced holds the key.
	StatusHeld
	// StatusFenced: the attempt has not run and will not run.
	StatusFenced
	// StatusFinished: the attempt that held the key has ended; the result has its record.
	StatusFinished
	// StatusAbandoned: the attempt that held the key did not finish before its claim expired. It
	// may have run.
	StatusAbandoned
	// StatusOldKey: the key may have had an entry that was forgotten. The request may have run.
	StatusOldKey
	// StatusExpired: the claim arrived after its own expiry and is not granted.
	StatusExpired
	// StatusFull: the table has no room. Nothing was changed.
	StatusFull
	// StatusRecorded: the record is stored.
	StatusRecorded
	// StatusNotHolder: the attempt does not hold the key; nothing was changed.
	StatusNotHolder
)

// String returns the status as written in logs.
func (s Status) String() string {
	return [...]string{"none", "granted", "held", "fenced", "finished", "abandoned", "old-key",
		"expired", "full", "recorded", "not-holder"}[min(s, StatusNotHolder)]
}

// ClaimResult is the result of a claim: StatusGranted, StatusHeld, StatusFenced, StatusFinished,
// StatusAbandoned, StatusOldKey, StatusExpired or StatusFull.
type ClaimResult struct {
	Status Status
	Record *Record // for StatusFinished
}

// Ended returns the outcome of the request for an attempt that was not granted the key.
func (r ClaimResult) Ended() outcome.Ended {
	switch r.Status {
	case StatusFinished:
		return r.Record.Ended()
	case StatusFenced:
		return outcome.HasNotRun(outcome.ReasonFenced)
	case StatusExpired:
		return outcome.HasNotRun(outcome.ReasonDeadline)
	case StatusFull:
		return outcome.HasNotRun(outcome.ReasonClaimFailed)
	case StatusOldKey:
		return outcome.MayHaveRun(outcome.ReasonOldKey)
	case StatusAbandoned:
		return outcome.MayHaveRun(outcome.ReasonLostDispatcher)
	default:
		return outcome.MayHaveRun(outcome.ReasonHeldByOther)
	}
}

// FenceResult is the result of a fence: StatusFenced, StatusHeld, StatusFinished, StatusAbandoned,
// StatusOldKey or StatusFull. Only StatusFenced means that the attempt has not run.
type FenceResult struct {
	Status Status
	Record *Record // for StatusFinished
}

// Claims is the interface that the request path uses.
//
// An error means that the operation may or may not have been carried out. After an error of Claim,
// the attempt must not run; Finish with a NotRun record then frees the key for other attempts,
// whether or not the claim was granted.
type Claims interface {
	// Claim requests the right to run the attempt. A claim that is not finished by expires, at most
	// MaxClaimDuration from now, counts as abandoned.
	Claim(ctx context.Context, key Key, attempt AttemptID, expires time.Time) (ClaimResult, error)
	// Fence ensures that the attempt does not run, unless it already holds the key.
	Fence(ctx context.Context, key Key, attempt AttemptID) (FenceResult, error)
	// Finish records how the attempt that holds the key ended. A NotRun record frees the key for
	// other attempts.
	Finish(ctx context.Context, key Key, attempt AttemptID, record Record) error
}

// OpKind is a kind of operation.
type OpKind uint8

// Kinds of operations.
const (
	OpClaim OpKind = iota + 1
	OpFence
	OpFinish
)

// Op is one operation on a key.
type Op struct {
	Kind    OpKind    `cbor:"1,keyasint"`
	Key     Key       `cbor:"2,keyasint"`
	Attempt AttemptID `cbor:"3,keyasint"`
	Expires int64     `cbor:"4,keyasint,omitempty"` // Unix time in ms, for OpClaim
	Record  *Record   `cbor:"5,keyasint,omitempty"` // for OpFinish
}

// Result is the result of an operation.
type Result struct {
	Status Status  `cbor:"1,keyasint"`
	Record *Record `cbor:"2,keyasint,omitempty"`
}

// Command is the unit that a group commits: operations and the leader's time.
type Command struct {
	Now int64 `cbor:"1,keyasint"` // Unix time in ms
	Ops []Op  `cbor:"2,keyasint"`
}
