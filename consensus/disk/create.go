package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	bolterrors "go.etcd.io/bbolt/errors"
)

// newFileName is the name of a store that is being created. A store gets its own name once it is complete and synced.
// What is found under this name was never returned by Open, so nothing was promised on it; what is found
// under FileName may hold what was acknowledged, however little is left of it.
const newFileName = FileName + ".new"

// errStoreExists is returned if another process has created the store meanwhile.
var errStoreExists = errors.New("disk: the store exists")

// createIfMissing creates a store in a folder that has none. Its name is not durable until the folder is synced.
func createIfMissing(folder string) error {
	path := filepath.Join(folder, FileName)
	if exists, err := fileExists(path); exists || err != nil {
		return err
	}
	newPath := filepath.Join(folder, newFileName)
	s, err := openFile(newPath, func(name string, flag int, mode os.FileMode) (*os.File, error) {
		return openNew(name, flag, mode, path)
	})
	if errors.Is(err, errStoreExists) {
		return nil
	}
	if err != nil {
		return err
	}
	err = s.update(s.initialize)
	if err == nil {
		err = os.Rename(newPath, path)
	}
	if err := errors.Join(err, s.db.Close()); err != nil {
		return fmt.Errorf("disk: create %s: %w", path, err)
	}
	return nil
}

// openNew opens, locks and empties the file under newFileName. The holder of the lock is the only one that may
// rename the file, and only while there is no store, which is checked once the lock is held.
func openNew(name string, flag int, mode os.FileMode, storePath string) (_ *os.File, err error) {
	f, err := os.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, bolterrors.ErrTimeout
		}
		return nil, os.NewSyscallError("flock", err)
	}
	if exists, err := fileExists(storePath); err != nil {
		return nil, err
	} else if exists {
		return nil, errStoreExists
	}
	return f, f.Truncate(0)
}

// openExisting opens the file of a store. An empty one is no blank store, which bbolt would make of it.
func openExisting(name string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := os.OpenFile(name, flag&^os.O_CREATE, mode)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err == nil && info.Size() == 0 {
		err = errors.New("the file is empty")
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func fileExists(path string) (bool, error) {
	_, err := os.Stat(path)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, fs.ErrNotExist):
		return false, nil
	}
	return false, fmt.Errorf("disk: %w", err)
}
