package control

import (
	"context"
	"errors"
	"log/slog"

	"github.com/godwithub/godwithub/resource"
)

// Holder holds a copy of the configuration for distribution to nodes.
type Holder interface {
	Version() resource.Version
	// Offer applies d. It returns resource.ErrStale if d is not newer.
	Offer(d resource.Delta) error
}

// Feed keeps h up to date with m until ctx ends.
func Feed(ctx context.Context, m *Machine, h Holder, log *slog.Logger) {
	changed := make(chan struct{}, 1)
	defer m.Subscribe(func(resource.Version) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})()
	for {
		if err := feedOnce(m, h); err != nil {
			log.Error("configuration was not passed on", "version", m.Version().String(), "error", err)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func feedOnce(m *Machine, h Holder) error {
	from := h.Version()
	if !from.Less(m.Version()) {
		return nil
	}
	d, err := m.Since(from)
	if err != nil {
		return err
	}
	// Another source may have brought a newer configuration in the meantime.
	if err := h.Offer(d); err != nil && !errors.Is(err, resource.ErrStale) {
		return err
	}
	return nil
}
