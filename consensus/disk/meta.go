package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	"go.etcd.io/bbolt"
)

// A bbolt file starts with two meta pages that are written alternately. If the newer one is damaged,
// bbolt silently falls back to the older one, and thereby to the state before the last transaction,
// which may have been acknowledged. A damaged meta page is therefore reported as an error, unless it is torn: a
// loss of power during its write leaves the start of the new meta data followed by the end of those that were there
// before. Each transaction stores the meta data that the next one but one overwrites, so that the end can be compared.
const (
	metaPages      = 2
	pageHeaderSize = 16
	metaSize       = 64 // with its checksum
	checksumOffset = metaSize - 8
	// fixedSize is the size of the fields at the start of the meta data that are the same in all of a file.
	fixedSize = 16
	// pageCountOffset is the offset in the meta data of the number of pages in use.
	pageCountOffset = 40
	// txIDOffset is the offset in the meta data of the id of the transaction.
	txIDOffset = 48
	// minTornSize is the number of bytes of a checksum that have to match until a page is taken for torn. Damage
	// leads to a match in one of 2^32 cases.
	minTornSize = 4
)

var (
	baseBucket = []byte("base")
	metaKey    = []byte("meta")
)

// errRepaired is returned when a torn meta page has been repaired, and the file is to be opened again.
var errRepaired = errors.New("disk: a torn meta page was repaired")

// metaData is the content of a meta page without the page's header.
type metaData []byte

func metaOffset(page int) int64 { return int64(page*os.Getpagesize() + pageHeaderSize) }

func readMeta(f *os.File, page int) (metaData, error) {
	m := make(metaData, metaSize)
	if _, err := f.ReadAt(m, metaOffset(page)); err != nil {
		return nil, fmt.Errorf("%w: meta page %d: %w", ErrDamaged, page, err)
	}
	return m, nil
}

// withChecksum returns a copy with the checksum of its fields.
func (m metaData) withChecksum() metaData {
	h := fnv.New64a()
	h.Write(m[:checksumOffset])
	return binary.NativeEndian.AppendUint64(bytes.Clone(m[:checksumOffset]), h.Sum64())
}

func (m metaData) valid() bool {
	return len(m) == metaSize && bytes.Equal(m, m.withChecksum())
}

func (m metaData) txID() uint64 { return binary.NativeEndian.Uint64(m[txIDOffset:]) }

// checkMeta returns ErrDamaged unless both meta pages are valid and the file contains all the pages
// that they count. If pages were missing at the end of the file, the process would crash when bbolt
// reads them in a goroutine of its own. If one meta page is torn, it repairs it and returns errRepaired.
func (s *Store) checkMeta() error {
	info, err := s.file.Stat()
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	var metas [metaPages]metaData
	invalid := -1
	for page := range metas {
		meta, err := readMeta(s.file, page)
		if err != nil {
			return err
		}
		metas[page] = meta
		if !meta.valid() {
			invalid = page
			continue
		}
		pages := binary.NativeEndian.Uint64(meta[pageCountOffset:])
		if uint64(info.Size()/int64(os.Getpagesize())) < pages {
			return fmt.Errorf("%w: the file of %d bytes is too short for %d pages in use", ErrDamaged, info.Size(), pages)
		}
	}
	if invalid < 0 {
		return nil
	}
	return s.repairMeta(invalid, metas[invalid], metas[1-invalid])
}

// repairMeta repairs a torn meta page by means of the other one.
func (s *Store) repairMeta(page int, torn, other metaData) error {
	var old metaData
	err := s.viewChecked(func(tx *bbolt.Tx) error {
		base := tx.Bucket(baseBucket)
		if base == nil {
			return nil
		}
		return getOptional(base, metaKey, (*[]byte)(&old))
	})
	if err != nil {
		return err
	}
	repaired, ok := repair(torn, old, other)
	if !ok {
		return fmt.Errorf("%w: meta page %d does not match its checksum", ErrDamaged, page)
	}
	if _, err := s.file.WriteAt(repaired, metaOffset(page)); err != nil {
		return fmt.Errorf("disk: repair meta page %d: %w", page, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("disk: repair meta page %d: %w", page, err)
	}
	return errRepaired
}

// repair returns the meta data for a torn page that held old before, given those of the other page. A page with all
// fields of a new transaction is completed, since that transaction may have been acknowledged. A page that ends like the
// old one was never written whole, and gets its old content.
func repair(torn, old, other metaData) (metaData, bool) {
	if !old.valid() || !other.valid() || old.txID()+1 != other.txID() || !bytes.Equal(torn[:fixedSize], old[:fixedSize]) {
		return nil, false
	}
	completed := torn.withChecksum()
	written := commonPrefix(torn, completed)
	if torn.txID() == other.txID()+1 && written >= checksumOffset+minTornSize && bytes.Equal(torn[written:], old[written:]) {
		return completed, true
	}
	return old, bytes.HasSuffix(torn, old[metaSize-minTornSize:])
}

func commonPrefix(a, b []byte) (n int) {
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// update runs a transaction, which also stores the meta data that it is based on.
func (s *Store) update(run func(*bbolt.Tx) error) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := readMeta(s.file, (tx.ID()-1)%metaPages)
		if err != nil {
			return err
		}
		// A bucket as small as this one is part of the page that names the buckets, which each transaction writes.
		base, err := tx.CreateBucketIfNotExists(baseBucket)
		if err != nil {
			return err
		}
		if err := putRecord(base, metaKey, []byte(meta)); err != nil {
			return err
		}
		return run(tx)
	})
}
