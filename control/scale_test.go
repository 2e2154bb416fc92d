package control

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Sizes of the target scale.
const (
	scaleServices = 520
	scaleRoutes   = 2_200
	scaleCallers  = 53_000
)

func scaleObjects() []resource.Object {
	objects := []resource.Object{rank("urgent", 0.5), rank("browse", 0.3)}
	for i := range 20 {
		objects = append(objects, group(fmt.Sprintf("g%d", i), "north"))
	}
	for i := range scaleServices {
		s := fmt.Sprintf("service-%d", i)
		objects = append(objects, service(s, "north"), kind("kind-"+s, s, "urgent"))
	}
	for i := range scaleRoutes {
		objects = append(objects, &resource.Route{Meta: meta(fmt.Sprintf("route-%d", i), 0), Host: "*",
			PathPrefix: fmt.Sprintf("/%d", i), Service: fmt.Sprintf("service-%d", i%scaleServices)})
	}
	for i := range scaleCallers {
		objects = append(objects, caller(fmt.Sprintf("caller-%d", i), 0, 1))
	}
	return objects
}

func scaleMachine(b *testing.B) *Machine {
	m := NewMachine()
	objects := scaleObjects()
	for len(objects) > 0 {
		n := min(len(objects), MaxWrites)
		assert.Equal(b, apply(b, m, puts(b, objects[:n]...)).Code, CodeOK)
		objects = objects[n:]
	}
	return m
}

// Measures one write at the target scale and in a nearly empty configuration;
// the two show whether a write's cost grows with the configuration.
func BenchmarkWrite(b *testing.B) {
	small := NewMachine()
	apply(b, small, puts(b, caller("caller-0", 0, 1)))
	for _, size := range []struct {
		name string
		m    *Machine
	}{{"one-object", small}, {"target-scale", scaleMachine(b)}} {
		b.Run("replace/"+size.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				current := size.m.Get(resource.Key{Type: resource.TypeCaller, Name: "caller-0"})
				c := puts(b, caller("caller-0", current.Metadata().Revision, i%1000+1))
				if r := apply(b, size.m, c); r.Code != CodeOK {
					b.Fatal(r)
				}
			}
		})
		b.Run("create-and-delete/"+size.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				apply(b, size.m, puts(b, caller("a", 0, 1)))
				apply(b, size.m, &Command{Op: OpWrite, Writes: []Write{del(size.m.Version().Revision, resource.TypeCaller, "a")}})
			}
		})
	}
}

func scaleState(b *testing.B) []byte {
	state, err := scaleMachine(b).Snapshot()
	assert.NilError(b, err)
	return state
}

// Measures what a restart at the target scale takes and what the state holds.
func BenchmarkRestart(b *testing.B) {
	state := scaleState(b)
	var m *Machine
	b.ResetTimer()
	for range b.N {
		m = NewMachine()
		assert.NilError(b, m.Restore(state))
	}
	b.StopTimer()
	held := heap()
	runtime.KeepAlive(m)
	m = nil
	b.ReportMetric(float64(held-heap())/1e6, "heap-MB")
	b.ReportMetric(float64(len(state))/1e6, "snapshot-MB")
}

func heap() int64 {
	// Pools give up their buffers only in the second collection.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Measures the reads whose cost grows with the configuration.
func BenchmarkRead(b *testing.B) {
	m := scaleMachine(b)
	b.Run("snapshot", func(b *testing.B) {
		for range b.N {
			_, err := m.Snapshot()
			assert.NilError(b, err)
		}
	})
	b.Run("delta-of-one", func(b *testing.B) {
		from := m.Version()
		apply(b, m, puts(b, caller(fmt.Sprintf("new-%d", b.N), 0, 1)))
		for range b.N {
			d, err := m.Since(from)
			assert.NilError(b, err)
			assert.Equal(b, len(d.Changed), 1)
		}
	})
	b.Run("changes-full", func(b *testing.B) {
		for range b.N {
			c, err := m.Changes(resource.Version{})
			assert.NilError(b, err)
			assert.Equal(b, len(c.Objects), m.Stats().Objects)
		}
	})
	b.Run("delta-full", func(b *testing.B) {
		for range b.N {
			_, err := m.Since(resource.Version{})
			assert.NilError(b, err)
		}
	})
	b.Run("config-after-change", func(b *testing.B) {
		for i := range b.N {
			apply(b, m, puts(b, caller(fmt.Sprintf("c-%d-%d", b.N, i), 0, 1)))
			_, err := m.Config()
			assert.NilError(b, err)
		}
	})
}

// Measures a write with its synced journal.
func BenchmarkJournal(b *testing.B) {
	j, err := OpenJournal(b.TempDir(), logging.Discard())
	assert.NilError(b, err)
	l, err := NewLocal(scaleMachine(b), j, "one", "")
	assert.NilError(b, err)
	b.ResetTimer()
	for i := range b.N {
		_, err := Put(b.Context(), l, caller(fmt.Sprintf("new-%d", i), 0, 1))
		assert.NilError(b, err)
	}
	assert.NilError(b, l.Close())
}

// Measures the largest batch of services, each of which needs a group.
func BenchmarkServiceBatch(b *testing.B) {
	m := scaleMachine(b)
	objects := make([]resource.Object, MaxWrites)
	for i := range objects {
		objects[i] = service(fmt.Sprintf("batch-%d", i), "north")
	}
	c := puts(b, objects...)
	b.ResetTimer()
	for range b.N {
		assert.Equal(b, m.DryRun(c.Writes).Code, CodeOK)
	}
}
