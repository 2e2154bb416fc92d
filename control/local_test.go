package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Guards against changes that a restart loses or applies twice, before and after a snapshot replaces
// the log.
func TestJournalSurvivesRestarts(t *testing.T) {
	dir := t.TempDir()
	open := func() (*Machine, *Local) {
		j, err := OpenJournal(dir, logging.Discard())
		assert.NilError(t, err)
		m := NewMachine()
		l, err := NewLocal(m, j, "one", "")
		assert.NilError(t, err)
		return m, l
	}
	ctx := context.Background()
	m, l := open()
	for i := range 10 {
		r, err := Put(ctx, l, caller("a", uint64(i), i+1))
		assert.NilError(t, err)
		assert.Equal(t, r.Code, CodeOK)
		if i == 5 {
			assert.NilError(t, l.compact())
		}
	}
	want, err := m.Snapshot()
	assert.NilError(t, err)
	_, err = OpenJournal(dir, logging.Discard())
	assert.ErrorContains(t, err, "in use by another process")
	assert.NilError(t, l.Close())
	_, err = Put(ctx, l, caller("a", 10, 1))
	assert.ErrorIs(t, err, ErrClosed)

	m, l = open()
	got, err := m.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, l.Close())
}

// Guards against concurrent writes over the same revision of which more than one succeeds, and
// against a set returned by Config that later commands modify.
func TestOneConcurrentWriterWins(t *testing.T) {
	m := NewMachine()
	l, err := NewLocal(m, nil, "one", "")
	assert.NilError(t, err)
	var seen atomic.Uint64
	defer m.Subscribe(func(v resource.Version) { seen.Store(v.Revision) })()
	for revision := range uint64(20) {
		before, err := m.Config()
		assert.NilError(t, err)
		var wins atomic.Int32
		var writers sync.WaitGroup
		for i := range 8 {
			writers.Go(func() {
				r, err := Put(context.Background(), l, caller("a", revision, i+1))
				if err == nil && r.Code == CodeOK {
					wins.Add(1)
				}
			})
		}
		writers.Wait()
		assert.Equal(t, wins.Load(), int32(1))
		assert.Equal(t, seen.Load(), revision+1)
		assert.Equal(t, before.Version().Revision, revision)
		after, err := m.Config()
		assert.NilError(t, err)
		assert.DeepEqual(t, after.Get(resource.Key{Type: resource.TypeCaller, Name: "a"}), m.Get(resource.Key{Type: resource.TypeCaller, Name: "a"}))
	}
}
