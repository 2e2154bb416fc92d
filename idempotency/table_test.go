package idempotency

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/wire"
)

// keyAt returns a UUIDv7 key with the given creation time and number.
func keyAt(ms int64, n int) Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6] = 0x70
	id[8] = 0x80
	return Key{Service: "s", Kind: "k", Caller: "c", Value: id.String()}
}

func plainKey(value string) Key { return Key{Service: "s", Kind: "k", Caller: "c", Value: value} }

func (t *Table) applyOp(now int64, op Op) Result { return t.applyCommand(Command{now, []Op{op}})[0] }

func claimOp(k Key, a AttemptID, expires int64) Op {
	return Op{Kind: OpClaim, Key: k, Attempt: a, Expires: expires}
}
func fenceOp(k Key, a AttemptID) Op { return Op{Kind: OpFence, Key: k, Attempt: a} }
func finishOp(k Key, a AttemptID, r Record) Op {
	return Op{Kind: OpFinish, Key: k, Attempt: a, Record: &r}
}

const start = int64(1_800_000_000_000)

// Guards against an attempt that runs beside another, after it was fenced, or after the request has
// ended.
func TestFirstWriterWins(t *testing.T) {
	answer := Record{Outcome: outcome.Answered, Status: 201, Body: []byte("done")}
	notRun := Record{Outcome: outcome.NotRun, Reason: outcome.ReasonConnect}
	k := plainKey("order-1")
	for _, c := range []struct {
		name string
		ops  []Op
		want []Status
	}{
		{"second attempt is held", []Op{claimOp(k, "a", start+1000), claimOp(k, "b", start+1000)}, []Status{StatusGranted, StatusHeld}},
		{"claim sent again", []Op{claimOp(k, "a", start+1000), claimOp(k, "a", start+1000)}, []Status{StatusGranted, StatusGranted}},
		{"fence first", []Op{fenceOp(k, "a"), claimOp(k, "a", start+1000), claimOp(k, "b", start+1000)}, []Status{StatusFenced, StatusFenced, StatusGranted}},
		{"claim first", []Op{claimOp(k, "a", start+1000), fenceOp(k, "a"), fenceOp(k, "b"), claimOp(k, "b", start+1000)},
			[]Status{StatusGranted, StatusHeld, StatusFenced, StatusHeld}},
		{"finished", []Op{claimOp(k, "a", start+1000), finishOp(k, "a", answer), claimOp(k, "b", start+1000), fenceOp(k, "a"), finishOp(k, "a", notRun)},
			[]Status{StatusGranted, StatusRecorded, StatusFinished, StatusFinished, StatusRecorded}},
		{"not run frees the key", []Op{claimOp(k, "a", start+1000), finishOp(k, "a", notRun), claimOp(k, "a", start+1000), claimOp(k, "b", start+1000)},
			[]Status{StatusGranted, StatusRecorded, StatusFenced, StatusGranted}},
		{"not run before the claim arrives", []Op{finishOp(k, "a", notRun), claimOp(k, "a", start+1000)}, []Status{StatusRecorded, StatusFenced}},
		{"record of another", []Op{claimOp(k, "a", start+1000), finishOp(k, "b", answer), claimOp(k, "c", start+1000)}, []Status{StatusGranted, StatusNotHolder, StatusHeld}},
		{"late claim", []Op{claimOp(k, "a", start)}, []Status{StatusExpired}},
	} {
		table := NewTable(DefaultTableConfig(1))
		for i, op := range c.ops {
			assert.Equal(t, table.applyOp(start, op).Status, c.want[i], "%s, operation %d", c.name, i)
		}
	}
}

// Guards against granting a key again whose holder is lost, and against telling a caller that the
// lost holder is still running.
func TestAbandonedClaimIsNeverGrantedAgain(t *testing.T) {
	table := NewTable(DefaultTableConfig(1))
	k := plainKey("x")
	assert.Equal(t, table.applyOp(start, claimOp(k, "a", start+100)).Status, StatusGranted)
	assert.Equal(t, table.applyOp(start+200, claimOp(k, "b", start+900)).Status, StatusAbandoned)
	assert.Equal(t, table.applyOp(start+200, fenceOp(k, "a")).Status, StatusAbandoned)
	assert.Equal(t, table.applyOp(start+300, finishOp(k, "a", Record{Outcome: outcome.Answered})).Status, StatusRecorded)
	assert.Equal(t, table.applyOp(start+400, claimOp(k, "c", start+900)).Status, StatusFinished)
}

// Guards against keys of a lost group that run again, and against refusing new keys for longer than
// needed.
func TestKeysOlderThanTheEpochAreUnknown(t *testing.T) {
	cfg := DefaultTableConfig(2)
	table := NewTable(cfg)
	claim := func(now int64, k Key) Status { return table.applyOp(now, claimOp(k, "a", now+1000)).Status }
	assert.Equal(t, claim(start, keyAt(start-1, 1)), StatusOldKey)
	assert.Equal(t, claim(start, keyAt(start+maxSkewMs, 2)), StatusOldKey)
	assert.Equal(t, claim(start, plainKey("no-time")), StatusOldKey)
	later := start + 2*maxSkewMs
	assert.Equal(t, claim(later, keyAt(later, 3)), StatusGranted)
	assert.Equal(t, claim(later, plainKey("no-time")), StatusOldKey)
	// The holder of an old key can still store its answer for the caller.
	old := keyAt(start-1, 1)
	assert.Equal(t, table.applyOp(later, finishOp(old, "a", Record{Outcome: outcome.Answered})).Status, StatusRecorded)
	assert.Equal(t, claim(later, old), StatusFinished)
	retentionEnd := start + cfg.RetentionMs
	assert.Equal(t, claim(retentionEnd, plainKey("no-time")), StatusGranted)
}

