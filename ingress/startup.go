package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/board"
)

const (
	// startupGrace is how long after its start a node without a configuration holds requests. When
	// the whole fleet starts, control elects a leader and distributes the configuration within one
	// second. A node without one after twice that time is cut off from control, and refuses requests
	// at once.
	startupGrace = 2 * time.Second
	// maxStartupShare is the share of the caller's timeout for which a request is held at most.
	maxStartupShare = 0.5
)

// awaitConfig returns the view for a new request. While the node is starting, it waits for the
// first configuration. A caller refused at that time would be told to retry after a second, and
// most requests can be served sooner.
func (in *Ingress) awaitConfig(r *http.Request, began time.Time) *board.View {
	v := in.cfg.View()
	if v.Config != nil {
		return v
	}
	limit := in.started.Add(startupGrace).Sub(began)
	if timeout, err := in.cfg.CallerProtocol.timeout(r.Header); err == nil && timeout > 0 {
		limit = min(limit, time.Duration(maxStartupShare*float64(timeout)))
	}
	if limit <= 0 {
		return v
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	defer context.AfterFunc(in.interruptCtx, cancel)()
	for v.Config == nil && ctx.Err() == nil {
		select {
		case <-v.Replaced:
			v = in.cfg.View()
		case <-ctx.Done():
		}
	}
	return v
}
