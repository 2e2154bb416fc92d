package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/godwithub/godwithub/internal/testseed"
	"github.com/godwithub/godwithub/resource"
)

type fataler interface {
	Helper()
	Fatalf(string, ...any)
}

func apply(t fataler, m *Machine, c *Command) *Result {
	t.Helper()
	b, err := c.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	r, err := DecodeResult(m.Apply(0, b))
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	return r
}

func putCommand(t fataler, objects ...resource.Object) *Command {
	t.Helper()
	c := &Command{Op: OpWrite}
	for _, o := range objects {
		w, err := PutWrite(o)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		c.Writes = append(c.Writes, w)
	}
	return c
}

func deleteWrite(revision uint64, t resource.Type, name string) Write {
	return Write{Key: resource.Key{Type: t, Name: name}, Revision: revision, Delete: true}
}

func meta(name string, revision uint64) resource.Meta {
	return resource.Meta{Name: name, Revision: revision}
}

func service(name, region string) *resource.Service {
	return &resource.Service{Meta: meta(name, 0), HomeRegion: region, Floor: 1}
}

func group(name, region string) *resource.Group {
	return &resource.Group{Meta: meta(name, 0), HomeRegion: region, Epoch: 1}
}

func rank(name string, share float64) *resource.Rank {
	return &resource.Rank{Meta: meta(name, 0), Share: share}
}

func kind(name, service, rank string) *resource.RequestKind {
	return &resource.RequestKind{Meta: meta(name, 0), Service: service, Rank: rank, Method: "GET", Path: "/",
		DeadlineMs: 1, LatencyObjectiveMs: 1, AvailabilityObjective: 0.9}
}

func caller(name string, revision uint64, weight int) *resource.Caller {
	return &resource.Caller{Meta: meta(name, revision), Weight: weight}
}

// Guards against a write over a revision that is not current and still succeeds, and against a
// conflict that does not hold the current object.
func TestWriteOverStaleRevisionConflicts(t *testing.T) {
	m := NewMachine()
	assert.Equal(t, apply(t, m, putCommand(t, caller("a", 0, 1))).Code, CodeOK)
	assert.Equal(t, apply(t, m, putCommand(t, caller("a", 1, 2))).Code, CodeOK)
	for _, revision := range []uint64{0, 1, 3} {
		r := apply(t, m, putCommand(t, caller("a", revision, 3)))
		assert.Equal(t, r.Code, CodeConflict)
		current, err := r.Conflicts[0].Current.Decode()
		assert.NilError(t, err)
		assert.DeepEqual(t, current, &resource.Caller{Meta: resource.Meta{Name: "a", Generation: 2, Revision: 2}, Weight: 2})
	}
	assert.Equal(t, m.Version().Revision, uint64(2))
}

// Guards against a resend that is applied twice, and against a snapshot that loses remembered
// results.
func TestResendReturnsTheFirstResultAfterRestore(t *testing.T) {
	m := NewMachine()
	first := putCommand(t, caller("a", 0, 1))
	first.ChangeID, first.At = "one", 10
	refused := putCommand(t, caller("a", 7, 1))
	refused.ChangeID, refused.At = "two", 11
	want := []*Result{apply(t, m, first), apply(t, m, refused)}
	apply(t, m, &Command{Op: OpWrite, Writes: []Write{deleteWrite(1, resource.TypeCaller, "a")}})

	b, err := m.Snapshot()
	assert.NilError(t, err)
	restored := NewMachine()
	assert.NilError(t, restored.Restore(b))
	for _, machine := range []*Machine{m, restored} {
		first.At = 99
		assert.DeepEqual(t, []*Result{apply(t, machine, first), apply(t, machine, refused)}, want)
		assert.Assert(t, machine.Get(resource.Key{Type: resource.TypeCaller, Name: "a"}) == nil)
		other := putCommand(t, caller("b", 0, 1))
		other.ChangeID = "one"
		assert.Equal(t, apply(t, machine, other).Code, CodeChangeIDReused)
	}
}

// Guards against remembered changes that are kept beyond MaxRememberedChangeAgeSeconds or
// MaxRememberedChanges.
func TestChangesAreForgottenByAgeAndCount(t *testing.T) {
	m := NewMachine()
	send := func(id string, at int64) *Result {
		c := putCommand(t, caller("a", 0, 1))
		c.ChangeID, c.At = id, at
		return apply(t, m, c)
	}
	assert.Equal(t, send("old", 0).Code, CodeOK)
	assert.Equal(t, send("old", MaxRememberedChangeAgeSeconds).Code, CodeOK)
	assert.Equal(t, send("old", MaxRememberedChangeAgeSeconds+1).Code, CodeConflict)
	for i := range MaxRememberedChanges + 10 {
		send(fmt.Sprint(i), MaxRememberedChangeAgeSeconds+1)
	}
	assert.Equal(t, len(m.rememberedChanges.queue), MaxRememberedChanges)
	assert.Equal(t, len(m.rememberedChanges.byID), MaxRememberedChanges)
}