// Guards against memory that grows with the number of requests, and against granting a key again
// whose entry was forgotten to make room.
func TestTableIsBounded(t *testing.T) {
	cfg := TableConfig{Epoch: 1, RetentionMs: time.Hour.Milliseconds(), MaxKeys: 100, AnswerBytes: 20_000}
	table := NewTable(cfg)
	now := start
	for i := range 1000 {
		now += 10
		k := keyAt(now, i)
		assert.Equal(t, table.applyOp(now, claimOp(k, "a", now+1000)).Status, StatusGranted)
		table.applyOp(now, finishOp(k, "a", Record{Outcome: outcome.Answered, Body: make([]byte, 1000)}))
	}
	assert.Equal(t, table.Len(), 100)
	assert.Assert(t, table.answerBytes <= cfg.AnswerBytes)
	assert.Equal(t, table.applyOp(now, claimOp(keyAt(start+10, 0), "b", now+1000)).Status, StatusOldKey)
	r := table.applyOp(now, claimOp(keyAt(now-500, 949), "b", now+1000))
	assert.Equal(t, r.Status, StatusFinished)
	assert.Equal(t, r.Record.Ended(), outcome.MayHaveRun(outcome.ReasonAnswerGone))
	table.applyOp(now+2*cfg.RetentionMs, fenceOp(keyAt(now+2*cfg.RetentionMs, 1), "x"))
	assert.Equal(t, table.Len(), 1)
	assert.Assert(t, len(table.timed)+len(table.untimed)+len(table.answers) <= 2)
}

// Guards against storing an answer that is larger than the limit.
func TestLargeAnswersAreNotKept(t *testing.T) {
	table := NewTable(DefaultTableConfig(1))
	for i, size := range []int{MaxAnswer, MaxAnswer + 1} {
		k := plainKey(fmt.Sprint(i))
		table.applyOp(start, claimOp(k, "a", start+1000))
		table.applyOp(start, finishOp(k, "a", Record{Outcome: outcome.Answered, Body: make([]byte, size)}))
		r := table.applyOp(start, claimOp(k, "b", start+1000))
		assert.Equal(t, r.Record.AnswerGone, size > MaxAnswer)
	}
}

// Guards against a key that runs twice in any order of claims, fences, records, resends, time,
// memory limits, snapshots and replaced groups, and against replicas that diverge.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := TableConfig{Epoch: 1, RetentionMs: 10_000_000, MaxKeys: 4, AnswerBytes: 50}
		a, b := NewTable(cfg), NewTable(cfg)
		now := start
		keys := []Key{}
		mayHaveRun := map[Key]AttemptID{}
		fenced := map[AttemptID]bool{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 1, 1000, 100_000, 6_000_000}).Draw(t, "time")
			if len(keys) == 0 || rapid.IntRange(0, 3).Draw(t, "new key") == 0 {
				keys = append(keys, keyAt(now+rapid.Int64Range(-maxSkewMs, maxSkewMs).Draw(t, "skew"), step))
			}
			k := rapid.SampledFrom(keys).Draw(t, "key")
			attempt := AttemptID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "attempt"), k.Value))
			op := rapid.SampledFrom([]Op{
				claimOp(k, attempt, now+1000), fenceOp(k, attempt),
				finishOp(k, attempt, Record{Outcome: outcome.Answered, Body: make([]byte, 30)}),
				finishOp(k, attempt, Record{Outcome: outcome.NotRun}),
			}).Draw(t, "op")
			// Only the holder records that the request has run.
			if op.Kind == OpFinish && op.Record.Outcome == outcome.Answered && mayHaveRun[k] != attempt {
				continue
			}
			command, err := wire.Encode(Command{now, []Op{op}})
			assert.NilError(t, err)
			result := a.Apply(0, command)
			assert.DeepEqual(t, result, b.Apply(0, command))
			var r []Result
			assert.NilError(t, wire.Decode(result, &r))
			switch {
			case r[0].Status == StatusGranted:
				holder, held := mayHaveRun[k]
				assert.Assert(t, !held || holder == attempt, "%s granted beside %s", attempt, holder)
				assert.Assert(t, !fenced[attempt], "%s granted after its fence", attempt)
				mayHaveRun[k] = attempt
			case r[0].Status == StatusFenced:
				assert.Assert(t, mayHaveRun[k] != attempt, "%s fenced after it was granted", attempt)
				fenced[attempt] = true
			case op.Kind == OpFinish && op.Record.Outcome == outcome.NotRun && r[0].Status == StatusRecorded && mayHaveRun[k] == attempt:
				// A record that was stored earlier stays, so the key counts as run.
				if again := a.applyOp(now, claimOp(k, attempt, now+1000)); again.Status != StatusFinished {
					assert.Assert(t, again.Status == StatusFenced || again.Status == StatusOldKey, again.Status)
					delete(mayHaveRun, k)
					fenced[attempt] = true
				}
				b.applyOp(now, claimOp(k, attempt, now+1000))
			}
			switch rapid.IntRange(0, 15).Draw(t, "event") {
			case 0:
				// One replica is restored from the other's snapshot.
				snapshot, err := a.Snapshot()
				assert.NilError(t, err)
				b = NewTable(cfg)
				assert.NilError(t, b.Restore(snapshot))
			case 1:
				// The majority is lost; the group is replaced.
				cfg.Epoch++
				a, b = NewTable(cfg), NewTable(cfg)
			}
		}
	})
}
