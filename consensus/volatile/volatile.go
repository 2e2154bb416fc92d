// Package volatile provides a consensus store that stores nothing. The log is held in memory by the
// core only, so a replica that stops loses its state, and its id must not be used again.
package volatile

import "github.com/godwithub/godwithub/consensus"

// Store implements consensus.Store.
type Store struct{ id consensus.ReplicaID }

// New returns the store of a replica that has never run before.
func New(id consensus.ReplicaID) *Store { return &Store{id} }

// Load returns a blank state that holds only the id.
func (s *Store) Load() (consensus.Stored, error) { return consensus.Stored{ID: s.id}, nil }

// Save does nothing.
func (s *Store) Save(consensus.Batch) error { return nil }

// Close does nothing.
func (s *Store) Close() error { return nil }
