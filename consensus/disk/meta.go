package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// A bbolt file starts with two meta pages that are written alternately. If the newer one is damaged,
// bbolt silently falls back to the older one, and thereby to the state before the last transaction,
// which has already been acknowledged. A damaged meta page is therefore reported as an error. A crash
// does not cause one: the meta data is smaller than a disk sector, so it is never written in part.
const (
	pageHeaderSize = 16
	metaSize       = 64 // with its checksum
	checksumOffset = metaSize - 8
	// pageCountOffset is the offset in the meta data of the number of pages in use.
	pageCountOffset = 40
)

// checkMeta returns ErrDamaged unless both meta pages are valid and the file contains all the pages
// that they count. If pages were missing at the end of the file, the process would crash when bbolt
// reads them in a goroutine of its own.
func checkMeta(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	pageSize := int64(os.Getpagesize())
	for page := range int64(2) {
		meta := make([]byte, metaSize)
		if _, err := f.ReadAt(meta, page*pageSize+pageHeaderSize); err != nil {
			return fmt.Errorf("%w: meta page %d: %w", ErrDamaged, page, err)
		}
		h := fnv.New64a()
		h.Write(meta[:checksumOffset])
		if !bytes.Equal(binary.NativeEndian.AppendUint64(nil, h.Sum64()), meta[checksumOffset:]) {
			return fmt.Errorf("%w: meta page %d does not match its checksum", ErrDamaged, page)
		}
		pages := binary.NativeEndian.Uint64(meta[pageCountOffset:])
		if uint64(info.Size()/pageSize) < pages {
			return fmt.Errorf("%w: the file of %d bytes is too short for %d pages in use", ErrDamaged, info.Size(), pages)
		}
	}
	return nil
}
