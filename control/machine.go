// Package control is the replicated configuration: a deterministic state
// machine over resource.Set, the interface through which it is replicated, and
// a replicator for a single process. control/server serves it over HTTPS.
package control

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/godwithub/godwithub/resource"
)

// StateMachine is what the replicated log drives. It equals
// consensus.StateMachine.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

var _ StateMachine = (*Machine)(nil)

// firstEpoch is the epoch of a configuration that was never restored.
const firstEpoch = 1

// Machine is the state machine of the configuration. Apply and Restore are
// called by one goroutine at a time; all other methods are safe at any time.
type Machine struct {
	mu sync.RWMutex
	state
	applied uint64 // commands since the process started
	// published is the copy that Config last returned. It has its own lock
	// because Config extends it while reads go on.
	publishedMu sync.Mutex
	published   *resource.Set

	subscribers subscribers
}

// state is what commands change.
type state struct {
	set     *resource.Set
	index   *index
	changes *changes
	members []Member // ordered by id
	retired *retired
	// written is the writer's version of the document in force; see Document.
	written uint64
}

// NewMachine returns an empty configuration at epoch 1, revision 0.
func NewMachine() *Machine {
	set := resource.NewSet(resource.Version{Epoch: firstEpoch})
	return &Machine{state: state{set: set, index: newIndex(set), changes: newChanges(0, nil), retired: newRetired(nil)}}
}

// Apply implements StateMachine. It returns the encoding of a Result.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	before := m.set.Version()
	m.applied++
	result := m.applyLocked(command)
	after := m.set.Version()
	m.mu.Unlock()
	if before != after {
		m.subscribers.notify(after)
	}
	return result
}

func (m *Machine) applyLocked(command []byte) []byte {
	c := &Command{}
	if err := decoding.Unmarshal(command, c); err != nil {
		return m.encode(&Result{Code: CodeMalformed, Message: "the command cannot be decoded"})
	}
	m.changes.advance(c.At)
	if c.ChangeID == "" {
		return m.encode(m.run(c))
	}
	if len(c.ChangeID) > MaxChangeIDBytes {
		return m.encode(&Result{Code: CodeMalformed, Message: fmt.Sprintf("the change id is longer than %d bytes", MaxChangeIDBytes)})
	}
	digest, err := c.digest()
	if err != nil {
		return m.encode(&Result{Code: CodeMalformed, Message: "the command cannot be encoded"})
	}
	if first := m.changes.byID[c.ChangeID]; first != nil {
		if first.Digest != digest {
			return m.encode(&Result{Code: CodeChangeIDReused, Message: "the change id was used for another change"})
		}
		return slices.Clone(first.Result)
	}
	// Refusals are remembered as well: a resend must not carry out what the
	// operator has been told is refused.
	ran := m.run(c)
	result := m.encode(ran)
	if ran.Code == CodeStale {
		// The proposer computes the writes anew under the same id.
		return result
	}
	m.changes.add(&change{ID: c.ChangeID, Digest: digest, At: c.At, Result: result})
	return slices.Clone(result)
}

// encode stamps r with the present version and encodes it.
func (m *Machine) encode(r *Result) []byte {
	r.Version = m.set.Version()
	b, err := encoding.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("control: encode result: %v", err))
	}
	return b
}

func (m *Machine) run(c *Command) *Result {
	switch c.Op {
	case OpWrite:
		s := m.stage(c.Writes)
		if s.result.Code == CodeOK {
			m.commit(s)
		}
		return &s.result
	case OpPutMember:
		return m.putMember(c.Member)
	case OpRemoveMember:
		return m.removeMember(c.Member.ID)
	case OpRaiseEpoch:
		return m.raiseEpoch(c.Epoch)
	case OpRestore:
		return m.restoreCommand(c.Snapshot)
	case OpReplace:
		return m.replace(c)
	}
	return &Result{Code: CodeMalformed, Message: fmt.Sprintf("unknown operation %d", c.Op)}
}

func (m *Machine) putMember(member Member) *Result {
	if member.ID == "" {
		return &Result{Code: CodeMalformed, Message: "a member needs an id"}
	}
	i, found := m.findMember(member.ID)
	if found {
		m.members[i] = member
	} else {
		m.members = slices.Insert(m.members, i, member)
	}
	return &Result{Code: CodeOK}
}

func (m *Machine) removeMember(id string) *Result {
	i, found := m.findMember(id)
	if !found {
		return &Result{Code: CodeConflict, Message: fmt.Sprintf("there is no member %q", id)}
	}
	m.members = slices.Delete(m.members, i, i+1)
	return &Result{Code: CodeOK}
}

func (m *Machine) findMember(id string) (int, bool) {
	return slices.BinarySearchFunc(m.members, id, func(a Member, id string) int { return strings.Compare(a.ID, id) })
}

func (m *Machine) raiseEpoch(epoch uint64) *Result {
	if now := m.set.Version().Epoch; epoch <= now {
		return &Result{Code: CodeConflict, Message: fmt.Sprintf("epoch %d is not above the present epoch %d", epoch, now)}
	}
	m.set.SetEpoch(epoch)
	return &Result{Code: CodeOK}
}

// DryRun returns the result that writes would have now, and changes nothing.
func (m *Machine) DryRun(writes []Write) *Result {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.stage(writes)
	s.result.Version = m.set.Version()
	return &s.result
}
