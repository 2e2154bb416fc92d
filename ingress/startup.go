package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/board"
)

const (
	// startupGrace is how long after its start a node holds requests until it has
	// its first configuration. Control elects a leader and hands the configuration
	// out within a second after a start of the whole fleet; a node that has heard
	// of none after twice that time is cut off, and its callers are refused at once.
	startupGrace = 2 * time.Second
	// startupPart is the part of the time that its caller waits for which a
	// request is held.
	startupPart = 0.5
)

// awaitConfig returns the view for a new request. It waits for the first
// configuration while the node is starting: a caller that is refused then would
// have to come back a second later, and most requests can be served sooner.
func (in *Ingress) awaitConfig(r *http.Request, began time.Time) *board.View {
	v := in.cfg.View()
	if v.Config != nil {
		return v
	}
	limit := in.started.Add(startupGrace).Sub(began)
	if timeout, err := in.cfg.Callers.timeout(r.Header); err == nil && timeout > 0 {
		limit = min(limit, time.Duration(startupPart*float64(timeout)))
	}
	if limit <= 0 {
		return v
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	defer context.AfterFunc(in.ending, cancel)()
	for v.Config == nil && ctx.Err() == nil {
		select {
		case <-v.Replaced:
			v = in.cfg.View()
		case <-ctx.Done():
		}
	}
	return v
}
