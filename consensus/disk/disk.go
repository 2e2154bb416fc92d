// Package disk stores the state of one replica in a bbolt file in a data folder. Each batch is one
// transaction that is synced before Save returns.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/godwithub/godwithub/consensus"
)

const (
	// FileName is the name of the bbolt file in the data folder.
	FileName = "consensus.db"
	// formatVersion is the version of the file's layout.
	formatVersion = 1
	// initializeTx is the id of the first transaction of a file, which initializes it.
	initializeTx = 2
	// lockTimeout is the timeout for locking the file, which allows for another process that is just
	// stopping.
	lockTimeout = 500 * time.Millisecond

	folderMode = 0o700
	fileMode   = 0o600
)

// Errors of Open.
var (
	ErrInUse   = errors.New("disk: the data folder is in use by another process")
	ErrDamaged = errors.New("disk: the consensus file is damaged")
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	formatKey   = []byte("format")
	idKey       = []byte("id")
	foundersKey = []byte("founders")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
)

// Store implements consensus.Store.
type Store struct {
	db   *bbolt.DB
	file *os.File // of db
	id   consensus.ReplicaID
}

// Open opens the store in folder and checks the structure of the whole file. If the folder has no
// store, Open creates one with a new random replica id. It returns ErrInUse if this or another
// process has the store open, and ErrDamaged if the file is damaged.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err := createIfMissing(folder); err != nil {
		return nil, err
	}
	s, err := openStore(folder)
	if errors.Is(err, errRepaired) {
		return openStore(folder)
	}
	return s, err
}

// openStore opens the store in a folder that has one, and checks it.
func openStore(folder string) (*Store, error) {
	path := filepath.Join(folder, FileName)
	s, err := openFile(path, openExisting)
	if err != nil {
		return nil, err
	}
	err = s.checkMeta()
	if err == nil {
		err = s.checkOrInitialize(folder)
	}
	if err != nil {
		s.db.Close()
		return nil, fmt.Errorf("%w (%s)", err, path)
	}
	return s, nil
}

// openFunc opens the file of a bbolt database.
type openFunc = func(name string, flag int, mode os.FileMode) (*os.File, error)

func openFile(path string, open openFunc) (s *Store, err error) {
	// Reading the missing pages of a truncated file causes a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	// The free list is stored. Without it, bbolt would walk the file in a goroutine of its own, where
	// a damaged page would crash the process.
	s = &Store{}
	s.db, err = bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout:      lockTimeout,
		FreelistType: bbolt.FreelistMapType,
		OpenFile: func(name string, flag int, mode os.FileMode) (_ *os.File, err error) {
			s.file, err = open(name, flag, mode)
			return s.file, err
		},
	})
	switch {
	case errors.Is(err, errStoreExists):
		return nil, err
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%w: %s", ErrInUse, path)
	case isSystemError(err):
		return nil, fmt.Errorf("disk: open %s: %w", path, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
	}
	return s, nil
}

// isSystemError reports whether err comes from the operating system, as opposed to an error that
// bbolt reports about the file's contents.
func isSystemError(err error) bool {
	var pathErr *fs.PathError
	var errno syscall.Errno
	return errors.As(err, &pathErr) || errors.As(err, &errno)
}

// recoverDamage recovers from a panic, which bbolt causes when it reads damaged pages, and sets err
// to ErrDamaged. It must be deferred.
func recoverDamage(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, p)
	}
}

// checkOrInitialize checks the structure of the file and reads the replica id. It initializes a blank
// file, which an earlier version may have left. Before anything is saved, it makes the file's name durable.
func (s *Store) checkOrInitialize(folder string) (err error) {
	blank, unused := false, false
	err = s.viewChecked(func(tx *bbolt.Tx) error {
		unused = tx.ID() <= initializeTx
		meta := tx.Bucket(metaBucket)
		blank = meta == nil
		if blank {
			return nil
		}
		return s.readIdentity(meta)
	})
	if err != nil || !unused {
		return err
	}
	if blank {
		if err := s.update(s.initialize); err != nil {
			return fmt.Errorf("disk: %w", err)
		}
	}
	return SyncFolder(folder)
}

// viewChecked checks the structure of the file and calls view in the same transaction.
func (s *Store) viewChecked(view func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	return s.db.View(func(tx *bbolt.Tx) error {
		if err := checkStructure(tx); err != nil {
			return err
		}
		return view(tx)
	})
}

// readSink keeps the compiler from removing the reads of readEnds.
var readSink atomic.Uint32

// readEnds reads the first and the last byte of b. A damaged offset leads to addresses outside of the
// file, which cause a fault only when they are read.
func readEnds(b []byte) {
	if len(b) > 0 {
		readSink.Store(uint32(b[0]) + uint32(b[len(b)-1]))
	}
}

