package disk

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Environment variables of the process in which firstStartUpTo opens a store.
const (
	childFolder = "GODWITHUB_TEST_FOLDER"
	childLimit  = "GODWITHUB_TEST_FILE_SIZE"
)

// TestFirstStartInChild opens a store for firstStartUpTo. All writes beyond the file size fail, after the part below it
// was written.
func TestFirstStartInChild(t *testing.T) {
	folder := os.Getenv(childFolder)
	if folder == "" {
		t.Skip("runs only in a process of its own, since the limit holds for all files of a process")
	}
	size, err := strconv.ParseUint(os.Getenv(childLimit), 10, 64)
	assert.NilError(t, err)
	signal.Ignore(unix.SIGXFSZ)
	assert.NilError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: size}))
	if s, err := Open(folder); err == nil {
		assert.NilError(t, s.Close())
	}
}

// firstStartUpTo opens a store in a blank folder whose disk refuses writes beyond a file size, and returns the
// files that this leaves.
func firstStartUpTo(t *testing.T, size uint64) (folder string, files map[string][]byte) {
	t.Helper()
	folder = t.TempDir()
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestFirstStartInChild$")
	// The race detector sleeps for a second at the end of a process by default.
	child.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", childFolder+"="+folder, childLimit+"="+strconv.FormatUint(size, 10))
	out, err := child.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	names, err := os.ReadDir(folder)
	assert.NilError(t, err)
	files = map[string][]byte{}
	for _, name := range names {
		files[name.Name()], err = os.ReadFile(filepath.Join(folder, name.Name()))
		assert.NilError(t, err)
	}
	return folder, files
}

// Guards against a replica that never starts again because its process ended, or its disk was full, while the store was
// created: nothing was promised on a store that Open has not returned.
func TestFirstStartThatWasCutShort(t *testing.T) {
	refused := 0
	for size := uint64(0); size <= 48<<10; size += 1 << 10 {
		folder, _ := firstStartUpTo(t, size)
		s, err := Open(folder)
		if !assert.Check(t, err, "cut at %d bytes", size) {
			refused++
			continue
		}
		assert.NilError(t, s.Close())
		assert.Assert(t, reload(t, folder).ID == s.ID())
	}
	assert.Equal(t, refused, 0)
}

// Guards against a replica that never starts again because the power was lost while the store was created. Of what was
// not synced, each page may be missing.
func TestPowerLossDuringFirstStart(t *testing.T) {
	pageSize := os.Getpagesize()
	_, files := firstStartUpTo(t, uint64(4*pageSize))
	assert.Equal(t, len(files), 1)
	for name, content := range files {
		assert.Equal(t, len(content), 4*pageSize)
		for missing := range 1 << 4 {
			for kept := 0; kept <= len(content); kept += pageSize / 2 {
				image := append([]byte(nil), content[:kept]...)
				for page := range 4 {
					if missing&(1<<page) != 0 && page*pageSize < kept {
						clear(image[page*pageSize : min((page+1)*pageSize, kept)])
					}
				}
				folder := t.TempDir()
				assert.NilError(t, os.WriteFile(filepath.Join(folder, name), image, fileMode))
				s, err := Open(folder)
				if assert.Check(t, err, "pages %04b missing, %d bytes kept", missing, kept) {
					assert.NilError(t, s.Close())
				}
			}
		}
	}
}

// Guards against a store that is created anew in the place of one that may hold what was acknowledged.
func TestEmptyFileIsNoBlankStore(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, open(t, folder).Close())
	for _, size := range []int64{32, 1, 0} {
		assert.NilError(t, os.Truncate(filepath.Join(folder, FileName), size))
		_, err := Open(folder)
		assert.ErrorIs(t, err, ErrDamaged, fmt.Sprint(size))
	}
}
