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
	// lockTimeout bounds the wait for a file that another process has open.
	lockTimeout = time.Second
	// compactAfter is how many commands the journal holds before a snapshot
	// replaces them. Replaying them takes less time than reading a snapshot at
	// the target scale.
	compactAfter = 4096
)

var (
	bucketLog      = []byte("log")
	bucketSnapshot = []byte("snapshot")
	keyIndex       = []byte("index")
	keyState       = []byte("state")
)

// Journal stores the commands of a Local replicator in a file, synced before
// each is applied.
type Journal struct {
	db    *bbolt.DB
	log   *slog.Logger
	count int // commands in the log
}

// OpenJournal opens the journal in dir and creates both if need be. It fails
// if another process has it open.
func OpenJournal(dir string, log *slog.Logger) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("control: journal: %w", err)
	}
	path := filepath.Join(dir, journalFile)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("control: %s is in use by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("control: journal: %w", err)
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
		return nil, fmt.Errorf("control: journal: %w", err)
	}
	return j, nil
}

// Close closes the file.
func (j *Journal) Close() error { return j.db.Close() }

func (j *Journal) full() bool { return j.count >= compactAfter }

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

// compact stores the snapshot of the state after index and drops the log.
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
		return fmt.Errorf("control: journal: %w", err)
	}
	j.count = 0
	return nil
}

// replay brings machine to the stored state and returns its index.
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
				return fmt.Errorf("command %d follows command %d", next, index)
			}
			index = next
			j.count++
			machine.Apply(index, command)
			return nil
		})
	})
	if err != nil {
		return 0, fmt.Errorf("control: journal: replay: %w", err)
	}
	return index, nil
}
