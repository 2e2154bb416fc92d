package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
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

// Guards against a restarted replica that holds another log, vote or snapshot
// than it acknowledged.
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
				back := rapid.Uint64Range(0, min(3, uint64(n)-1)).Draw(t, "overwrite")
				first -= back
				want.Entries = want.Entries[:n-int(back)]
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

// Guards against entries of a replaced log that come back after a snapshot was
// installed over them.
func TestResetDropsTheLog(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	assert.NilError(t, s.Save(consensus.Batch{Entries: []consensus.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}))
	assert.NilError(t, s.Save(consensus.Batch{Reset: true, Snapshot: &consensus.Snapshot{Index: 9, Term: 3}}))
	assert.NilError(t, s.Close())
	st := reload(t, folder)
	assert.Equal(t, len(st.Entries), 0)
	assert.Equal(t, st.Snapshot.Index, uint64(9))
}

// Guards against two processes that write the same log and vote twice.
func TestSecondUserOfAFolderIsRefused(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	_, err := Open(folder)
	assert.ErrorIs(t, err, ErrInUse)
	assert.ErrorContains(t, err, folder)
	assert.NilError(t, s.Close())
	assert.NilError(t, open(t, folder).Close())
}

// Guards against a replica that lost its disk but keeps its id, and could vote
// twice in a term.
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

// Guards against a damaged file that is taken for a valid or a blank one: each
// damage is either reported or harmless.
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
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)

	detected := 0
	check := func(damage string, content []byte) {
		// bbolt does not unlock a file on which it panicked.
		copied := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(copied, FileName), content, fileMode))
		st, err := tryLoad(copied)
		if err == nil {
			assert.DeepEqual(t, st, want)
			return
		}
		assert.Assert(t, errors.Is(err, ErrDamaged), "%s: %v", damage, err)
		detected++
	}
	for offset := 0; offset < len(whole); offset += 101 {
		content := append([]byte(nil), whole...)
		content[offset] ^= 0xff
		check(fmt.Sprintf("byte %d", offset), content)
	}
	assert.Assert(t, detected > 50, "%d damaged bytes detected", detected)
	// A cut that takes free pages only is harmless.
	before, cuts := detected, 0
	for size := 1; size < len(whole); size += 4096 / 2 {
		check(fmt.Sprintf("cut to %d bytes", size), whole[:size])
		cuts++
	}
	assert.Assert(t, detected-before > cuts/2, "%d of %d cuts detected", detected-before, cuts)
}

func tryLoad(folder string) (consensus.Stored, error) {
	s, err := Open(folder)
	if err != nil {
		return consensus.Stored{}, err
	}
	defer s.Close()
	return s.Load()
}
