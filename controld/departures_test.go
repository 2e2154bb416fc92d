package controld

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
)

// Guards against departures that are lost or altered on the disk of a control VM, and against a file that
// cannot be read and keeps the member from starting.
func TestDepartureFile(t *testing.T) {
	f := departureFile{filepath.Join(t.TempDir(), departureFileName)}
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
