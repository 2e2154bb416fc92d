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

// replacedTypes are the types of objects that a Document covers. Objects of these types that a
// Document leaves out are deleted; objects of other types stay.
var replacedTypes = []resource.Type{resource.TypeLimits, resource.TypeRank, resource.TypeService, resource.TypeRoute, resource.TypeCustomer}

// Document is a complete configuration from one operator, who assigns its version numbers. It
// replaces the one in force as a whole.
type Document struct {
	// ChangeID is derived from the content of the document, so that a resend has the same id.
	ChangeID string
	// Base is the document version that this one is based on; 0 for the first.
	Base uint64
	// Version is the operator's version number of the document. It must exceed the one in force.
	Version uint64
	// Objects holds objects of replacedTypes: limits, ranks, services, routes and customers.
	Objects []resource.Object
}

// ReplaceVersions holds the versions that a command of OpReplace is checked against.
type ReplaceVersions struct {
	Base    uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Revision is the revision of the configuration that the writes were computed against.
	Revision uint64 `cbor:"3,keyasint"`
}

// maxReplaceAttempts bounds how often the writes are computed if concurrent changes through the
// resource API make them stale.
const maxReplaceAttempts = 3

// Replace puts d in force if its base is the current document version. Only the differences are
// replicated. A document whose result is still remembered gets that result again.
func Replace(ctx context.Context, m *Machine, r Replicator, d *Document) (*Result, error) {
	for attempt := 1; ; attempt++ {
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
		if result.Code != CodeStale || attempt == maxReplaceAttempts {
			return result, nil
		}
	}
}

// prepareReplace returns the command that puts d in force. It returns a result instead if that is
// known without replicating a command: d was submitted before, or would be refused.
func (m *Machine) prepareReplace(d *Document) (*Command, *Result) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if first := m.rememberedChanges.byID[d.ChangeID]; first != nil {
		result, err := DecodeResult(first.Result)
		if err == nil {
			return nil, result
		}
	}
	versions := ReplaceVersions{Base: d.Base, Version: d.Version, Revision: m.set.Version().Revision}
	c := &Command{Op: OpReplace, ChangeID: d.ChangeID, Replace: &versions}
	if refused := m.checkReplace(&versions); refused != nil {
		return nil, refused
	}
	writes, err := m.writesToReach(d.Objects)
	if err != nil {
		return nil, &Result{Code: CodeInvalid, Message: err.Error()}
	}
	c.Writes = writes
	if len(writes) > 0 {
		if s := m.stageUpTo(maxDocumentWrites, writes); s.result.Code != CodeOK {
			return nil, &s.result
		}
	}
	return c, nil
}

// checkReplace returns the refusal of a document whose base or version does not fit the current
// version, or nil. The caller holds m.mu.
func (m *Machine) checkReplace(versions *ReplaceVersions) *Result {
	switch {
	case versions.Base != m.documentVersion:
		return &Result{Code: CodeConflict, Message: fmt.Sprintf("the document builds on version %d, and version %d is in force", versions.Base, m.documentVersion)}
	case versions.Version <= m.documentVersion:
		return &Result{Code: CodeInvalid, Message: fmt.Sprintf("version %d is not above version %d, which is in force", versions.Version, m.documentVersion)}
	}
	return nil
}

// replaceDocument executes OpReplace. The caller holds m.mu.
func (m *Machine) replaceDocument(c *Command) *Result {
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
		s := m.stageUpTo(maxDocumentWrites, c.Writes)
		if s.result.Code != CodeOK {
			return &s.result
		}
		m.commit(s)
	}
	m.documentVersion = c.Replace.Version
	return &Result{Code: CodeOK}
}

var errDuplicateObject = errors.New("control: two objects of a document have the same type and name")

// writesToReach returns the writes that turn the current objects of replacedTypes into the wanted
// ones. The caller holds m.mu.
func (m *Machine) writesToReach(wanted []resource.Object) ([]Write, error) {
	keep := make(map[resource.Key]bool, len(wanted))
	var writes []Write
	for _, o := range wanted {
		k := resource.KeyOf(o)
		if keep[k] {
			return nil, fmt.Errorf("%w: %s", errDuplicateObject, k)
		}
		keep[k] = true
		next, changed := withSystemFields(m.set.Get(k), o)
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

// withSystemFields returns wanted with the metadata and the group that the system has set on the
// current object, and whether the result differs from current.
func withSystemFields(current, wanted resource.Object) (next resource.Object, changed bool) {
	next = wanted.Clone()
	if current == nil {
		next.Metadata().Revision = 0
		return next, true
	}
	*next.Metadata() = *current.Metadata()
	if s, ok := next.(*resource.Service); ok {
		s.Group = current.(*resource.Service).Group
	}
	return next, !reflect.DeepEqual(next, current)
}

// CurrentDocument returns the version of the document in force and the objects of replacedTypes,
// sorted by name within each type.
func (m *Machine) CurrentDocument() (version uint64, objects []resource.Object) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, t := range replacedTypes {
		for _, name := range m.index.names[t] {
			objects = append(objects, m.set.Get(resource.Key{Type: t, Name: name}))
		}
	}
	return m.documentVersion, objects
}

// replaceDigest returns the digest of a replacement. It covers the id only, because the writes of
// the same document depend on the configuration at the time of submission.
func replaceDigest(id string) [sha256.Size]byte { return sha256.Sum256([]byte(id)) }
