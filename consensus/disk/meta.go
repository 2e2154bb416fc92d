package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
)

// bbolt's file begins with two meta pages that are written in turn. If the
// newer one is damaged, bbolt silently goes back to the older one, and with it
// to the state before the last transaction, which was acknowledged. A meta page
// is smaller than a disk sector, so a crash does not leave half of one.
const (
	pageHeader   = 16
	metaSize     = 64 // with its checksum
	metaChecksum = metaSize - 8
	// metaPages is where a meta page holds the number of pages in use.
	metaPages = 40
)

// checkMeta returns ErrDamaged unless both meta pages are valid and the file is
// as long as they say. Pages that are missing at the end of the file end the
// process when bbolt reads them in a goroutine of its own.
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
		if _, err := f.ReadAt(meta, page*pageSize+pageHeader); err != nil {
			return fmt.Errorf("%w: meta page %d: %w", ErrDamaged, page, err)
		}
		h := fnv.New64a()
		h.Write(meta[:metaChecksum])
		if !bytes.Equal(binary.NativeEndian.AppendUint64(nil, h.Sum64()), meta[metaChecksum:]) {
			return fmt.Errorf("%w: meta page %d does not match its checksum", ErrDamaged, page)
		}
		pages := binary.NativeEndian.Uint64(meta[metaPages:])
		if uint64(info.Size()/pageSize) < pages {
			return fmt.Errorf("%w: the file has %d bytes, %d pages are in use", ErrDamaged, info.Size(), pages)
		}
	}
	return nil
}
