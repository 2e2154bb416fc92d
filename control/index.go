package control

import (
	"cmp"
	"slices"

	"github.com/godwithub/godwithub/resource"
)

// index looks up the objects that refer to an object, and the sorted names of each type. It is
// derived from the set and not part of a snapshot.
type index struct {
	// referrers holds, for each referenced key, the keys of the objects that refer to it.
	referrers map[resource.Key]map[resource.Key]struct{}
	// names holds the sorted names of each type.
	names map[resource.Type][]string
	// keyHolders holds the names of customers by the digests of their keys.
	keyHolders map[resource.KeyDigest]string
}

func newIndex(set *resource.Set) *index {
	x := &index{referrers: map[resource.Key]map[resource.Key]struct{}{}, names: map[resource.Type][]string{}, keyHolders: map[resource.KeyDigest]string{}}
	for o := range set.All {
		k := resource.KeyOf(o)
		x.names[k.Type] = append(x.names[k.Type], k.Name)
		x.addReferences(o)
		x.addKeys(o)
	}
	for _, names := range x.names {
		slices.Sort(names)
	}
	return x
}

func (x *index) addReferences(o resource.Object) {
	k := resource.KeyOf(o)
	for _, ref := range resource.References(o) {
		if x.referrers[ref] == nil {
			x.referrers[ref] = map[resource.Key]struct{}{}
		}
		x.referrers[ref][k] = struct{}{}
	}
}

func (x *index) removeReferences(o resource.Object) {
	k := resource.KeyOf(o)
	for _, ref := range resource.References(o) {
		delete(x.referrers[ref], k)
		if len(x.referrers[ref]) == 0 {
			delete(x.referrers, ref)
		}
	}
}

// update records that after replaces before; either may be nil.
func (x *index) update(before, after resource.Object) {
	if before != nil {
		x.removeReferences(before)
		x.removeKeys(before)
	}
	if after != nil {
		x.addReferences(after)
		x.addKeys(after)
	}
	switch {
	case before == nil && after != nil:
		x.addName(resource.KeyOf(after))
	case before != nil && after == nil:
		x.removeName(resource.KeyOf(before))
	}
}

func (x *index) addName(k resource.Key) {
	names := x.names[k.Type]
	if i, found := slices.BinarySearch(names, k.Name); !found {
		x.names[k.Type] = slices.Insert(names, i, k.Name)
	}
}

func (x *index) removeName(k resource.Key) {
	names := x.names[k.Type]
	if i, found := slices.BinarySearch(names, k.Name); found {
		x.names[k.Type] = slices.Delete(names, i, i+1)
	}
	if len(x.names[k.Type]) == 0 {
		delete(x.names, k.Type)
	}
}

// refersTo reports whether the object under user refers to k.
func (x *index) refersTo(user, k resource.Key) bool {
	_, ok := x.referrers[k][user]
	return ok
}

// referrersOf returns the sorted keys of the objects that refer to k.
func (x *index) referrersOf(k resource.Key) []resource.Key {
	keys := make([]resource.Key, 0, len(x.referrers[k]))
	for u := range x.referrers[k] {
		keys = append(keys, u)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b resource.Key) int {
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
}
