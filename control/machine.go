// Package control implements the replicated configuration: a deterministic state machine over
// resource.Set, the Replicator interface through which commands are replicated, and a Replicator for
// a single process. Package control/server serves it over HTTPS.
package control

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/godwithub/godwithub/resource"
)

// StateMachine applies the commands of the replicated log. It has the methods of
// consensus.StateMachine.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

var _ StateMachine = (*Machine)(nil)

// firstEpoch is the epoch of a new configuration.
const firstEpoch = 1

// Machine is the state machine of the configuration. Apply and Restore must be called by one
// goroutine at a time; all other methods are safe for concurrent use.
type Machine struct {
	mu sync.RWMutex
	state
	applied uint64 // commands since the process started
	// published is the copy that Config last returned. It has its own lock, so that Config can
	// update it without blocking reads.
	publishedMu sync.Mutex
	published   *resource.Set

	subscribers subscribers
}

// state is the part of a Machine that commands modify and snapshots hold.
type state struct {
	set               *resource.Set
	index             *index
	rememberedChanges *rememberedChanges
	members           []Member // ordered by id
	deletedServices   *deletedServices
	// documentVersion is the Document.Version in force; 0 if there is none.
	documentVersion uint64
}

// NewMachine returns an empty configuration at epoch 1, revision 0.
func NewMachine() *Machine {
	set := resource.NewSet(resource.Version{Epoch: firstEpoch})
	return &Machine{state: state{set: set, index: newIndex(set), rememberedChanges: newRememberedChanges(0, nil), deletedServices: newDeletedServices(nil)}}
}

// Apply implements StateMachine. It returns an encoded Result.
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
	if err := decMode.Unmarshal(command, c); err != nil {
		return m.encode(&Result{Code: CodeMalformed, Message: "the command cannot be decoded"})
	}
	m.rememberedChanges.advanceClock(c.At)
	if c.ChangeID == "" {
		return m.encode(m.execute(c))
	}
	if len(c.ChangeID) > MaxChangeIDBytes {
		return m.encode(&Result{Code: CodeMalformed, Message: fmt.Sprintf("the change id is longer than %d bytes", MaxChangeIDBytes)})
	}
	digest, err := c.digest()
	if err != nil {
		return m.encode(&Result{Code: CodeMalformed, Message: "the command cannot be encoded"})
	}
	if first := m.rememberedChanges.byID[c.ChangeID]; first != nil {
		if first.Digest != digest {
			return m.encode(&Result{Code: CodeChangeIDReused, Message: "the change id was used for another change"})
		}
		return slices.Clone(first.Result)
	}
	// Refusals are remembered as well, so that a resend does not apply a change that the operator
	// has been told was refused.
	executed := m.execute(c)
	result := m.encode(executed)
	if executed.Code == CodeStale {
		// Not remembered: the proposer recomputes the writes and proposes them under the same id.
		return result
	}
	m.rememberedChanges.add(&rememberedChange{ID: c.ChangeID, Digest: digest, At: c.At, Result: result})
	return slices.Clone(result)
}

// encode sets the version of r to the current one and encodes r.
func (m *Machine) encode(r *Result) []byte {
	r.Version = m.set.Version()
	b, err := encMode.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("control: encode result: %v", err))
	}
	return b
}

func (m *Machine) execute(c *Command) *Result {
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
		return m.restoreConfiguration(c.Snapshot)
	case OpReplace:
		return m.replaceDocument(c)
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
	if current := m.set.Version().Epoch; epoch <= current {
		return &Result{Code: CodeConflict, Message: fmt.Sprintf("epoch %d is not above the present epoch %d", epoch, current)}
	}
	m.set.SetEpoch(epoch)
	return &Result{Code: CodeOK}
}

// DryRun returns the result that writes would have now, without applying them.
func (m *Machine) DryRun(writes []Write) *Result {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.stage(writes)
	s.result.Version = m.set.Version()
	return &s.result
}
