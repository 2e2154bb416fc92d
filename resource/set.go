package resource

import (
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// MaxTombstones bounds how many deletions a Set remembers. Beyond it the oldest are dropped,
// and a set of an older version than a dropped deletion gets a full delta.
const MaxTombstones = 4096

// ErrStale is returned for a delta that would not raise the version.
var ErrStale = errors.New("resource: delta is not newer than the set")

// ErrGap is returned for a delta that starts after the set's version.
var ErrGap = errors.New("resource: delta starts after the set's version")

// Envelope is an encoded object with its type.
type Envelope struct {
	Type Type            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Tombstone records a deletion.
type Tombstone struct {
	Key      Key    `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// Delta holds the changes from one version to a newer one. A full delta holds all objects, which
// replace those of the set that it is applied to.
type Delta struct {
	From    Version     `cbor:"1,keyasint"`
	To      Version     `cbor:"2,keyasint"`
	Full    bool        `cbor:"3,keyasint"`
	Changed []Envelope  `cbor:"4,keyasint"`
	Deleted []Tombstone `cbor:"5,keyasint"`
	// Horizon is set in a full delta: the oldest revision from which its receiver
	// can compute deltas. Without it, a node that has just started could serve
	// only full deltas.
	Horizon uint64 `cbor:"6,keyasint,omitempty"`
}

// Set is a versioned set of objects. Each object carries the revision that
// last changed it and deletions leave tombstones, so the delta since a recent version can be
// computed from any copy of a set. A Set is not safe for concurrent use. Objects passed to it
// or returned by it must not be modified.
type Set struct {
	version    Version
	objects    map[Key]Object
	tombstones map[Key]uint64 // revisions of the deletions
	// horizon is the oldest revision from which a delta can be computed.
	horizon uint64
}

// NewSet returns an empty set at version v.
func NewSet(v Version) *Set {
	return &Set{version: v, objects: map[Key]Object{}, tombstones: map[Key]uint64{}, horizon: v.Revision}
}

// Version returns the version of the last change.
func (s *Set) Version() Version { return s.version }

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns the object under k, or nil.
func (s *Set) Get(k Key) Object { return s.objects[k] }

// All calls yield for each object in no particular order until it returns false.
func (s *Set) All(yield func(Object) bool) {
	for _, o := range s.objects {
		if !yield(o) {
			return
		}
	}
}

// SetEpoch raises the epoch; it never lowers it. Sets of an older epoch get a full delta.
func (s *Set) SetEpoch(epoch uint64) {
	if epoch > s.version.Epoch {
		s.version.Epoch = epoch
	}
}

// Advance increases the revision by one and returns it. The caller then calls Put
// or Remove for the changes of that revision.
func (s *Set) Advance() uint64 {
	s.version.Revision++
	return s.version.Revision
}

// Put stores o, whose Meta.Revision must be the current revision.
func (s *Set) Put(o Object) {
	k := KeyOf(o)
	s.objects[k] = o
	delete(s.tombstones, k)
}

// Remove deletes the object under k at the current revision.
func (s *Set) Remove(k Key) {
	if _, ok := s.objects[k]; !ok {
		return
	}
	delete(s.objects, k)
	s.tombstones[k] = s.version.Revision
	s.trimTombstones()
}

func (s *Set) trimTombstones() {
	if len(s.tombstones) <= MaxTombstones {
		return
	}
	oldest, key := s.version.Revision+1, Key{}
	for k, rev := range s.tombstones {
		if rev < oldest {
			oldest, key = rev, k
		}
	}
	delete(s.tombstones, key)
	s.horizon = max(s.horizon, oldest)
}

// Since returns the delta from version v to the set's version. It is full if v
// has another epoch or is older than the horizon.
func (s *Set) Since(v Version) (Delta, error) {
	d := Delta{From: v, To: s.version}
	d.Full = v.Epoch != s.version.Epoch || v.Revision < s.horizon
	if d.Full {
		d.Horizon = s.horizon
	}
	for _, o := range s.objects {
		if !d.Full && o.Metadata().Revision <= v.Revision {
			continue
		}
		body, err := cbor.Marshal(o)
		if err != nil {
			return Delta{}, fmt.Errorf("resource: encode %s: %w", KeyOf(o), err)
		}
		d.Changed = append(d.Changed, Envelope{o.Type(), body})
	}
	// A full delta also carries tombstones, so that its receiver can in turn
	// serve deltas from the same horizon.
	for k, rev := range s.tombstones {
		if d.Full || rev > v.Revision {
			d.Deleted = append(d.Deleted, Tombstone{k, rev})
		}
	}
	return d, nil
}

// Decode returns the object in e.
func (e Envelope) Decode() (Object, error) {
	o := New(e.Type)
	if o == nil {
		return nil, fmt.Errorf("resource: unknown type %q", e.Type)
	}
	if err := cbor.Unmarshal(e.Body, o); err != nil {
		return nil, fmt.Errorf("resource: decode %s: %w", e.Type, err)
	}
	return o, nil
}

// Apply returns a new set with d applied; s is not modified. It returns ErrStale unless d
// leads to a higher version, and ErrGap if d is not full and starts after the set's version
// or at another epoch.
func (s *Set) Apply(d Delta) (*Set, error) {
	if !s.version.Less(d.To) {
		return nil, fmt.Errorf("%w: %s to %s", ErrStale, s.version, d.To)
	}
	if !d.Full && (d.From.Epoch != s.version.Epoch || d.From.Revision > s.version.Revision) {
		return nil, fmt.Errorf("%w: %s, delta from %s", ErrGap, s.version, d.From)
	}
	next := &Set{version: d.To, horizon: s.horizon}
	if d.Full {
		next.objects, next.tombstones = make(map[Key]Object, len(d.Changed)), map[Key]uint64{}
		next.horizon = d.Horizon
	} else {
		next.objects, next.tombstones = maps.Clone(s.objects), maps.Clone(s.tombstones)
	}
	for _, e := range d.Changed {
		o, err := e.Decode()
		if err != nil {
			return nil, err
		}
		next.Put(o)
	}
	for _, t := range d.Deleted {
		delete(next.objects, t.Key)
		next.tombstones[t.Key] = t.Revision
		next.trimTombstones()
	}
	return next, nil
}
