package resource

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
)

// Guards against a set that is kept up to date by deltas and differs from
// its source.
func TestDeltasLeadToTheSameSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewSet(Version{Epoch: 1})
		follower := NewSet(Version{})
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			rev := source.Advance()
			name := rapid.SampledFrom(names).Draw(t, "name")
			if rapid.Bool().Draw(t, "remove") {
				source.Remove(Key{TypeCaller, name})
			} else {
				source.Put(&Caller{Meta: Meta{Name: name, Revision: rev}, Weight: int(rev)})
			}
			if rapid.Bool().Draw(t, "follow") {
				follower = applyDelta(t, source, follower)
			}
		}
		if follower.Version() != source.Version() {
			follower = applyDelta(t, source, follower)
		}
		assert.DeepEqual(t, follower.objects, source.objects)
	})
}

func applyDelta(t *rapid.T, source, follower *Set) *Set {
	d, err := source.Since(follower.Version())
	assert.NilError(t, err)
	next, err := follower.Apply(d)
	assert.NilError(t, err)
	return next
}

// Guards against a node that has just started and can serve only full deltas, even for
// small changes.
func TestFullDeltaKeepsTheHorizon(t *testing.T) {
	source := NewSet(Version{Epoch: 1})
	for i := range uint64(10) {
		source.Put(&Caller{Meta: Meta{Name: string(rune('a' + i)), Revision: source.Advance()}, Weight: 1})
	}
	source.Advance()
	source.Remove(Key{TypeCaller, "a"})
	full, err := source.Since(Version{})
	assert.NilError(t, err)
	assert.Assert(t, full.Full)
	started, err := NewSet(Version{}).Apply(full)
	assert.NilError(t, err)
	d, err := started.Since(Version{1, 9})
	assert.NilError(t, err)
	assert.Assert(t, !d.Full && len(d.Changed) == 1 && len(d.Deleted) == 1)
}

// Guards against a configuration that reverts to an older version, or misses changes.
func TestApplyRefusesOlderVersions(t *testing.T) {
	s := NewSet(Version{Epoch: 2, Revision: 5})
	for _, to := range []Version{{2, 5}, {2, 4}, {1, 9}} {
		_, err := s.Apply(Delta{Full: true, To: to})
		assert.ErrorIs(t, err, ErrStale)
	}
	_, err := s.Apply(Delta{From: Version{2, 7}, To: Version{2, 8}})
	assert.ErrorIs(t, err, ErrGap)
}

// Guards against requests that match the wrong request kind or service.
func TestMatchPrefersTheMostSpecific(t *testing.T) {
	s := NewSet(Version{Epoch: 1})
	s.Advance()
	for _, o := range []Object{
		&Service{Meta: Meta{Name: "shop"}, Floor: 1},
		&Service{Meta: Meta{Name: "pay"}, Floor: 1},
		&Route{Meta: Meta{Name: "r1"}, Host: "*", PathPrefix: "/", Service: "shop"},
		&Route{Meta: Meta{Name: "r2"}, Host: "Example.com", PathPrefix: "/pay", Service: "pay"},
		&RequestKind{Meta: Meta{Name: "browse"}, Service: "shop", Method: "*", Path: "/*"},
		&RequestKind{Meta: Meta{Name: "order"}, Service: "shop", Method: "POST", Path: "/orders"},
	} {
		s.Put(o)
	}
	c := Compile(s)
	assert.Equal(t, c.Route("example.com:80", "/pay/1").Service, "pay")
	assert.Equal(t, c.Route("example.com", "/payments").Service, "shop")
	assert.Equal(t, c.Kind("shop", "POST", "/orders").Name, "order")
	assert.Equal(t, c.Kind("shop", "GET", "/orders").Name, "browse")
	assert.Assert(t, c.Kind("pay", "GET", "/") == nil)
}

// Guards against a validation that stops at the first fault.
func TestValidateListsEveryFault(t *testing.T) {
	faults := Validate(&RequestKind{Meta: Meta{Name: "Bad Name"}, Method: "get", Path: "x", Rank: "r"})
	fields := map[string]bool{}
	for _, f := range faults {
		fields[f.Field] = true
	}
	for _, want := range []string{"name", "service", "method", "path", "deadlineMs", "availabilityObjective"} {
		assert.Assert(t, fields[want], "no fault for %s in %v", want, faults)
	}
}
