package control

import (
	"fmt"
	"math"
	"slices"

	"github.com/godwithub/godwithub/resource"
)

// shareTolerance allows for floating-point rounding in the sum of rank shares.
const shareTolerance = 1e-9

// staged is a validated batch of writes that is not yet applied: an overlay on the set. Its cost
// grows with the batch, not with the set.
type staged struct {
	m      *Machine
	writes []Write
	// after holds the object under each written key once the batch is applied; nil if deleted.
	after map[resource.Key]resource.Object
	// groups holds the names of all groups after the batch, and servicesPerGroup counts their
	// services. Both are built when the first service needs a group.
	groups           []string
	servicesPerGroup map[string]int
	result           Result
}

// stage checks writes against the set and collects every conflict and every field error ("fault").
// The caller holds m.mu.
func (m *Machine) stage(writes []Write) *staged { return m.stageUpTo(MaxWrites, writes) }

// stageUpTo is stage with another limit of the number of writes.
func (m *Machine) stageUpTo(limit int, writes []Write) *staged {
	s := &staged{m: m, writes: writes, after: make(map[resource.Key]resource.Object, len(writes)), result: Result{Code: CodeOK}}
	if len(writes) == 0 || len(writes) > limit {
		s.result.Code = CodeMalformed
		s.result.Message = fmt.Sprintf("a change has 1 to %d writes, not %d", limit, len(writes))
		return s
	}
	for i := range writes {
		s.stageWrite(&writes[i])
	}
	for i := range writes {
		s.resolveGroup(writes[i].Key)
	}
	for i := range writes {
		s.checkReferences(writes[i].Key)
	}
	s.checkShares()
	s.checkKeys()
	s.checkLastCustomer()
	s.finishResult()
	return s
}

func (s *staged) addFault(k resource.Key, field, format string, args ...any) {
	s.result.Faults = append(s.result.Faults, resource.FieldError{Key: k, Field: field, Fault: fmt.Sprintf(format, args...)})
}

func (s *staged) get(k resource.Key) resource.Object {
	if o, ok := s.after[k]; ok {
		return o
	}
	return s.m.set.Get(k)
}

func (s *staged) stageWrite(w *Write) {
	if _, duplicate := s.after[w.Key]; duplicate {
		s.addFault(w.Key, "name", "is written twice in one change")
		return
	}
	current := s.m.set.Get(w.Key)
	s.checkRevision(w, current)
	if w.Delete {
		s.after[w.Key] = nil
		return
	}
	o, err := resource.Envelope{Type: w.Key.Type, Body: w.Body}.Decode()
	if err != nil {
		s.addFault(w.Key, "type", "cannot be decoded as %q", w.Key.Type)
		return
	}
	meta := o.Metadata()
	meta.Name = w.Key.Name
	meta.Generation = 1
	if current != nil {
		meta.Generation = current.Metadata().Generation + 1
	}
	meta.Revision = s.m.set.Version().Revision + 1
	keepKeys(w, o, current)
	s.after[w.Key] = o
	s.result.Faults = append(s.result.Faults, resource.Validate(o)...)
	s.checkGroupEpoch(o, current)
}

// checkRevision records a conflict unless w names the revision of current. Deleting an object that
// does not exist is a conflict as well.
func (s *staged) checkRevision(w *Write, current resource.Object) {
	switch {
	case current == nil && w.Revision == 0 && !w.Delete:
		return
	case current != nil && w.Revision == current.Metadata().Revision:
		return
	}
	conflict := Conflict{Key: w.Key, Revision: w.Revision}
	if current != nil {
		e, err := envelope(current)
		if err != nil {
			panic(err)
		}
		conflict.Current = e
	}
	s.result.Conflicts = append(s.result.Conflicts, conflict)
}

// checkGroupEpoch refuses to lower the epoch of a group, because the replicas of a replaced group
// would then count as current.
func (s *staged) checkGroupEpoch(o, current resource.Object) {
	group, ok := o.(*resource.Group)
	if !ok || current == nil {
		return
	}
	if currentEpoch := current.(*resource.Group).Epoch; group.Epoch < currentEpoch {
		s.addFault(resource.KeyOf(o), "epoch", "%d is below the present epoch %d", group.Epoch, currentEpoch)
	}
}

// referenceField is the name of the field that refers to an object of the given type.
var referenceField = map[resource.Type]string{
	resource.TypeService: "service",
	resource.TypeRank:    "rank",
	resource.TypeGroup:   "group",
}

// checkReferences records a fault for each dangling reference from k or, if k is deleted, to k.
func (s *staged) checkReferences(k resource.Key) {
	o, written := s.after[k]
	if !written {
		return
	}
	if o == nil {
		s.checkUnreferenced(k)
		return
	}
	for _, ref := range resource.References(o) {
		if ref.Name != "" && s.get(ref) == nil {
			s.addFault(k, referenceField[ref.Type], "%s does not exist", ref)
		}
	}
}

// checkUnreferenced records a fault for each object outside the batch that refers to the deleted
// key k. References of objects in the batch are checked by checkReferences.
func (s *staged) checkUnreferenced(k resource.Key) {
	for _, user := range s.m.index.referrersOf(k) {
		if _, written := s.after[user]; !written {
			s.addFault(k, "name", "is in use by %s", user)
		}
	}
}

// checkShares records a fault if the batch writes a rank and the shares of all ranks exceed 1.
func (s *staged) checkShares() {
	var written []resource.Key
	for _, w := range s.writes {
		if w.Key.Type == resource.TypeRank && s.after[w.Key] != nil {
			written = append(written, w.Key)
		}
	}
	if len(written) == 0 {
		return
	}
	// Sum in the order of names, because floating-point rounding depends on the order and all
	// replicas must agree.
	sum := 0.0
	for _, name := range s.namesAfter(resource.TypeRank) {
		sum += s.get(resource.Key{Type: resource.TypeRank, Name: name}).(*resource.Rank).Share
	}
	if sum > 1+shareTolerance || math.IsNaN(sum) {
		s.addFault(written[0], "share", "the shares of all ranks add up to %.4g, above 1", sum)
	}
}

// namesAfter returns the sorted names of type t once the batch is applied.
func (s *staged) namesAfter(t resource.Type) []string {
	names := slices.Clone(s.m.index.names[t])
	for _, w := range s.writes {
		if w.Key.Type == t && s.after[w.Key] != nil {
			names = append(names, w.Key.Name)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool {
		return s.get(resource.Key{Type: t, Name: name}) == nil
	})
}

// finishResult sets the result's code and, if the batch is accepted, one SystemFields per write.
func (s *staged) finishResult() {
	switch {
	case len(s.result.Conflicts) > 0:
		s.result.Code = CodeConflict
	case len(s.result.Faults) > 0:
		s.result.Code = CodeInvalid
	}
	if s.result.Code != CodeOK {
		return
	}
	for _, w := range s.writes {
		fields := SystemFields{}
		if o := s.after[w.Key]; o != nil {
			fields.Generation = o.Metadata().Generation
			if service, ok := o.(*resource.Service); ok {
				fields.Group = service.Group
			}
		}
		s.result.SystemFields = append(s.result.SystemFields, fields)
	}
}

// commit applies an accepted batch under one new revision. The caller holds m.mu.
func (m *Machine) commit(s *staged) {
	m.set.Advance()
	for _, w := range s.writes {
		before, after := m.set.Get(w.Key), s.after[w.Key]
		m.index.update(before, after)
		if after == nil {
			m.set.Remove(w.Key)
		} else {
			m.set.Put(after)
		}
		m.deletedServices.update(before, after)
	}
}
