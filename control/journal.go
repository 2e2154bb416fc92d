package control

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	journalFile = "journal.db"
	// lockTimeout bounds the wait for the file lock while another process holds it.
	lockTimeout = time.Second
	// compactionThreshold is the number of commands after which a snapshot replaces the log.
	// At the target scale, replaying that many takes less time than reading a snapshot.
	compactionThreshold = 4096
)

var (
	bucketLog      = []byte("log")
	bucketSnapshot = []byte("snapshot")
	keyIndex       = []byte("index")
	keyState       = []byte("state")
)

// Journal is the write-ahead log of a Local replicator: each command is synced to a file before
// it is applied.
type Journal struct {
	db    *bbolt.DB
	log   *slog.Logger
	count int // commands since the last snapshot
}

// OpenJournal opens the journal in dir. It creates the directory and the file if they do not
// exist, and fails if another process has the file open.
func OpenJournal(dir string, log *slog.Logger) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("control: create journal directory: %w", err)
	}
	path := filepath.Join(dir, journalFile)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("control: %s is in use by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("control: open journal: %w", err)
	}
	j := &Journal{db: db, log: log}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketSnapshot); err != nil {
			return err
		}
		_, err := tx.CreateBucketIfNotExists(bucketLog)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("control: create journal buckets: %w", err)
	}
	return j, nil
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }

func (j *Journal) needsCompaction() bool { return j.count >= compactionThreshold }

func (j *Journal) append(index uint64, command []byte) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketLog).Put(binary.BigEndian.AppendUint64(nil, index), command)
	})
	if err != nil {
		return fmt.Errorf("control: journal: %w", err)
	}
	j.count++
	return nil
}

// compact stores state, a snapshot taken after command index, and deletes the log.
func (j *Journal) compact(index uint64, state []byte) error {
	err := j.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSnapshot)
		if err := errors.Join(b.Put(keyIndex, binary.BigEndian.AppendUint64(nil, index)), b.Put(keyState, state)); err != nil {
			return err
		}
		if err := tx.DeleteBucket(bucketLog); err != nil {
			return err
		}
		_, err := tx.CreateBucket(bucketLog)
		return err
	})
	if err != nil {
		return fmt.Errorf("control: compact journal: %w", err)
	}
	j.count = 0
	return nil
}

// replay restores machine from the snapshot and the log, and returns the index of the last
// command.
func (j *Journal) replay(machine *Machine) (index uint64, err error) {
	err = j.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket(bucketSnapshot); b.Get(keyState) != nil {
			index = binary.BigEndian.Uint64(b.Get(keyIndex))
			if err := machine.Restore(b.Get(keyState)); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketLog).ForEach(func(k, command []byte) error {
			next := binary.BigEndian.Uint64(k)
			if next != index+1 {
				return fmt.Errorf("command %d follows command %d; commands are missing", next, index)
			}
			index = next
			j.count++
			machine.Apply(index, command)
			return nil
		})
	})
	if err != nil {
		return 0, fmt.Errorf("control: replay journal: %w", err)
	}
	return index, nil
}
