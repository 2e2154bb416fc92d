package control

import (
	"slices"
	"sync"

	"github.com/godwithub/godwithub/resource"
)

// Version returns the version of the configuration.
func (m *Machine) Version() resource.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.set.Version()
}

// Get returns the object under k, or nil. The caller must not modify it.
func (m *Machine) Get(k resource.Key) resource.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.set.Get(k)
}

// Page is one page of the objects of a type, sorted by name.
type Page struct {
	Version resource.Version
	Objects []resource.Object
	More    bool // there are further objects after this page
}

// List returns up to limit objects of type t whose names sort after the given name.
func (m *Machine) List(t resource.Type, after string, limit int) Page {
	m.mu.RLock()
	defer m.mu.RUnlock()
	names := m.index.names[t]
	i, found := slices.BinarySearch(names, after)
	if found {
		i++
	}
	end := min(i+limit, len(names))
	p := Page{Version: m.set.Version(), More: end < len(names)}
	for _, name := range names[i:end] {
		p.Objects = append(p.Objects, m.set.Get(resource.Key{Type: t, Name: name}))
	}
	return p
}

// Count returns the number of objects of type t.
func (m *Machine) Count(t resource.Type) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.index.names[t])
}

// Since returns the delta from v to the current version. See resource.Set.Since.
func (m *Machine) Since(v resource.Version) (resource.Delta, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.set.Since(v)
}

// Changes holds the objects that changed from one version to a newer one.
type Changes struct {
	// Full means that Objects is the whole configuration.
	Full    bool
	To      resource.Version
	Objects []resource.Object
	Deleted []resource.Tombstone // empty if Full
}

// Changes returns the changes since v. Unlike Since, it does not encode a full configuration, which
// would block commands for about 100 ms at the target scale.
func (m *Machine) Changes(v resource.Version) (*Changes, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c := &Changes{Full: true, To: m.set.Version()}
	if v.Epoch == c.To.Epoch {
		d, err := m.set.Since(v)
		if err != nil {
			return nil, err
		}
		if c.Full = d.Full; !d.Full {
			c.Deleted = d.Deleted
		}
	}
	for o := range m.set.All {
		if c.Full || o.Metadata().Revision > v.Revision {
			c.Objects = append(c.Objects, o)
		}
	}
	return c, nil
}

// Members returns the members of the control group, sorted by id.
func (m *Machine) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.members)
}

// Config returns a copy of the configuration that later commands do not modify. The first call after
// a change scans all objects and copies the map of the set; further calls return the same copy.
func (m *Machine) Config() (*resource.Set, error) {
	m.publishedMu.Lock()
	defer m.publishedMu.Unlock()
	if m.published == nil {
		m.published = resource.NewSet(resource.Version{})
	}
	from := m.published.Version()
	if from == m.Version() {
		return m.published, nil
	}
	d, err := m.Since(from)
	if err != nil {
		return nil, err
	}
	next, err := m.published.Apply(d)
	if err != nil {
		return nil, err
	}
	m.published = next
	return next, nil
}

// Subscribe calls f with the new version after each change of the configuration, in order and on the
// goroutine that applies commands, until cancel is called. f must not block and must not call
// cancel.
func (m *Machine) Subscribe(f func(resource.Version)) (cancel func()) {
	return m.subscribers.add(f)
}

type subscribers struct {
	mu   sync.Mutex
	next int
	byID map[int]func(resource.Version)
}

func (s *subscribers) add(f func(resource.Version)) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[int]func(resource.Version){}
	}
	id := s.next
	s.next++
	s.byID[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byID, id)
	}
}

func (s *subscribers) notify(v resource.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byID {
		f(v)
	}
}
