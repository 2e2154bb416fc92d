package control

import (
	"cmp"
	"slices"

	"github.com/godwithub/godwithub/resource"
)

// index answers which objects refer to an object and lists names in order. It
// is derived from the set and is not part of a snapshot.
type index struct {
	// users holds, per referred key, the keys of the objects that refer to it.
	users map[resource.Key]map[resource.Key]struct{}
	// names holds the sorted names of each type.
	names map[resource.Type][]string
}

func newIndex(set *resource.Set) *index {
	x := &index{users: map[resource.Key]map[resource.Key]struct{}{}, names: map[resource.Type][]string{}}
	for o := range set.All {
		k := resource.KeyOf(o)
		x.names[k.Type] = append(x.names[k.Type], k.Name)
		x.link(o)
	}
	for _, names := range x.names {
		slices.Sort(names)
	}
	return x
}

func (x *index) link(o resource.Object) {
	k := resource.KeyOf(o)
	for _, ref := range resource.References(o) {
		if x.users[ref] == nil {
			x.users[ref] = map[resource.Key]struct{}{}
		}
		x.users[ref][k] = struct{}{}
	}
}

func (x *index) unlink(o resource.Object) {
	k := resource.KeyOf(o)
	for _, ref := range resource.References(o) {
		delete(x.users[ref], k)
		if len(x.users[ref]) == 0 {
			delete(x.users, ref)
		}
	}
}

// replace records that before became after; either may be nil.
func (x *index) replace(before, after resource.Object) {
	if before != nil {
		x.unlink(before)
	}
	if after != nil {
		x.link(after)
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

// uses reports whether user refers to k.
func (x *index) uses(user, k resource.Key) bool {
	_, ok := x.users[k][user]
	return ok
}

// usersOf returns the keys that refer to k, in order.
func (x *index) usersOf(k resource.Key) []resource.Key {
	keys := make([]resource.Key, 0, len(x.users[k]))
	for u := range x.users[k] {
		keys = append(keys, u)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b resource.Key) int {
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
}
