package controld

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"github.com/godwithub/godwithub/consensus/disk"
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
	return departureFile{filepath.Join(dataDir, departureFileName), disk.SyncFolder}
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
		return fmt.Errorf("controld: %w", err)
	}
	return nil
}
