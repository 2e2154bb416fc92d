package controld

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus/disk"
	"github.com/godwithub/godwithub/fleet"
)

// Guards against departures that are lost or altered on the disk of a control VM, and against a file that
// cannot be read and keeps the member from starting.
func TestDepartureFile(t *testing.T) {
	f := newDepartureFile(t.TempDir())
	list, err := f.LoadDepartures()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	want := []fleet.KeptDeparture{{
		Node: "n", RecordedAt: time.UnixMilli(1_700_000_000_123),
		Departure: fleet.Departure{Upstream: "u", StartMs: 1000, Sequence: 7, Gone: true},
	}}
	for range 2 {
		assert.NilError(t, f.SaveDepartures(want))
	}
	list, err = f.LoadDepartures()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
	assert.Assert(t, list[0].RecordedAt.Sub(want[0].RecordedAt).Abs() < time.Second)
	list[0].RecordedAt = want[0].RecordedAt
	assert.DeepEqual(t, list, want)
	entries, err := os.ReadDir(filepath.Dir(f.path))
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.NilError(t, os.WriteFile(f.path, []byte("torn"), departureFileMode))
	_, err = f.LoadDepartures()
	assert.Assert(t, err != nil)
}

// Guards against departures that count as stored although a loss of power can undo the rename of their file.
func TestDepartureFileIsDurable(t *testing.T) {
	f := newDepartureFile(t.TempDir())
	list := []fleet.KeptDeparture{{Node: "n", Departure: fleet.Departure{Upstream: "u"}}}
	synced := 0
	f.syncFolder = func(folder string) error {
		assert.Equal(t, folder, filepath.Dir(f.path))
		kept, err := f.LoadDepartures()
		assert.NilError(t, err)
		synced = len(kept)
		return disk.SyncFolder(folder)
	}
	assert.NilError(t, f.SaveDepartures(list))
	assert.Equal(t, synced, len(list))
	f.syncFolder = func(string) error { return os.ErrInvalid }
	assert.ErrorIs(t, f.SaveDepartures(list), os.ErrInvalid)
}
