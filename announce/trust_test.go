package announce

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
)

// fakeServices is a configuration with services; nil: none is known.
type fakeServices struct {
	names       []string
	subscribers []func()
}

func (f *fakeServices) Configured(service string) (configured, known bool) {
	return slices.Contains(f.names, service), f.names != nil
}

func (f *fakeServices) Subscribe(s func()) { f.subscribers = append(f.subscribers, s) }

func (f *fakeServices) set(names ...string) {
	f.names = append([]string{}, names...)
	for _, s := range f.subscribers {
		s()
	}
}

const testLease = 6 * time.Second

func testAnnouncement(id, service string, startMs int64, sequence uint64) Announcement {
	return Announcement{ID: fleet.UpstreamID(id), Service: service, Addr: "x", StartMs: startMs, Sequence: sequence, LeaseMs: testLease.Milliseconds()}
}

// Guards against an announcement from another writer that takes the upstream of the VM out of service: it names a service that is not
// configured, or that of another VM, with the address or the id of the upstream and a later start.
func TestStrayServiceTakesNothingFromUpstream(t *testing.T) {
	for _, service := range []string{"unknown", "cart"} {
		for _, id := range []string{"a", "b"} {
			for _, first := range []bool{false, true} {
				for _, draining := range []bool{false, true} {
					name := fmt.Sprintf("service %s, id %s, first %t, draining %t", service, id, first, draining)
					stray := testAnnouncement(id, service, 2000, math.MaxUint64)
					stray.Draining = draining
					recalled := make(chan struct{})
					close(recalled)
					r, f := &sinkRecorder{}, &fakeDepartures{recalled: recalled}
					o := NewOrdered(r, f, VM{Service: "shop", Services: &fakeServices{names: []string{"shop", "cart"}}}, logging.Discard())
					if first {
						assert.NilError(t, o.Announce(stray))
					}
					assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 1)))
					if !first {
						assert.NilError(t, o.Announce(stray))
						assert.Assert(t, slices.Equal(r.recorded(), []string{"a"}), name)
					}
					r.reset()
					assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 2)))
					assert.Assert(t, slices.Equal(r.recorded(), []string{"a"}), name)
					if service == "unknown" {
						assert.Equal(t, len(f.kept), 0, name)
					}
				}
			}
		}
	}
}

// Guards against an upstream that stays out of use since it announced itself before its service was configured, and against
// one that has gone meanwhile and is in use then.
func TestUpstreamServesOnceItsServiceIsConfigured(t *testing.T) {
	for name, known := range map[string][]string{"no configuration": nil, "another configuration": {"cart"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, services := &sinkRecorder{}, &fakeServices{names: known}
				o := NewOrdered(r, NoDepartures{}, VM{Services: services}, logging.Discard())
				gone := testAnnouncement("b", "shop", 900, 1)
				gone.Addr = "y"
				assert.NilError(t, o.Announce(gone))
				time.Sleep(testLease)
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 2)))
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 1))) // late
				time.Sleep(time.Second)
				assert.Equal(t, len(r.recorded()), 0)
				services.set("cart", "shop")
				assert.DeepEqual(t, r.recorded(), []string{"a"})
				services.set("cart") // a service that is removed takes nothing from the upstream
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 3)))
				assert.DeepEqual(t, r.recorded(), []string{"a", "a"})
			})
		})
	}
}

// Guards against a node without a configuration, at its start, that keeps the upstream of its VM out of use.
func TestServiceOfVMNeedsNoConfiguration(t *testing.T) {
	r := &sinkRecorder{}
	o := NewOrdered(r, NoDepartures{}, VM{Service: "shop", Services: &fakeServices{}}, logging.Discard())
	assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 1)))
	assert.DeepEqual(t, r.recorded(), []string{"a"})
}

// Guards against a promise that is forgotten: nobody keeps the end of an upstream whose service may be configured.
func TestEndWithoutConfigurationIsNotAcknowledged(t *testing.T) {
	services := &fakeServices{}
	o := NewOrdered(&sinkRecorder{}, NoDepartures{}, VM{Services: services}, logging.Discard())
	draining := testAnnouncement("a", "shop", 1000, 1)
	draining.Draining = true
	assert.ErrorContains(t, o.Announce(draining), "no configuration is known")
	services.set("shop")
	draining.Sequence++
	assert.NilError(t, o.Announce(draining))
}

// Guards against one announcement that keeps an upstream out of use for minutes: it names the same service and a later start, or the
// highest sequence number, and nothing follows it.
func TestUpstreamIsBackAfterLeaseOfStrayAnnouncement(t *testing.T) {
	for name, stray := range map[string]Announcement{
		"another id": testAnnouncement("b", "shop", 2000, 1),
		"later":      testAnnouncement("a", "shop", 2000, 1),
		"sequence":   testAnnouncement("a", "shop", 1000, math.MaxUint64),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &sinkRecorder{}
				o := NewOrdered(r, NoDepartures{}, VM{Service: "shop"}, logging.Discard())
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 1)))
				assert.NilError(t, o.Announce(stray))
				r.reset()
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 2)))
				assert.Equal(t, len(r.recorded()), 0, "the later one is not in use")
				time.Sleep(testLease + time.Millisecond)
				assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 6)))
				calls := r.recorded()
				assert.Assert(t, len(calls) > 0 && calls[len(calls)-1] == "a", "%v", calls)
			})
		})
	}
}

// Guards against an end that a late announcement takes back once the lease of the last one has ended.
func TestDrainingUpstreamStaysOutAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &sinkRecorder{}
		o := NewOrdered(r, NoDepartures{}, VM{Service: "shop"}, logging.Discard())
		draining := testAnnouncement("a", "shop", 2000, 5)
		draining.Draining = true
		assert.NilError(t, o.Announce(draining))
		time.Sleep(testLease + time.Second)
		r.reset()
		assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 2000, 4)))
		assert.NilError(t, o.Announce(testAnnouncement("a", "shop", 1000, 9)))
		assert.Equal(t, len(r.recorded()), 0)
	})
}
