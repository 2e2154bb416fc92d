package idempotency

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// Defaults of TableConfig.
const (
	DefaultRetention   = 24 * time.Hour
	DefaultMaxKeys     = 250_000
	DefaultAnswerBytes = 32 << 20
)

// TableConfig sets the limits of a table. All founders of a group use the same limits; replicas
// that join get them from the snapshot.
type TableConfig struct {
	// Epoch is the epoch of the group.
	Epoch uint64 `cbor:"1,keyasint"`
	// RetentionMs is how long an entry is kept after its last change.
	RetentionMs int64 `cbor:"2,keyasint"`
	// MaxKeys bounds the number of entries.
	MaxKeys int `cbor:"3,keyasint"`
	// AnswerBytes bounds the total size of the stored answers. The oldest are dropped first.
	AnswerBytes int `cbor:"4,keyasint"`
}

// DefaultTableConfig returns the default limits for a group's epoch.
func DefaultTableConfig(epoch uint64) TableConfig {
	return TableConfig{epoch, DefaultRetention.Milliseconds(), DefaultMaxKeys, DefaultAnswerBytes}
}

// entry is the state of one key. The key is unclaimed if Holder is empty and Record is nil.
type entry struct {
	Key     Key       `cbor:"1,keyasint"`
	Holder  AttemptID `cbor:"2,keyasint,omitempty"`
	Expires int64     `cbor:"3,keyasint,omitempty"`
	Fenced  []fence   `cbor:"4,keyasint,omitempty"`
	Record  *Record   `cbor:"5,keyasint,omitempty"`
	Changed int64     `cbor:"6,keyasint"`
	// Seq is the sequence number of the last change. A queue item with another one is stale.
	Seq uint64 `cbor:"7,keyasint"`
	// Timed says that the key had a readable creation time at its first operation.
	Timed bool `cbor:"8,keyasint,omitempty"`
}

// fence is an attempt that must not run.
type fence struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	At      int64     `cbor:"2,keyasint"`
}

// Table is the replicated state machine of claims.
type Table struct {
	cfg       TableConfig
	entries   map[string]*entry
	now       int64 // time of the last command
	startedAt int64 // time of the first command
	floor     int64 // a key created before it, without an entry, may have been forgotten
	seq       uint64

	// The queues hold entries in the order of their last change.
	timed, untimed, answers queue
	answerBytes             int
}

// NewTable returns an empty table.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, entries: map[string]*entry{}}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Apply implements consensus.StateMachine. The command is an encoded Command and the result an
// encoded []Result.
func (t *Table) Apply(_ uint64, command []byte) []byte {
	var c Command
	results := []Result{}
	// A malformed command has no results, on all replicas alike.
	if err := wire.Decode(command, &c); err == nil {
		results = t.applyCommand(c)
	}
	b, err := wire.Encode(results)
	if err != nil {
		panic(fmt.Sprintf("idempotency: encode results: %v", err))
	}
	return b
}

func (t *Table) applyCommand(c Command) []Result {
	t.advance(c.Now)
	results := make([]Result, len(c.Ops))
	for i, op := range c.Ops {
		switch op.Kind {
		case OpClaim:
			results[i] = t.claim(op)
		case OpFence:
			results[i] = t.fence(op)
		case OpFinish:
			results[i] = t.finish(op)
		}
	}
	return results
}

// advance sets the time and forgets entries whose retention window is over.
func (t *Table) advance(now int64) {
	if t.startedAt == 0 {
		t.startedAt = now
		if t.cfg.Epoch > 1 {
			t.floor = now + maxSkewMs + 1
		}
	}
	t.now = max(t.now, now)
	cutoff := t.now - t.cfg.RetentionMs
	t.floor = max(t.floor, cutoff+maxSkewMs+1)
	for _, q := range []*queue{&t.timed, &t.untimed} {
		for {
			id, e := t.oldest(q)
			if e == nil || e.Changed > cutoff {
				break
			}
			t.forget(id, e)
		}
	}
	t.oldest(&t.answers) // drops items of forgotten entries
}

const (
	maxSkewMs  = int64(MaxClockSkew / time.Millisecond)
	maxClaimMs = int64(MaxClaimDuration / time.Millisecond)
)

// createdAt returns the creation time in a UUIDv7 key. ok is false if the key is not a UUIDv7 or
// its time is in the future.
func (t *Table) createdAt(k Key) (ms int64, ok bool) {
	id, err := uuid.Parse(k.Value)
	if err != nil || id.Version() != 7 {
		return 0, false
	}
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, ms <= t.now+maxSkewMs
}

// mayBeForgotten reports whether a key without an entry may have had one.
func (t *Table) mayBeForgotten(k Key) bool {
	if at, ok := t.createdAt(k); ok {
		return at < t.floor
	}
	return t.cfg.Epoch > 1 && t.now < t.startedAt+t.cfg.RetentionMs
}