// Guards against dangling references that one change or several changes leave behind.
func TestDanglingReferencesAreRefused(t *testing.T) {
	m := NewMachine()
	r := apply(t, m, putCommand(t, kind("k", "s", "r"), &resource.Route{Meta: meta("x", 0), Host: "*", PathPrefix: "/", Service: "s"}))
	assert.Equal(t, r.Code, CodeInvalid)
	assert.Equal(t, len(r.Faults), 3)

	// One change may write both ends of a reference, in any order.
	assert.Equal(t, apply(t, m, putCommand(t, kind("k", "s", "r"), service("s", ""), rank("r", 1))).Code, CodeOK)
	r = apply(t, m, &Command{Op: OpWrite, Writes: []Write{deleteWrite(1, resource.TypeService, "s"), deleteWrite(1, resource.TypeRank, "r")}})
	assert.Equal(t, r.Code, CodeInvalid)
	assert.DeepEqual(t, r.Faults, []resource.FieldError{
		{Key: resource.Key{Type: resource.TypeService, Name: "s"}, Field: "name", Fault: "is in use by kinds/k"},
		{Key: resource.Key{Type: resource.TypeRank, Name: "r"}, Field: "name", Fault: "is in use by kinds/k"},
	})
	all := []Write{deleteWrite(1, resource.TypeService, "s"), deleteWrite(1, resource.TypeRank, "r"), deleteWrite(1, resource.TypeKind, "k")}
	assert.Equal(t, apply(t, m, &Command{Op: OpWrite, Writes: all}).Code, CodeOK)
	assert.Equal(t, m.Count(resource.TypeKind), 0)
}

// Guards against a refusal that lists only the first of several faults, and against a batch that is
// applied in part.
func TestEveryFaultIsListedAndNothingIsApplied(t *testing.T) {
	m := NewMachine()
	r := apply(t, m, putCommand(t, caller("good", 0, 1), rank("a", 0.6), rank("b", 0.6), kind("Bad", "none", "a"),
		caller("c", 0, 0), caller("c", 0, 1), caller("d", 5, 1)))
	assert.Equal(t, r.Code, CodeConflict)
	assert.Equal(t, r.Conflicts[0].Key.Name, "d")
	got := map[string]bool{}
	for _, f := range r.Faults {
		got[f.Key.String()+" "+f.Field] = true
	}
	for _, want := range []string{"kinds/Bad name", "kinds/Bad service", "callers/c weight", "callers/c name", "ranks/a share"} {
		assert.Assert(t, got[want], "no fault for %s in %v", want, r.Faults)
	}
	assert.Equal(t, m.Version(), resource.Version{Epoch: 1})
	assert.Equal(t, m.Count(resource.TypeCaller), 0)
}

// Guards against a service that changes its group, which would lose its claims, and against services
// that are all assigned to the same group.
func TestServiceGetsLeastUsedGroupOnce(t *testing.T) {
	m := NewMachine()
	apply(t, m, putCommand(t, group("g1", "north"), group("g2", "north"), group("g3", "south")))
	r := apply(t, m, putCommand(t, service("a", "north"), service("b", "north"), service("c", "north"), service("d", "south"), service("e", "west")))
	groups := []string{}
	for _, w := range r.SystemFields {
		groups = append(groups, w.Group)
	}
	assert.DeepEqual(t, groups, []string{"g1", "g2", "g1", "g3", ""})

	b := service("b", "north")
	b.Revision = 2
	b.Group = "g1"
	assert.Equal(t, apply(t, m, putCommand(t, b)).Code, CodeInvalid)
	b.Group, b.HomeRegion = "", "south"
	assert.Equal(t, apply(t, m, putCommand(t, b)).SystemFields[0].Group, "g2")

	// A service that is created again gets its former group, which holds its claims.
	apply(t, m, &Command{Op: OpWrite, Writes: []Write{deleteWrite(3, resource.TypeService, "b")}})
	assert.Equal(t, apply(t, m, putCommand(t, service("b", "south"))).SystemFields[0].Group, "g2")
}

// Guards against replicas that diverge through map iteration order or an incomplete snapshot.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewMachine(), NewMachine()
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			c := drawCommand(t, a)
			assert.DeepEqual(t, apply(t, a, c), apply(t, b, c))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				state, err := b.Snapshot()
				assert.NilError(t, err)
				b = NewMachine()
				assert.NilError(t, b.Restore(state))
			}
		}
		assert.DeepEqual(t, a.index.referrers, b.index.referrers)
		assert.DeepEqual(t, a.index.names, b.index.names)
		stateA, err := a.Snapshot()
		assert.NilError(t, err)
		stateB, err := b.Snapshot()
		assert.NilError(t, err)
		assert.DeepEqual(t, stateA, stateB)
	})
}

func drawCommand(t *rapid.T, m *Machine) *Command {
	c := &Command{Op: OpWrite, At: rapid.Int64Range(0, 2*MaxRememberedChangeAgeSeconds).Draw(t, "at")}
	c.ChangeID = rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(t, "change id")
	switch rapid.IntRange(0, 9).Draw(t, "op") {
	case 0:
		return &Command{Op: OpRaiseEpoch, Epoch: rapid.Uint64Range(1, 5).Draw(t, "epoch")}
	case 1:
		return &Command{Op: OpPutMember, Member: Member{ID: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "member")}}
	}
	for range rapid.IntRange(1, 4).Draw(t, "writes") {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		other := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "other")
		o := rapid.SampledFrom([]resource.Object{group(name, "north"), rank(name, 0.5), service(name, "north"), kind(name, other, other), caller(name, 0, 1)}).Draw(t, "object").Clone()
		if current := m.Get(resource.KeyOf(o)); current != nil {
			o.Metadata().Revision = current.Metadata().Revision
		}
		w, err := PutWrite(o)
		assert.NilError(t, err)
		w.Delete = o.Metadata().Revision > 0 && rapid.Bool().Draw(t, "delete")
		c.Writes = append(c.Writes, w)
	}
	return c
}
