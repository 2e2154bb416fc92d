package idempotency

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/wire"
)

// The first byte of a group's command selects the part of the machine that applies it.
const (
	partTable      = 1
	partLedger     = 2
	partGeneration = 3 // followed by a generation of the Group resource, eight bytes
)

// machine is the state machine of a group. It consists of the table, an optional ledger, and the
// newest generation of the Group resource that a leader has acted on.
type machine struct {
	table      *Table
	ledger     consensus.StateMachine // may be nil
	generation atomic.Uint64
}

// Apply implements consensus.StateMachine. The result of a command for an unknown part is empty.
func (m *machine) Apply(index uint64, command []byte) []byte {
	if len(command) == 0 {
		return nil
	}
	body := command[1:]
	switch {
	case command[0] == partTable:
		return m.table.Apply(index, body)
	case command[0] == partLedger && m.ledger != nil:
		return m.ledger.Apply(index, body)
	case command[0] == partGeneration && len(body) == 8:
		m.generation.Store(max(m.generation.Load(), binary.BigEndian.Uint64(body)))
	}
	return nil
}

type machineState struct {
	Table      []byte `cbor:"1,keyasint"`
	Ledger     []byte `cbor:"2,keyasint,omitempty"`
	Generation uint64 `cbor:"3,keyasint"`
}

// Snapshot implements consensus.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	s := machineState{Generation: m.generation.Load()}
	var err error
	if s.Table, err = m.table.Snapshot(); err != nil {
		return nil, err
	}
	if m.ledger != nil {
		if s.Ledger, err = m.ledger.Snapshot(); err != nil {
			return nil, fmt.Errorf("idempotency: take snapshot of the ledger: %w", err)
		}
	}
	return wire.Encode(s)
}

// Restore implements consensus.StateMachine.
func (m *machine) Restore(b []byte) error {
	var s machineState
	if err := wire.Decode(b, &s); err != nil {
		return err
	}
	if err := m.table.Restore(s.Table); err != nil {
		return err
	}
	m.generation.Store(s.Generation)
	if m.ledger == nil {
		return nil
	}
	if err := m.ledger.Restore(s.Ledger); err != nil {
		return fmt.Errorf("idempotency: restore the ledger: %w", err)
	}
	return nil
}

func generationCommand(generation uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{partGeneration}, generation)
}
