package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/outcome"
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
	if isConfigured(v) || in.inFlight.isClosed() {
		return v
	}
	limit := in.started.Add(startupGrace).Sub(began)
	if limit <= 0 {
		return v
	}
	ctx, cancel := in.holdContext(r, limit, maxStartupShare)
	defer cancel()
	for !isConfigured(v) && ctx.Err() == nil {
		select {
		case <-v.Replaced:
			v = in.cfg.View()
		case <-ctx.Done():
		}
	}
	return v
}

// isConfigured reports whether the node has a configuration that operators have written. Control starts
// with an empty one, and a request that finds no route in that is not known to be wrong.
func isConfigured(v *board.View) bool { return v.Config != nil && v.Config.HasRoutes() }

const (
	// maxConfirmTime bounds the wait for a newer configuration before a request is refused. Control
	// answers within a round trip between regions, and a pull takes about as long.
	maxConfirmTime = 500 * time.Millisecond
	// maxConfirmShare is the share of the caller's timeout for which such a request is held at most.
	maxConfirmShare = 0.25
)

// mayBeNewer reports whether err is a refusal that a newer configuration may make unnecessary.
func mayBeNewer(err error) bool {
	var r *refusal
	if !errors.As(err, &r) {
		return false
	}
	return r.reason == outcome.ReasonNoRoute || r.reason == outcome.ReasonNoKind || r.reason == outcome.ReasonUnknownKey
}

// confirmConfig returns a later view than v if there is a newer configuration, and otherwise v. Nodes
// learn of changes one after the other, and a caller may use a new route before this node knows it. confirmed says
// that the returned view is known to have the newest configuration.
func (in *Ingress) confirmConfig(v *board.View, r *http.Request) (latest *board.View, confirmed bool) {
	if in.cfg.ConfirmConfig == nil {
		return v, true
	}
	ctx, cancel := in.holdContext(r, maxConfirmTime, maxConfirmShare)
	defer cancel()
	newest, confirmed := in.cfg.ConfirmConfig(ctx)
	for v.Config.Version.Less(newest) && ctx.Err() == nil {
		select {
		case <-v.Replaced:
			v = in.cfg.View()
		case <-ctx.Done():
		}
	}
	return v, confirmed && !v.Config.Version.Less(newest)
}

// holdContext returns a context for holding a request that is not routed yet. It ends after limit, or
// after the given share of the time that its caller waits.
func (in *Ingress) holdContext(r *http.Request, limit time.Duration, share float64) (context.Context, context.CancelFunc) {
	if timeout, err := in.cfg.CallerProtocol.timeout(r.Header); err == nil && timeout > 0 {
		limit = min(limit, time.Duration(share*float64(timeout)))
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	stop := context.AfterFunc(in.interruptCtx, cancel)
	return ctx, func() { stop(); cancel() }
}
