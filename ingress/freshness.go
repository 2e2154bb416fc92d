package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/resource"
)

// Freshness tells whether a configuration is recent enough to serve requests with keys from it: a key that it has
// may have been taken away.
type Freshness interface {
	// Fresh reports whether the configuration of version v is recent enough now.
	Fresh(v resource.Version) bool
	// ProofsChanged returns a channel that is closed once Fresh may have become true.
	ProofsChanged() <-chan struct{}
}

// isFresh reports whether requests with keys may be served from the configuration of v.
func (in *Ingress) isFresh(v *board.View) bool {
	return in.cfg.Freshness == nil || in.cfg.Freshness.Fresh(v.Config.Version)
}

// parseWithNewest parses a request by the view v or, if that may be too old, by a newer one, which it returns.
func (in *Ingress) parseWithNewest(v *board.View, r *http.Request, began time.Time) (*board.View, *request, error) {
	rq, err := in.parse(v, r, began)
	if err == nil && rq.customer != nil && !in.isFresh(v) {
		v = in.awaitFresh(v, r)
		rq, err = in.parse(v, r, began)
	}
	confirmed := true
	if mayBeNewer(err) {
		var newer *board.View
		if newer, confirmed = in.confirmConfig(v, r); newer != v {
			v = newer
			rq, err = in.parse(v, r, began)
		}
	}
	if needsFresh := err == nil && rq.customer != nil || isUnknownKey(err); needsFresh && !in.isFresh(v) {
		return v, rq, in.refuseNotFresh()
	}
	if isUnknownKey(err) && !confirmed {
		return v, rq, in.refuseNotFresh()
	}
	return v, rq, err
}

// isUnknownKey reports whether err refuses a request for want of a valid key.
func isUnknownKey(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.reason == outcome.ReasonUnknownKey
}

func (in *Ingress) refuseNotFresh() error {
	in.stats.notFresh.Add(1)
	return notFresh()
}

func notFresh() error {
	return refuse(outcome.ReasonNotFresh, "the node does not know whether its configuration is current")
}

// awaitFresh waits for a short time until the configuration is known to be recent enough, and returns the latest
// view.
func (in *Ingress) awaitFresh(v *board.View, r *http.Request) *board.View {
	ctx, cancel := in.holdContext(r, maxConfirmTime, maxConfirmShare)
	defer cancel()
	for ctx.Err() == nil {
		changed := in.cfg.Freshness.ProofsChanged()
		if v = in.cfg.View(); in.isFresh(v) {
			break
		}
		select {
		case <-changed:
		case <-v.Replaced:
		case <-ctx.Done():
		}
	}
	return v
}