func (t *Table) claim(op Op) Result {
	e := t.entries[op.Key.id()]
	switch {
	case e == nil && t.mayBeForgotten(op.Key):
		return Result{Status: StatusOldKey}
	case e != nil && e.Record != nil:
		return Result{StatusFinished, e.Record}
	case e != nil && e.Holder == op.Attempt:
		return Result{Status: StatusGranted}
	case e != nil && e.Holder != "":
		return Result{Status: t.heldStatus(e)}
	case e != nil && e.isFenced(op.Attempt):
		return Result{Status: StatusFenced}
	case op.Expires <= t.now:
		return Result{Status: StatusExpired}
	}
	if e == nil {
		if e = t.addEntry(op.Key); e == nil {
			return Result{Status: StatusFull}
		}
	}
	e.Holder, e.Expires = op.Attempt, op.Expires
	t.recordChange(e)
	return Result{Status: StatusGranted}
}

// heldStatus distinguishes a claim that has not expired from one whose holder is lost.
func (t *Table) heldStatus(e *entry) Status {
	if e.Expires <= t.now {
		return StatusAbandoned
	}
	return StatusHeld
}

func (t *Table) fence(op Op) Result {
	e := t.entries[op.Key.id()]
	switch {
	case e == nil && t.mayBeForgotten(op.Key):
		return Result{Status: StatusOldKey}
	case e != nil && e.isFenced(op.Attempt):
		return Result{Status: StatusFenced}
	case e != nil && e.Record != nil:
		return Result{StatusFinished, e.Record}
	case e != nil && e.Holder == op.Attempt:
		return Result{Status: t.heldStatus(e)}
	}
	if e == nil {
		e = t.addEntry(op.Key)
	}
	if e == nil || !t.addFence(e, op.Attempt) {
		return Result{Status: StatusFull}
	}
	t.recordChange(e)
	return Result{Status: StatusFenced}
}

func (t *Table) finish(op Op) Result {
	e := t.entries[op.Key.id()]
	if op.Record == nil {
		return Result{Status: StatusNotHolder}
	}
	if e == nil && t.mayBeForgotten(op.Key) && op.Record.Outcome != outcome.NotRun {
		// The attempt held the key before it was forgotten. No other attempt can be granted it, so
		// storing the record is safe, and the caller gets an answer instead of an unknown outcome.
		if e = t.addEntry(op.Key); e == nil {
			return Result{Status: StatusFull}
		}
		e.Holder = op.Attempt
	}
	switch {
	case e == nil, e.Holder != op.Attempt:
		return t.finishNotHeld(op, e)
	case e.Record != nil:
		return Result{Status: StatusRecorded}
	case op.Record.Outcome == outcome.NotRun:
		// The key is free again, but not for the same attempt.
		if !t.addFence(e, op.Attempt) {
			return Result{Status: StatusFull}
		}
		e.Holder, e.Expires = "", 0
	default:
		e.Record = t.storedRecord(op.Record)
	}
	t.recordChange(e)
	return Result{Status: StatusRecorded}
}

// finishNotHeld handles a record of an attempt that does not hold the key. An attempt that reports
// that it has not run is fenced, so that a claim of it that is still in flight is not granted.
func (t *Table) finishNotHeld(op Op, e *entry) Result {
	if op.Record.Outcome != outcome.NotRun {
		return Result{Status: StatusNotHolder}
	}
	if e != nil && e.Record != nil {
		return Result{Status: StatusRecorded}
	}
	if r := t.fence(op); r.Status == StatusFull {
		return r
	}
	return Result{Status: StatusRecorded}
}

// storedRecord returns a copy of the record to be stored, without an answer that is too large.
func (t *Table) storedRecord(r *Record) *Record {
	stored := *r
	if stored.answerBytes() > MaxAnswer {
		stored.dropAnswer()
	}
	return &stored
}

func (r *Record) dropAnswer() {
	r.Headers, r.Body, r.Status = nil, nil, 0
	r.AnswerGone = true
}

// addFence stores that an attempt must not run. It returns false if MaxFenced fences are stored
// already whose attempts may still send claims.
func (t *Table) addFence(e *entry, a AttemptID) bool {
	if len(e.Fenced) >= MaxFenced {
		cutoff := t.now - maxClaimMs - 2*maxSkewMs
		e.Fenced = slices.DeleteFunc(e.Fenced, func(f fence) bool { return f.At < cutoff })
	}
	if len(e.Fenced) >= MaxFenced {
		return false
	}
	e.Fenced = append(e.Fenced, fence{a, t.now})
	return true
}

func (e *entry) isFenced(a AttemptID) bool {
	for _, f := range e.Fenced {
		if f.Attempt == a {
			return true
		}
	}
	return false
}
