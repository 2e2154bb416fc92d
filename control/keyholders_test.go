package control

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/godwithub/godwithub/resource"
)

func customer(name string, revision uint64, keys ...string) *resource.Customer {
	return &resource.Customer{Meta: meta(name, revision), Keys: keys}
}

func customerRevision(m *Machine, name string) uint64 {
	if o := m.Get(resource.Key{Type: resource.TypeCustomer, Name: name}); o != nil {
		return o.Metadata().Revision
	}
	return 0
}

// Guards against a key that two customers hold, against a move or swap that is refused, and against an index that
// differs from the configuration after changes, snapshots and restores.
func TestNoTwoCustomersHoldAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		// All customers may be deleted.
		assert.Equal(t, apply(t, m, putCommand(t, keysRequired(true))).Code, CodeOK)
		names := []string{"a", "b", "c"}
		held := map[string][]string{}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := &Command{Op: OpWrite}
			after := map[string][]string{}
			for name, keys := range held {
				after[name] = keys
			}
			for _, name := range names {
				switch rapid.SampledFrom([]string{"keep", "put", "delete"}).Draw(t, name) {
				case "put":
					keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}), 0, 3, rapid.ID).Draw(t, "keys")
					after[name] = keys
					c.Writes = append(c.Writes, putCommand(t, customer(name, customerRevision(m, name), keys...)).Writes...)
				case "delete":
					if _, ok := held[name]; ok {
						delete(after, name)
						c.Writes = append(c.Writes, deleteWrite(customerRevision(m, name), resource.TypeCustomer, name))
					}
				}
			}
			if len(c.Writes) == 0 {
				continue
			}
			holders, valid := map[string]string{}, true
			for name, keys := range after {
				for _, k := range keys {
					valid = valid && holders[k] == ""
					holders[k] = name
				}
			}
			r := apply(t, m, c)
			assert.Equal(t, r.Code == CodeOK, valid, "%v: %v %v", after, r.Code, r.Faults)
			for _, f := range r.Faults {
				assert.Assert(t, !strings.Contains(f.Fault, "k1") && f.Field == "keys", f.Fault)
			}
			if valid {
				held = after
			}
			if rapid.Bool().Draw(t, "restart") {
				b, err := m.Snapshot()
				assert.NilError(t, err)
				m = NewMachine()
				assert.NilError(t, m.Restore(b))
			}
		}
		assert.DeepEqual(t, m.index.keyHolders, newIndex(m.set).keyHolders)
	})
}

func keysRequired(required bool) *resource.Limits {
	return &resource.Limits{Meta: meta(resource.LimitsName, 0), KeysRequired: &required}
}

// Guards against the removal of the last key that makes every key good, as nobody has said so.
func TestLastCustomerIsNotDeletedUnnoticed(t *testing.T) {
	deleteBoth := []Write{deleteWrite(1, resource.TypeCustomer, "a"), deleteWrite(1, resource.TypeCustomer, "b")}
	for name, test := range map[string]struct {
		writes   []Write
		accepted bool
		required bool
	}{
		"one of two":              {deleteBoth[:1], true, true},
		"both":                    {deleteBoth, false, true},
		"both, another comes":     {append(putCommand(t, customer("c", 0, "k")).Writes, deleteBoth...), true, true},
		"both, still required":    {append(putCommand(t, keysRequired(true)).Writes, deleteBoth...), true, true},
		"both, not required":      {append(putCommand(t, keysRequired(false)).Writes, deleteBoth...), true, false},
		"both, limits say naught": {append(putCommand(t, &resource.Limits{Meta: meta(resource.LimitsName, 0)}).Writes, deleteBoth...), false, true},
	} {
		m := NewMachine()
		assert.Equal(t, apply(t, m, putCommand(t, customer("a", 0, "k1"), customer("b", 0, "k2"))).Code, CodeOK)
		r := apply(t, m, &Command{Op: OpWrite, Writes: test.writes})
		assert.Equal(t, r.Code == CodeOK, test.accepted, "%s: %v", name, r.Faults)
		set, err := m.Config()
		assert.NilError(t, err)
		assert.Equal(t, resource.Compile(set).KeysRequired(), test.required, name)
	}
}

// keyHolder holds the configuration that Feed passes on.
type keyHolder struct{ set *resource.Set }

func (h *keyHolder) Version() resource.Version { return h.set.Version() }

func (h *keyHolder) Offer(d resource.Delta) (err error) {
	h.set, err = h.set.Apply(d)
	return err
}

// Guards against keys that control sends to nodes, in a change or in a whole configuration, and against digests of
// keys that were taken away.
func TestNodesGetOnlyDigests(t *testing.T) {
	m := NewMachine()
	assert.Equal(t, apply(t, m, putCommand(t, customer("a", 0, "secret-1", "secret-2"), customer("b", 0, "secret-3"))).Code, CodeOK)
	full, change := &keyHolder{resource.NewSet(resource.Version{})}, &keyHolder{resource.NewSet(resource.Version{})}
	assert.NilError(t, offerDelta(m, change))
	assert.Equal(t, apply(t, m, putCommand(t, customer("a", 1, "secret-2", "secret-3"), customer("b", 1, "secret-1"))).Code, CodeOK)
	for _, h := range []*keyHolder{full, change} {
		assert.NilError(t, offerDelta(m, h))
		d, err := h.set.Since(resource.Version{})
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(fmt.Sprintf("%s", d.Changed), "secret"))
		c := resource.Compile(h.set)
		assert.Equal(t, c.CustomerByKey("secret-1").Name, "b")
		assert.Equal(t, c.CustomerByKey("secret-2").Name, "a")
		assert.Equal(t, c.CustomerByKey("secret-3").Name, "a")
		assert.Assert(t, c.CustomerByKey("secret-4") == nil)
	}
}

// Measures a change of one customer among few and among many. A difference shows that the check of its keys grows
// with the number of customers.
func BenchmarkChangeCustomer(b *testing.B) {
	for _, n := range []int{10, scaleCallers} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := NewMachine()
			for first := 0; first < n; first += MaxWrites {
				var objects []resource.Object
				for i := first; i < min(n, first+MaxWrites); i++ {
					objects = append(objects, customer(fmt.Sprintf("c-%06d", i), 0, fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i)))
				}
				assert.Equal(b, apply(b, m, putCommand(b, objects...)).Code, CodeOK)
			}
			for i := 0; b.Loop(); i++ {
				c := putCommand(b, customer("c-000001", customerRevision(m, "c-000001"), fmt.Sprint("key-", i)))
				if r := apply(b, m, c); r.Code != CodeOK {
					b.Fatal(r)
				}
			}
		})
	}
}
