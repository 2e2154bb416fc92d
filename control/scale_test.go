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
		assert.Equal(b, apply(b, m, putCommand(b, objects[:n]...)).Code, CodeOK)
		objects = objects[n:]
	}
	return m
}

// Measures one write at the target scale and in a configuration of one object. A difference shows
// that the cost of a write grows with the configuration.
func BenchmarkWrite(b *testing.B) {
	small := NewMachine()
	apply(b, small, putCommand(b, caller("caller-0", 0, 1)))
	for _, size := range []struct {
		name string
		m    *Machine
	}{{"one-object", small}, {"target-scale", scaleMachine(b)}} {
		b.Run("replace/"+size.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				current := size.m.Get(resource.Key{Type: resource.TypeCaller, Name: "caller-0"})
				c := putCommand(b, caller("caller-0", current.Metadata().Revision, i%1000+1))
				if r := apply(b, size.m, c); r.Code != CodeOK {
					b.Fatal(r)
				}
			}
		})
		b.Run("create-and-delete/"+size.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				apply(b, size.m, putCommand(b, caller("a", 0, 1)))
				apply(b, size.m, &Command{Op: OpWrite, Writes: []Write{deleteWrite(size.m.Version().Revision, resource.TypeCaller, "a")}})
			}
		})
	}
}

func scaleSnapshot(b *testing.B) []byte {
	state, err := scaleMachine(b).Snapshot()
	assert.NilError(b, err)
	return state
}

// Measures the time to restore a snapshot at the target scale, its size, and the heap that the
// restored state takes.
func BenchmarkRestart(b *testing.B) {
	state := scaleSnapshot(b)
	var m *Machine
	b.ResetTimer()
	for range b.N {
		m = NewMachine()
		assert.NilError(b, m.Restore(state))
	}
	b.StopTimer()
	withMachine := heapBytes()
	runtime.KeepAlive(m)
	m = nil
	b.ReportMetric(float64(withMachine-heapBytes())/1e6, "heap-MB")
	b.ReportMetric(float64(len(state))/1e6, "snapshot-MB")
}

func heapBytes() int64 {
	// sync.Pool releases its buffers only in the second collection.
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
		apply(b, m, putCommand(b, caller(fmt.Sprintf("new-%d", b.N), 0, 1)))
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
			apply(b, m, putCommand(b, caller(fmt.Sprintf("c-%d-%d", b.N, i), 0, 1)))
			_, err := m.Config()
			assert.NilError(b, err)
		}
	})
}

// Measures a write that is synced to the journal.
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

// Measures staging the largest batch of services without a group, each of which is assigned one.
func BenchmarkServiceBatch(b *testing.B) {
	m := scaleMachine(b)
	objects := make([]resource.Object, MaxWrites)
	for i := range objects {
		objects[i] = service(fmt.Sprintf("batch-%d", i), "north")
	}
	c := putCommand(b, objects...)
	b.ResetTimer()
	for range b.N {
		assert.Equal(b, m.DryRun(c.Writes).Code, CodeOK)
	}
}
