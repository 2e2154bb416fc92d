package distribute

import (
	"sync"
	"sync/atomic"

	"github.com/godwithub/godwithub/resource"
)

// Holder holds the newest configuration that its process has received. All methods are safe for
// concurrent use.
type Holder struct {
	current atomic.Pointer[resource.Set]

	mu          sync.Mutex // held while the set is replaced
	subscribers []func(*resource.Set)
	changed     chan struct{}
}

// NewHolder returns a holder of the empty configuration at version 0.0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(resource.NewSet(resource.Version{}))
	return h
}

// Current returns the current configuration. It must not be modified.
func (h *Holder) Current() *resource.Set { return h.current.Load() }

// Version returns the version of the current configuration.
func (h *Holder) Version() resource.Version { return h.Current().Version() }

// Offer applies d if it leads to a higher version. Otherwise it returns resource.ErrStale, or
// resource.ErrGap if d starts after the current version. When it returns nil, all subscribers have
// been called.
func (h *Holder) Offer(d resource.Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.current.Load().Apply(d)
	if err != nil {
		return err
	}
	h.current.Store(next)
	close(h.changed)
	h.changed = make(chan struct{})
	for _, f := range h.subscribers {
		f(next)
	}
	return nil
}

// Subscribe calls f with each new configuration from now on, in order. f must return quickly and must
// not call Offer or Subscribe.
func (h *Holder) Subscribe(f func(*resource.Set)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, f)
}

// currentAndChange returns the current configuration and a channel that is closed at the next change.
func (h *Holder) currentAndChange() (*resource.Set, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}