// checkStructure walks the file twice. The first walk finds unreadable pages and keys: the second
// one, tx.Check, runs in a goroutine of its own, where they would crash the process.
func checkStructure(tx *bbolt.Tx) error {
	err := tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
		return b.ForEach(func(k, v []byte) error { readEnds(k); readEnds(v); return nil })
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	var first error
	for err := range tx.Check() {
		if first == nil {
			first = fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	return first
}

func (s *Store) readIdentity(meta *bbolt.Bucket) error {
	var version uint64
	if err := getRecord(meta, formatKey, &version); err != nil {
		return err
	}
	if version != formatVersion {
		return fmt.Errorf("disk: the file has format version %d, this program reads version %d", version, formatVersion)
	}
	return getRecord(meta, idKey, &s.id)
}

// initialize creates the buckets and stores the format version and a new random replica id.
func (s *Store) initialize(tx *bbolt.Tx) error {
	s.id = newReplicaID()
	meta, err := tx.CreateBucket(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return err
	}
	if err := putRecord(meta, formatKey, uint64(formatVersion)); err != nil {
		return err
	}
	return putRecord(meta, idKey, s.id)
}

func newReplicaID() (id consensus.ReplicaID) {
	var b [8]byte
	for id == 0 {
		rand.Read(b[:])
		id = consensus.ReplicaID(binary.BigEndian.Uint64(b[:]))
	}
	return id
}

// SyncFolder makes the names in a folder durable: those of files that were created, renamed or removed.
func SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("disk: sync %s: %w", folder, err)
	}
	return nil
}

// ID returns the replica id that the store was created with.
func (s *Store) ID() consensus.ReplicaID { return s.id }

// Founders returns what SaveFounders has stored last, or nil.
func (s *Store) Founders() (founders []string, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	err = s.db.View(func(tx *bbolt.Tx) error { return getOptional(tx.Bucket(metaBucket), foundersKey, &founders) })
	return founders, err
}

// SaveFounders stores the founders of the group that the replica is meant to found together with others, as
// it was told at its first start.
func (s *Store) SaveFounders(founders []string) error {
	err := s.update(func(tx *bbolt.Tx) error { return putRecord(tx.Bucket(metaBucket), foundersKey, founders) })
	if err != nil {
		return fmt.Errorf("disk: save founders: %w", err)
	}
	return nil
}

// Discard turns the store into a blank one with a new replica id. The founders stay. It must not be called while a replica
// uses the store.
func (s *Store) Discard() error {
	id := newReplicaID()
	err := s.update(func(tx *bbolt.Tx) error {
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(logBucket); err != nil {
			return err
		}
		meta := tx.Bucket(metaBucket)
		for _, key := range [][]byte{hardKey, snapshotKey} {
			if err := meta.Delete(key); err != nil {
				return err
			}
		}
		return putRecord(meta, idKey, id)
	})
	if err != nil {
		return fmt.Errorf("disk: discard: %w", err)
	}
	s.id = id
	return nil
}

// Load implements consensus.Store. It verifies the checksum of every record.
func (s *Store) Load() (stored consensus.Stored, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer recoverDamage(&err)
	stored.ID = s.id
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := getOptional(meta, hardKey, &stored.Hard); err != nil {
			return err
		}
		if err := getOptional(meta, snapshotKey, &stored.Snapshot); err != nil {
			return err
		}
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			var e consensus.Entry
			if err := decodeRecord(k, v, &e); err != nil {
				return err
			}
			if n := len(stored.Entries); n > 0 && e.Index != stored.Entries[n-1].Index+1 {
				return fmt.Errorf("%w: entry %d follows entry %d", ErrDamaged, e.Index, stored.Entries[n-1].Index)
			}
			stored.Entries = append(stored.Entries, e)
			return nil
		})
	})
	return stored, err
}

// Save implements consensus.Store.
func (s *Store) Save(b consensus.Batch) error {
	err := s.update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if b.Hard != nil {
			if err := putRecord(meta, hardKey, *b.Hard); err != nil {
				return err
			}
		}
		if b.Snapshot != nil {
			if err := putRecord(meta, snapshotKey, *b.Snapshot); err != nil {
				return err
			}
		}
		return saveEntries(log, b)
	})
	if err != nil {
		return fmt.Errorf("disk: save: %w", err)
	}
	return nil
}

func saveEntries(log *bbolt.Bucket, b consensus.Batch) error {
	if b.ResetEntries {
		if err := deleteRange(log, 0, 0); err != nil {
			return err
		}
	}
	if len(b.Entries) > 0 {
		if err := deleteRange(log, b.Entries[0].Index, 0); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if err := putRecord(log, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	if b.DropBelow > 0 {
		return deleteRange(log, 0, b.DropBelow)
	}
	return nil
}

// deleteRange deletes the entries with indexes from from up to, but not including, to. If to is 0, it
// deletes all entries from from on.
func deleteRange(log *bbolt.Bucket, from, to uint64) error {
	var indexes []uint64
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil; k, _ = c.Next() {
		index := binary.BigEndian.Uint64(k)
		if to != 0 && index >= to {
			break
		}
		indexes = append(indexes, index)
	}
	for _, index := range indexes {
		if err := log.Delete(indexKey(index)); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Close implements consensus.Store.
func (s *Store) Close() error { return s.db.Close() }
