package distribute

import (
	"sync"
	"sync/atomic"

	"github.com/godwithub/godwithub/resource"
)

// Holder keeps the newest configuration that its process has seen. All methods
// are safe for concurrent use.
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

// Current returns the set in force. It must not be modified.
func (h *Holder) Current() *resource.Set { return h.current.Load() }

// Version returns the version of the set in force.
func (h *Holder) Version() resource.Version { return h.Current().Version() }

// Offer applies d if it leads to a higher version. Otherwise it returns
// resource.ErrStale, or resource.ErrGap if d starts after the present version.
// Subscribers have been called when it returns nil.
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

// Subscribe calls f with each set that comes into force from now on, in order.
// f must return soon and must not call Offer or Subscribe.
func (h *Holder) Subscribe(f func(*resource.Set)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, f)
}

// next returns the present set and a channel that is closed at the next change.
func (h *Holder) next() (*resource.Set, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.Load(), h.changed
}
