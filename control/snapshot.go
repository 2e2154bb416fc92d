package control

import (
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/resource"
)

// snapshotFormat is the format version that Snapshot writes and Restore accepts.
const snapshotFormat = 1

// snapshot is the encoded form of state.
type snapshot struct {
	Format            int                 `cbor:"1,keyasint"`
	Set               resource.Delta      `cbor:"2,keyasint"` // always a full delta
	Now               int64               `cbor:"3,keyasint"`
	RememberedChanges []*rememberedChange `cbor:"4,keyasint,omitempty"`
	Members           []Member            `cbor:"5,keyasint,omitempty"`
	DeletedServices   []deletedService    `cbor:"6,keyasint,omitempty"`
	DocumentVersion   uint64              `cbor:"7,keyasint,omitempty"`
}

// Snapshot implements StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	delta, err := m.set.Since(resource.Version{})
	if err != nil {
		return nil, err
	}
	if err := sortDelta(&delta); err != nil {
		return nil, err
	}
	b, err := encMode.Marshal(&snapshot{
		Format: snapshotFormat, Set: delta, Now: m.rememberedChanges.now, RememberedChanges: m.rememberedChanges.queue,
		Members: m.members, DeletedServices: m.deletedServices.queue, DocumentVersion: m.documentVersion,
	})
	if err != nil {
		return nil, fmt.Errorf("control: encode snapshot: %w", err)
	}
	return b, nil
}

// sortDelta sorts a delta by key, so that equal states encode to equal snapshots.
func sortDelta(d *resource.Delta) error {
	type keyed struct {
		key resource.Key
		e   resource.Envelope
	}
	list := make([]keyed, len(d.Changed))
	for i, e := range d.Changed {
		var meta struct {
			Name string `cbor:"name"`
		}
		if err := decMode.Unmarshal(e.Body, &meta); err != nil {
			return fmt.Errorf("control: encode snapshot: %w", err)
		}
		list[i] = keyed{resource.Key{Type: e.Type, Name: meta.Name}, e}
	}
	slices.SortFunc(list, func(a, b keyed) int { return compareKeys(a.key, b.key) })
	for i := range list {
		d.Changed[i] = list[i].e
	}
	slices.SortFunc(d.Deleted, func(a, b resource.Tombstone) int { return compareKeys(a.Key, b.Key) })
	return nil
}

// Restore implements StateMachine. On an error the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	next, err := decodeSnapshot(b)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = *next
	v := m.set.Version()
	m.mu.Unlock()
	m.publishedMu.Lock()
	// The restored state may be older than the published copy, which a delta cannot express.
	m.published = nil
	m.publishedMu.Unlock()
	m.subscribers.notify(v)
	return nil
}

func decodeSnapshot(b []byte) (*state, error) {
	var s snapshot
	if err := decMode.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("control: decode snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return nil, fmt.Errorf("control: snapshot has format %d, not %d", s.Format, snapshotFormat)
	}
	if !s.Set.Full {
		return nil, fmt.Errorf("control: snapshot holds a partial configuration")
	}
	set, err := resource.NewSet(resource.Version{}).Apply(s.Set)
	if err != nil {
		return nil, fmt.Errorf("control: decode snapshot: %w", err)
	}
	return &state{
		set:               set,
		index:             newIndex(set),
		rememberedChanges: newRememberedChanges(s.Now, s.RememberedChanges),
		members:           s.Members,
		deletedServices:   newDeletedServices(s.DeletedServices),
		documentVersion:   s.DocumentVersion,
	}, nil
}

// restoreConfiguration replaces the configuration by that of a snapshot, under an epoch above both.
// The current members stay, because those of the snapshot belong to the control group that was
// lost. The caller holds m.mu.
func (m *Machine) restoreConfiguration(b []byte) *Result {
	next, err := decodeSnapshot(b)
	if err != nil {
		return &Result{Code: CodeMalformed, Message: err.Error()}
	}
	epoch := max(m.set.Version().Epoch, next.set.Version().Epoch) + 1
	next.set.SetEpoch(epoch)
	next.members = m.members
	next.rememberedChanges.advanceClock(m.rememberedChanges.now)
	m.state = *next
	return &Result{Code: CodeOK}
}

// CheckSnapshot returns an error if b is not a snapshot that can be restored.
func CheckSnapshot(b []byte) error {
	_, err := decodeSnapshot(b)
	return err
}
