package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// watchInterval is the time between two looks at a node's version.
const watchInterval = 50 * time.Millisecond

// view returns what a node knows of the fleet.
func (n *fleetNode) view() (*nodeView, error) {
	_, body, err := get("http://" + n.addr(portDebug) + "/v1/view")
	if err != nil {
		return nil, err
	}
	v := new(nodeView)
	if err := json.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("view of %s: %w", n.name, err)
	}
	return v, nil
}

// version returns the configuration version in force at a node. The zero
// version stands for none.
func (n *fleetNode) version() (resource.Version, error) {
	v, err := n.view()
	if err != nil {
		return resource.Version{}, err
	}
	return v.version()
}

// waitApplied waits until all running nodes have the last written version. The
// bound counts from the call, that is from the answer to the write.
func (w *world) waitApplied(text string) error {
	bound, err := time.ParseDuration(text)
	if err != nil {
		return misused("bound %q: %v", text, err)
	}
	end := time.Now().Add(bound)
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		err := waitUntil(time.Until(end), func() error {
			v, err := n.version()
			if err == nil && v.Less(w.control.applied) {
				err = fmt.Errorf("%s has configuration %s, %s was applied", n.name, v, w.control.applied)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// makeChanges writes n changes of the weight of one caller.
func (w *world) makeChanges(text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return misused("%q is no number of changes", text)
	}
	for i := range n {
		change := fmt.Sprintf(`[{"type": "callers", "name": "changing", "weight": %d}]`, 1+i%1000)
		if err := w.applyConfig(change); err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
	}
	return nil
}

// versionWatch looks for nodes that go back to an older configuration. A node
// that restarts may have none for a while, but no older one afterwards.
type versionWatch struct {
	mu       sync.Mutex
	newest   map[string]resource.Version
	reverted []string
	samples  int
	// ejected is the most upstreams of each service that one view has shown as
	// ejected.
	ejected map[string]int
}

func countEjected(list []viewUpstream) (n int) {
	for _, u := range list {
		if u.Ejected {
			n++
		}
	}
	return n
}

// checkEjected checks that no view has shown more ejected upstreams of a
// service.
func (v *versionWatch) checkEjected(service, text string) error {
	if v == nil {
		return misused("fleet watch comes first")
	}
	limit, err := strconv.Atoi(text)
	if err != nil {
		return misused("%q is no number of upstreams", text)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.ejected[service]; n > limit {
		return fmt.Errorf("%d upstreams of %s were ejected at the same time, %d allowed", n, service, limit)
	}
	return nil
}

func newVersionWatch(w *world) *versionWatch {
	v := &versionWatch{newest: map[string]resource.Version{}, ejected: map[string]int{}}
	go func() {
		for {
			select {
			case <-w.closing:
				return
			case <-time.After(watchInterval):
			}
			w.mu.Lock()
			nodes := append([]*fleetNode(nil), w.fleet.nodes...)
			w.mu.Unlock()
			for _, n := range nodes {
				v.sample(n)
			}
		}
	}()
	return v
}

func (v *versionWatch) sample(n *fleetNode) {
	view, err := n.view()
	if err != nil {
		return
	}
	got, err := view.version()
	if err != nil || got == (resource.Version{}) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.samples++
	for service, list := range view.Upstreams {
		v.ejected[service] = max(v.ejected[service], countEjected(list))
	}
	if newest := v.newest[n.name]; got.Less(newest) {
		v.reverted = append(v.reverted, fmt.Sprintf("%s went back from %s to %s", n.name, newest, got))
		return
	}
	v.newest[n.name] = got
}

func (v *versionWatch) verdict() error {
	if v == nil {
		return misused("fleet watch comes first")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.samples == 0 {
		return fmt.Errorf("no version was seen")
	}
	return offenders(v.reverted, "times a node went back to an older configuration")
}
