package control

import (
	"context"
	"errors"
	"log/slog"

	"github.com/godwithub/godwithub/resource"
)

// Holder holds the copy of the configuration that is distributed to nodes.
type Holder interface {
	Version() resource.Version
	// Offer applies d. It returns resource.ErrStale if the holder is at the version of d or above.
	Offer(d resource.Delta) error
}

// Feed passes each change of m's configuration on to h until ctx ends. Customers are redacted: nodes get only
// the digests of their keys.
func Feed(ctx context.Context, m *Machine, h Holder, log *slog.Logger) {
	changed := make(chan struct{}, 1)
	defer m.Subscribe(func(resource.Version) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})()
	for {
		if err := offerDelta(m, h); err != nil {
			log.Error("passing the configuration to the holder failed", "version", m.Version().String(), "error", err)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func offerDelta(m *Machine, h Holder) error {
	from := h.Version()
	if !from.Less(m.Version()) {
		return nil
	}
	d, err := m.Since(from)
	if err == nil {
		err = redact(&d)
	}
	if err != nil {
		return err
	}
	// ErrStale means that h got a newer configuration from another source in the meantime.
	if err := h.Offer(d); err != nil && !errors.Is(err, resource.ErrStale) {
		return err
	}
	return nil
}

// redact replaces the customers of d by their redacted copies.
func redact(d *resource.Delta) error {
	for i, e := range d.Changed {
		if e.Type != resource.TypeCustomer {
			continue
		}
		o, err := e.Decode()
		if err != nil {
			return err
		}
		redacted, err := envelope(o.(*resource.Customer).Redacted())
		if err != nil {
			return err
		}
		d.Changed[i] = *redacted
	}
	return nil
}
