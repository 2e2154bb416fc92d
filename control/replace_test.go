package control

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/resource"
)

func testDocument(id string, base, version uint64, routes ...*resource.Route) *Document {
	d := &Document{ChangeID: id, Base: base, Version: version, Objects: []resource.Object{
		&resource.Limits{Meta: resource.Meta{Name: resource.LimitsName}, MaxBodyBytes: 100},
		&resource.Rank{Meta: resource.Meta{Name: "p0"}},
		&resource.Service{Meta: resource.Meta{Name: "shop"}, Floor: 1},
		&resource.Service{Meta: resource.Meta{Name: "pay"}, Floor: 1},
	}}
	for _, r := range routes {
		r.Policy = &resource.RoutePolicy{Rank: "p0", DeadlineMs: 1000}
		d.Objects = append(d.Objects, r)
	}
	return d
}

func testRoute(name, service string) *resource.Route {
	return &resource.Route{Meta: resource.Meta{Name: name}, Host: "a.example", PathPrefix: "/" + name + "/", Service: service}
}

// Guards against a document that is accepted over a version other than its base, refused when it is
// sent again, or applied in part.
func TestReplace(t *testing.T) {
	m := NewMachine()
	r, err := NewLocal(m, nil, "c", "")
	assert.NilError(t, err)
	replace := func(d *Document) Code {
		result, err := Replace(context.Background(), m, r, d)
		assert.NilError(t, err)
		return result.Code
	}
	first := testDocument("d1", 0, 5, testRoute("a", "shop"), testRoute("b", "shop"))
	assert.Equal(t, replace(first), CodeOK)
	second := testDocument("d2", 5, 9, testRoute("a", "pay"))
	assert.Equal(t, replace(second), CodeOK)
	assert.Equal(t, replace(testDocument("d3", 5, 10, testRoute("c", "shop"))), CodeConflict)
	assert.Equal(t, replace(testDocument("d4", 9, 9, testRoute("c", "shop"))), CodeInvalid)
	assert.Equal(t, replace(testDocument("d5", 9, 11, testRoute("c", "gone"))), CodeInvalid)
	assert.Equal(t, replace(testDocument("d6", 9, 11, testRoute("c", "shop"), testRoute("c", "pay"))), CodeInvalid)
	assert.Equal(t, replace(first), CodeOK)
	assert.Equal(t, replace(second), CodeOK)

	version, objects := m.CurrentDocument()
	assert.Equal(t, version, uint64(9))
	routes := 0
	for _, o := range objects {
		if route, ok := o.(*resource.Route); ok {
			routes++
			assert.Equal(t, route.Service, "pay")
		}
	}
	assert.Equal(t, routes, 1)
	unchanged := m.Version()
	assert.Equal(t, replace(testDocument("d7", 9, 12, testRoute("a", "pay"))), CodeOK)
	assert.Equal(t, m.Version(), unchanged)

	b, err := m.Snapshot()
	assert.NilError(t, err)
	restored := NewMachine()
	assert.NilError(t, restored.Restore(b))
	version, _ = restored.CurrentDocument()
	assert.Equal(t, version, uint64(12))
	other, err := NewLocal(restored, nil, "c", "")
	assert.NilError(t, err)
	result, err := Replace(context.Background(), restored, other, first)
	assert.NilError(t, err)
	assert.Equal(t, result.Code, CodeOK)
}
