package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/consensus"
	_ "github.com/godwithub/godwithub/internal/testseed"
)

func open(t rapid.TB, folder string) *Store {
	s, err := Open(folder)
	assert.NilError(t, err)
	return s
}

func reload(t rapid.TB, folder string) consensus.Stored {
	s := open(t, folder)
	defer s.Close()
	st, err := s.Load()
	assert.NilError(t, err)
	return st
}

// Guards against a restarted replica whose log, vote or snapshot differs from what it acknowledged.
func TestReopenedStoreHoldsWhatWasSaved(t *testing.T) {
	base := t.TempDir()
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		folder := filepath.Join(base, fmt.Sprint(runs))
		s := open(t, folder)
		defer func() { s.Close() }()
		want := consensus.Stored{ID: s.ID()}
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			var b consensus.Batch
			if rapid.Bool().Draw(t, "hard") {
				b.Hard = &consensus.HardState{Term: want.Hard.Term + 1, Vote: 7}
				want.Hard = *b.Hard
			}
			first := want.Snapshot.Index + 1
			if n := len(want.Entries); n > 0 {
				first = want.Entries[n-1].Index + 1
				overwritten := rapid.Uint64Range(0, min(3, uint64(n)-1)).Draw(t, "overwrite")
				first -= overwritten
				want.Entries = want.Entries[:n-int(overwritten)]
			}
			for i := range rapid.Uint64Range(1, 5).Draw(t, "entries") {
				command := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "command")
				b.Entries = append(b.Entries, consensus.Entry{Index: first + i, Term: want.Hard.Term, Command: command})
			}
			want.Entries = append(want.Entries, b.Entries...)
			if rapid.Bool().Draw(t, "snapshot") {
				last := want.Entries[len(want.Entries)-1]
				b.Snapshot = &consensus.Snapshot{Index: last.Index, Term: last.Term, Data: []byte("state")}
				b.DropBelow = last.Index
				want.Snapshot = *b.Snapshot
				want.Entries = []consensus.Entry{last}
			}
			assert.NilError(t, s.Save(b))
			if rapid.Bool().Draw(t, "reopen") {
				assert.NilError(t, s.Close())
				s = open(t, folder)
				got, err := s.Load()
				assert.NilError(t, err)
				assert.DeepEqual(t, got, want)
			}
		}
	})
}

// Guards against entries of an old log that reappear after a received snapshot has replaced them.
func TestResetDropsTheLog(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	assert.NilError(t, s.Save(consensus.Batch{Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}))
	assert.NilError(t, s.Save(consensus.Batch{ResetEntries: true, Snapshot: &consensus.Snapshot{Index: 9, Term: 3}}))
	assert.NilError(t, s.Close())
	st := reload(t, folder)
	assert.Equal(t, len(st.Entries), 0)
	assert.Equal(t, st.Snapshot.Index, uint64(9))
}

// Guards against two processes that use the same folder, write the same log and vote twice.
func TestSecondUserOfAFolderIsRefused(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	_, err := Open(folder)
	assert.ErrorIs(t, err, ErrInUse)
	assert.ErrorContains(t, err, folder)
	assert.NilError(t, s.Close())
	assert.NilError(t, open(t, folder).Close())
}

// Guards against a replica that keeps its id after it has lost its disk, and could then vote twice in
// a term.
func TestBlankFolderGetsANewID(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	first := s.ID()
	assert.Assert(t, first != 0)
	assert.NilError(t, s.Close())
	assert.Equal(t, reload(t, folder).ID, first)
	assert.NilError(t, os.Remove(filepath.Join(folder, FileName)))
	assert.Assert(t, reload(t, folder).ID != first)
}

// Guards against a damaged file that is taken for a valid or a blank one. Each damage must be
// reported or harmless.
func TestDamageIsDetected(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	for i := range uint64(100) {
		e := consensus.Entry{Index: i + 1, Term: 1, Command: []byte("a command of some length")}
		assert.NilError(t, s.Save(consensus.Batch{Hard: &consensus.HardState{Term: 1, Vote: 2}, Entries: []consensus.Entry{e}}))
	}
	assert.NilError(t, s.Close())
	want := reload(t, folder)
	path := filepath.Join(folder, FileName)
	original, err := os.ReadFile(path)
	assert.NilError(t, err)

	detected := 0
	check := func(damage string, content []byte) {
		// Each check uses a copy of the file, because bbolt does not unlock a file on which it
		// panicked.
		copyFolder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(copyFolder, FileName), content, fileMode))
		st, err := tryLoad(copyFolder)
		if err == nil {
			assert.DeepEqual(t, st, want)
			return
		}
		assert.Assert(t, errors.Is(err, ErrDamaged), "%s: %v", damage, err)
		detected++
	}
	for offset := 0; offset < len(original); offset += 101 {
		content := append([]byte(nil), original...)
		content[offset] ^= 0xff
		check(fmt.Sprintf("byte %d flipped", offset), content)
	}
	assert.Assert(t, detected > 50, "%d damaged bytes detected", detected)
	// Truncation that removes only free pages is harmless.
	before, cuts := detected, 0
	for size := 1; size < len(original); size += 4096 / 2 {
		check(fmt.Sprintf("truncated to %d bytes", size), original[:size])
		cuts++
	}
	assert.Assert(t, detected-before > cuts/2, "%d of %d truncations detected", detected-before, cuts)
}

func tryLoad(folder string) (consensus.Stored, error) {
	s, err := Open(folder)
	if err != nil {
		return consensus.Stored{}, err
	}
	defer s.Close()
	return s.Load()
}

// Guards against a discarded replica that still holds something of its group, or votes under its old id.
func TestDiscard(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir)
	assert.NilError(t, err)
	founders := []string{"a", "b"}
	assert.NilError(t, s.SaveFounders(founders))
	old := s.ID()
	stored := consensus.FounderState(old, consensus.Membership{{ID: old, Voter: true}}, []byte("state"))
	entries := []consensus.Entry{{Index: 2, Term: 1}}
	assert.NilError(t, s.Save(consensus.Batch{Hard: &stored.Hard, Snapshot: &stored.Snapshot, Entries: entries}))
	assert.NilError(t, s.Discard())
	for range 2 {
		assert.Assert(t, s.ID() != old)
		got, err := s.Load()
		assert.NilError(t, err)
		assert.Assert(t, got.Blank() && got.ID == s.ID())
		kept, err := s.Founders()
		assert.NilError(t, err)
		assert.DeepEqual(t, kept, founders)
		id := s.ID()
		assert.NilError(t, s.Close())
		s, err = Open(dir)
		assert.NilError(t, err)
		assert.Equal(t, s.ID(), id)
	}
	assert.NilError(t, s.Close())
}

// Guards against two processes that start at the same time in a blank folder, and of which one replaces the store that the
// other one uses already.
func TestOneOfManyCreatesTheStore(t *testing.T) {
	for range 10 {
		folder := t.TempDir()
		var opening sync.WaitGroup
		stores := make([]*Store, 8)
		for i := range stores {
			opening.Go(func() {
				s, err := Open(folder)
				assert.Check(t, err == nil || errors.Is(err, ErrInUse), "%v", err)
				stores[i] = s
			})
		}
		opening.Wait()
		opened := slices.DeleteFunc(stores, func(s *Store) bool { return s == nil })
		assert.Assert(t, len(opened) <= 1)
		for _, s := range opened {
			assert.NilError(t, s.Close())
			assert.Equal(t, reload(t, folder).ID, s.ID())
		}
		assert.NilError(t, open(t, folder).Close())
	}
}
