package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/godwithub/godwithub/resource"
)

// watchInterval is the time between two samples of each node's view.
const watchInterval = 50 * time.Millisecond

// view returns the node's view of the fleet.
func (n *fleetNode) view() (*nodeView, error) {
	_, body, err := get("http://" + n.addr(portDebug) + "/v1/view")
	if err != nil {
		return nil, err
	}
	v := new(nodeView)
	if err := json.Unmarshal(body, v); err != nil {
		return nil, fmt.Errorf("view of node %s: %w", n.name, err)
	}
	return v, nil
}

// version returns the configuration version in force at a node, or the zero version if
// there is none.
func (n *fleetNode) version() (resource.Version, error) {
	v, err := n.view()
	if err != nil {
		return resource.Version{}, err
	}
	return v.version()
}

// waitApplied waits until all running nodes have the configuration version that was
// written last. The timeout counts from the call, which follows the answer to the write.
func (w *workspace) waitApplied(timeoutText string) error {
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	deadline := time.Now().Add(timeout)
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		err := waitUntil(time.Until(deadline), func() error {
			v, err := n.version()
			if err == nil && v.Less(w.control.appliedVersion) {
				err = fmt.Errorf("node %s has configuration %s, but %s was applied", n.name, v, w.control.appliedVersion)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// makeChanges changes the weight of one caller resource n times.
func (w *workspace) makeChanges(countText string) error {
	n, err := strconv.Atoi(countText)
	if err != nil {
		return scriptErrorf("invalid number of changes %q", countText)
	}
	for i := range n {
		change := fmt.Sprintf(`[{"type": "callers", "name": "changing", "weight": %d}]`, 1+i%1000)
		if err := w.applyConfig(change); err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
	}
	return nil
}

// versionWatch samples the views of all nodes and records nodes that go back to an older
// configuration. A node that restarts may have none for a while, but no older one after
// that.
type versionWatch struct {
	mu      sync.Mutex
	newest  map[string]resource.Version
	reverts []string
	samples int
	// ejected is the highest number of ejected upstreams of each service in any view.
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

// checkEjected checks that no view has shown more ejected upstreams of a service than
// allowed.
func (v *versionWatch) checkEjected(service, limitText string) error {
	if v == nil {
		return scriptErrorf("the check needs a preceding fleet watch")
	}
	limit, err := strconv.Atoi(limitText)
	if err != nil {
		return scriptErrorf("invalid number of upstreams %q", limitText)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.ejected[service]; n > limit {
		return fmt.Errorf("%d upstreams of service %s were ejected at the same time, %d are allowed", n, service, limit)
	}
	return nil
}

func newVersionWatch(w *workspace) *versionWatch {
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
		v.reverts = append(v.reverts, fmt.Sprintf("node %s went back from configuration %s to %s", n.name, newest, got))
		return
	}
	v.newest[n.name] = got
}

func (v *versionWatch) checkSteady() error {
	if v == nil {
		return scriptErrorf("the check needs a preceding fleet watch")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.samples == 0 {
		return fmt.Errorf("fleet watch has sampled no configuration version")
	}
	return violationsError(v.reverts, "times a node went back to an older configuration")
}
