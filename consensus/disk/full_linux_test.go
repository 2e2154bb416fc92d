package disk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

// descriptorOf returns the descriptor of this process that is open for the file.
func descriptorOf(t *testing.T, path string) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	for _, e := range entries {
		if target, err := os.Readlink("/proc/self/fd/" + e.Name()); err == nil && target == path {
			fd, err := strconv.Atoi(e.Name())
			assert.NilError(t, err)
			return fd
		}
	}
	t.Fatalf("no descriptor is open for %s", path)
	return -1
}

// refuseWrites makes all writes and syncs of a file fail until the returned function is called, by
// putting a read-only descriptor in the place of the file's.
func refuseWrites(t *testing.T, path string) (allow func()) {
	t.Helper()
	fd := descriptorOf(t, path)
	writable, err := unix.Dup(fd)
	assert.NilError(t, err)
	readOnly, err := unix.Open(path, unix.O_RDONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, unix.Dup2(readOnly, fd))
	assert.NilError(t, unix.Close(readOnly))
	return func() {
		assert.NilError(t, unix.Dup2(writable, fd))
		assert.NilError(t, unix.Close(writable))
	}
}

// Guards against a batch that is reported as stored although the disk refused it, and against a store
// that is damaged, or that lacks a batch, once the disk accepts writes again.
func TestRefusedWritesAreRetried(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	r := rand.New(rand.NewPCG(1, 2))
	var want consensus.Stored
	want.ID = s.ID()
	for i := range uint64(25) {
		e := consensus.Entry{Index: i + 1, Term: 1, Command: fmt.Append(nil, i, make([]byte, r.IntN(20000)))}
		want.Entries = append(want.Entries, e)
		want.Hard = consensus.HardState{Term: i + 1}
		b := consensus.Batch{Hard: &want.Hard, Entries: []consensus.Entry{e}}
		if r.IntN(3) == 0 {
			allow := refuseWrites(t, filepath.Join(folder, FileName))
			for range 1 + r.IntN(3) {
				assert.Assert(t, s.Save(b) != nil)
			}
			allow()
		}
		assert.NilError(t, s.Save(b))
		if r.IntN(10) == 0 {
			assert.NilError(t, s.Close())
			assert.DeepEqual(t, reload(t, folder), want)
			s = open(t, folder)
		}
	}
	assert.NilError(t, s.Close())
	assert.DeepEqual(t, reload(t, folder), want)
}

// Guards against a discarded store that keeps a part of its log, or its id, because its disk refused the writes.
func TestRefusedDiscardIsRetried(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	old := s.ID()
	assert.NilError(t, s.Save(consensus.Batch{Hard: &consensus.HardState{Term: 3, Vote: 1}, Entries: []consensus.Entry{{Index: 1, Term: 3}}}))
	want, err := s.Load()
	assert.NilError(t, err)
	allow := refuseWrites(t, filepath.Join(folder, FileName))
	for range 3 {
		assert.Assert(t, s.Discard() != nil)
		assert.Equal(t, s.ID(), old)
		got, err := s.Load()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
	allow()
	assert.NilError(t, s.Discard())
	assert.Assert(t, s.ID() != old)
	id := s.ID()
	assert.NilError(t, s.Close())
	stored := reload(t, folder)
	assert.Assert(t, stored.Blank() && stored.ID == id)
}
