package disk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/consensus"
)

// savedTwice returns the file of a store before and after a batch, and what is to be loaded from both. The batch
// is the store's count-th.
func savedTwice(t *testing.T, count int, size int) (before, after []byte, old, current consensus.Stored) {
	t.Helper()
	folder := t.TempDir()
	s := open(t, folder)
	save := func(i int) {
		b := consensus.Batch{Entries: []consensus.Entry{{Index: uint64(i), Term: uint64(i), Command: make([]byte, size)}}}
		if i%3 == 1 {
			b.Hard = &consensus.HardState{Term: uint64(i), Vote: 1}
		}
		assert.NilError(t, s.Save(b))
	}
	image := func() ([]byte, consensus.Stored) {
		content, err := os.ReadFile(filepath.Join(folder, FileName))
		assert.NilError(t, err)
		st, err := s.Load()
		assert.NilError(t, err)
		return content, st
	}
	for i := 1; i < count; i++ {
		save(i)
	}
	before, old = image()
	save(count)
	after, current = image()
	assert.NilError(t, s.Close())
	return before, after, old, current
}

// loadImage loads a store from the bytes of its file.
func loadImage(t *testing.T, image []byte) (folder string, st consensus.Stored, err error) {
	t.Helper()
	folder = t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, FileName), image, fileMode))
	st, err = tryLoad(folder)
	return folder, st, err
}

// sameStored compares without the cost of assert.DeepEqual for many bytes.
func sameStored(a, b consensus.Stored) bool { return reflect.DeepEqual(a, b) }

// writtenMeta returns the offset of the meta page that differs between two images.
func writtenMeta(before, after []byte) int {
	pageSize := os.Getpagesize()
	if bytes.Equal(before[:pageSize], after[:pageSize]) {
		return pageSize
	}
	return 0
}

var tornCases = []struct{ count, size int }{{1, 10}, {2, 10}, {3, 10}, {4, 300}, {9, 700}, {40, 20}}

// Guards against a replica that never starts again because the power was lost while a meta page was written: the batch
// was not acknowledged, and all before it is there.
func TestTornMetaPage(t *testing.T) {
	refused, held := 0, 0
	for _, tt := range tornCases {
		before, after, old, current := savedTwice(t, tt.count, tt.size)
		page := writtenMeta(before, after)
		for written := range pageHeaderSize + metaSize + 1 {
			image := bytes.Clone(after)
			copy(image[page+written:page+os.Getpagesize()], before[page+written:])
			folder, got, err := loadImage(t, image)
			if err != nil {
				refused++
				assert.Check(t, err, "batch %d, %d bytes of the page written", tt.count, written)
				continue
			}
			if sameStored(got, current) {
				held++
			} else {
				assert.Assert(t, sameStored(got, old), "batch %d, %d bytes of the page written", tt.count, written)
			}
			assert.Assert(t, sameStored(reload(t, folder), got))
		}
	}
	t.Logf("refused %d, with the batch %d", refused, held)
}

// Guards against damage of a meta page that is taken for a write which was not completed: the store would fall back to the
// state before the last batch, which was acknowledged.
func TestDamagedMetaPageIsNotTakenForTorn(t *testing.T) {
	refused := 0
	check := func(image []byte, want consensus.Stored, damage string) {
		_, got, err := loadImage(t, image)
		if err != nil {
			assert.ErrorIs(t, err, ErrDamaged)
			refused++
			return
		}
		assert.Assert(t, sameStored(got, want), damage)
	}
	for _, tt := range tornCases[2:4] {
		before, after, _, current := savedTwice(t, tt.count, tt.size)
		written := writtenMeta(before, after)
		for _, page := range []int{0, os.Getpagesize()} {
			for i := page + pageHeaderSize; i < page+pageHeaderSize+metaSize; i++ {
				other := i ^ os.Getpagesize()
				for _, value := range []byte{after[i] ^ 1, after[i] ^ 0x80, ^after[i], before[i], after[other], 0} {
					image := bytes.Clone(after)
					image[i] = value
					check(image, current, fmt.Sprintf("byte %d of the page at %d is %d", i-page, page, value))
				}
			}
			for _, fill := range []byte{0, 0xff} {
				image := bytes.Clone(after)
				copy(image[page:], bytes.Repeat([]byte{fill}, pageHeaderSize+metaSize))
				check(image, current, fmt.Sprintf("page at %d is filled with %d", page, fill))
			}
		}
		// All but the checksum of the page before the batch.
		image := bytes.Clone(after)
		copy(image[written:], before[written:written+pageHeaderSize+checksumOffset])
		check(image, current, "fields of the page before the batch, checksum after it")
	}
	assert.Assert(t, refused > 0)
}

// Guards against a store that holds anything but the state before a batch, or does not open, if the power was lost while
// the pages of the batch were written: of each page the old content, the new one, or a start of the new one is there.
func TestPowerLossBeforeMetaPageIsWritten(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	pageSize := os.Getpagesize()
	for _, tt := range tornCases {
		before, after, old, _ := savedTwice(t, tt.count, tt.size)
		meta := writtenMeta(before, after)
		for range 60 {
			image := bytes.Clone(before)
			for page := metaPages * pageSize; page < len(image); page += pageSize {
				copy(image[page:], after[page:page+r.IntN(3)*pageSize/2])
			}
			_, got, err := loadImage(t, image)
			assert.NilError(t, err)
			assert.Assert(t, sameStored(got, old))
		}
		assert.Assert(t, !bytes.Equal(before[meta:meta+pageSize], after[meta:meta+pageSize]))
	}
}
