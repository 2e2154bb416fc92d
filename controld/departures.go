package controld

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/wire"
)

const (
	// departureFileName is the name of the file with departures in the data folder.
	departureFileName = "departures.cbor"
	departureFileMode = 0o600
)

// departureFile is a file with the departures that membership keeps. It implements gossip.DepartureStore.
type departureFile struct {
	path       string
	syncFolder func(folder string) error
}

func newDepartureFile(dataDir string) departureFile {
	return departureFile{filepath.Join(dataDir, departureFileName), syncFolder}
}

// LoadDepartures implements gossip.DepartureStore.
func (f departureFile) LoadDepartures() ([]fleet.KeptDeparture, error) {
	b, err := os.ReadFile(f.path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("controld: %w", err)
	}
	var list []fleet.KeptDeparture
	if err := wire.Decode(b, &list); err != nil {
		return nil, fmt.Errorf("controld: %s: %w", f.path, err)
	}
	return list, nil
}

// SaveDepartures implements gossip.DepartureStore.
func (f departureFile) SaveDepartures(list []fleet.KeptDeparture) error {
	b, err := wire.Encode(list)
	if err != nil {
		return err
	}
	folder := filepath.Dir(f.path)
	if err := renameio.WriteFile(f.path, b, departureFileMode, renameio.WithTempDir(folder)); err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	// Without this, a loss of power may undo the rename.
	if err := f.syncFolder(folder); err != nil {
		return fmt.Errorf("controld: sync %s: %w", folder, err)
	}
	return nil
}

// syncFolder makes the names in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
