package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Guards against idempotent requests that are answered with "unknown" while a node restarts: a relay could not reach
// the node and passed nothing on, but the ingress takes its reset for the end of a process that may run the request.
func TestRequestThatNoRelayPassedOnIsNotUnknown(t *testing.T) {
	n := newLinkedNode(t)
	ln, err := tlslink.Listen("127.0.0.1:0", nil)
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	dialer := tlslink.NewDialer("", nil)
	t.Cleanup(func() { dialer.Close() })
	relay := dispatch.New(dispatch.Config{
		Log:           logging.Discard(),
		Dialer:        dialer,
		Configuration: func() *resource.Config { return n.view.Config },
		Observe:       func(dispatch.Observation) {},
		Gone:          func(fleet.UpstreamID, int64) {},
	})
	mux := link.NewMux(logging.Discard())
	relay.Register(mux)
	go mux.Serve(t.Context(), ln)
	n.view.Nodes = []fleet.Node{{ID: "relay", Region: "r", LinkAddr: ln.Addr()}}
	assert.NilError(t, n.start(t, "127.0.0.1:0", true).Close())
	w := n.request()
	assert.Equal(t, w.Code, http.StatusServiceUnavailable, "direct: %s", w.Header().Get(HeaderOutcome))
	w = n.request()
	assert.Equal(t, n.ingress.stats.relays.Value(), int64(1))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable, "relayed: %s", w.Header().Get(HeaderOutcome))
}
