package control

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// replacedTypes are the types that a whole configuration states. Objects of
// these types that a Document leaves out are deleted; other types stay.
var replacedTypes = []resource.Type{resource.TypeLimits, resource.TypeRank, resource.TypeService, resource.TypeRoute}

// Document is a whole configuration, written at once by an operator who counts
// its versions.
type Document struct {
	// ChangeID identifies the document by its content: the same document sent
	// again has the same id.
	ChangeID string
	// Base is the writer's version that the document builds on, 0 for the first.
	Base uint64
	// Version is the writer's version of the document. Versions only grow.
	Version uint64
	// Objects are of the types limits, ranks, services and routes.
	Objects []resource.Object
}

// ReplaceHead is what a command of OpReplace states beside its writes.
type ReplaceHead struct {
	Base    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Revision is that of the configuration against which the writes were
	// computed.
	Revision uint64 `cbor:"3,keyasint"`
}

// replaceTries bounds how often writes are computed anew because the resource
// API changed the configuration meanwhile.
const replaceTries = 3

// Replace puts a whole configuration in force if its base is the present
// version. Only what differs is replicated. A document that was accepted before
// gets its first result again.
func Replace(ctx context.Context, m *Machine, r Replicator, d *Document) (*Result, error) {
	for try := 1; ; try++ {
		if err := r.ReadBarrier(ctx); err != nil {
			return nil, fmt.Errorf("control: replace: %w", err)
		}
		c, result := m.prepareReplace(d)
		if result != nil {
			return result, nil
		}
		c.At = time.Now().Unix()
		result, err := Submit(ctx, r, c)
		if err != nil {
			return nil, err
		}
		if result.Code != CodeStale || try == replaceTries {
			return result, nil
		}
	}
}

// prepareReplace returns the command that puts d in force, or the result if
// that is known without one: d was accepted before, or would be refused.
func (m *Machine) prepareReplace(d *Document) (*Command, *Result) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if first := m.changes.byID[d.ChangeID]; first != nil {
		result, err := DecodeResult(first.Result)
		if err == nil {
			return nil, result
		}
	}
	head := ReplaceHead{Base: d.Base, Version: d.Version, Revision: m.set.Version().Revision}
	c := &Command{Op: OpReplace, ChangeID: d.ChangeID, Replace: &head}
	if refused := m.checkReplace(&head); refused != nil {
		return nil, refused
	}
	writes, err := m.difference(d.Objects)
	if err != nil {
		return nil, &Result{Code: CodeInvalid, Message: err.Error()}
	}
	c.Writes = writes
	if len(writes) > 0 {
		if s := m.stage(writes); s.result.Code != CodeOK {
			return nil, &s.result
		}
	}
	return c, nil
}

// checkReplace returns why a document is refused, or nil. m.mu is held.
func (m *Machine) checkReplace(head *ReplaceHead) *Result {
	switch {
	case head.Base != m.written:
		return &Result{Code: CodeConflict, Message: fmt.Sprintf("the document builds on version %d, and version %d is in force", head.Base, m.written)}
	case head.Version <= m.written:
		return &Result{Code: CodeInvalid, Message: fmt.Sprintf("version %d is not above version %d, which is in force", head.Version, m.written)}
	}
	return nil
}

// replace carries out OpReplace. m.mu is held.
func (m *Machine) replace(c *Command) *Result {
	if c.Replace == nil {
		return &Result{Code: CodeMalformed, Message: "a replacement without versions"}
	}
	if refused := m.checkReplace(c.Replace); refused != nil {
		return refused
	}
	if c.Replace.Revision != m.set.Version().Revision {
		return &Result{Code: CodeStale, Message: "the configuration has changed meanwhile"}
	}
	if len(c.Writes) > 0 {
		s := m.stage(c.Writes)
		if s.result.Code != CodeOK {
			return &s.result
		}
		m.commit(s)
	}
	m.written = c.Replace.Version
	return &Result{Code: CodeOK}
}

var errTwice = errors.New("control: two objects of a document have the same type and name")

// difference returns the writes that lead from the present objects to the
// wanted ones. m.mu is held.
func (m *Machine) difference(wanted []resource.Object) ([]Write, error) {
	keep := make(map[resource.Key]bool, len(wanted))
	var writes []Write
	for _, o := range wanted {
		k := resource.KeyOf(o)
		if keep[k] {
			return nil, fmt.Errorf("%w: %s", errTwice, k)
		}
		keep[k] = true
		next, changed := changedFrom(m.set.Get(k), o)
		if !changed {
			continue
		}
		w, err := PutWrite(next)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	for _, t := range slices.Backward(replacedTypes) {
		for _, name := range m.index.names[t] {
			k := resource.Key{Type: t, Name: name}
			if !keep[k] {
				writes = append(writes, Write{Key: k, Revision: m.set.Get(k).Metadata().Revision, Delete: true})
			}
		}
	}
	return writes, nil
}

// changedFrom returns wanted with what the system has set on the present
// object, and whether the two differ.
func changedFrom(present, wanted resource.Object) (next resource.Object, changed bool) {
	next = wanted.Clone()
	if present == nil {
		next.Metadata().Revision = 0
		return next, true
	}
	*next.Metadata() = *present.Metadata()
	if s, ok := next.(*resource.Service); ok {
		s.Group = present.(*resource.Service).Group
	}
	return next, !reflect.DeepEqual(next, present)
}

// Written returns the writer's version in force and the objects of its
// document, by type and name.
func (m *Machine) Written() (version uint64, objects []resource.Object) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, t := range replacedTypes {
		for _, name := range m.index.names[t] {
			objects = append(objects, m.set.Get(resource.Key{Type: t, Name: name}))
		}
	}
	return m.written, objects
}

// replaceDigest identifies a replacement by its id: the writes depend on what
// was in force when the document came.
func replaceDigest(id string) [sha256.Size]byte { return sha256.Sum256([]byte(id)) }
