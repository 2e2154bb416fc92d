package controld

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

func testSettings(t *testing.T) (settings Settings, token string) {
	dir := t.TempDir()
	settings = Defaults()
	settings.NodeID, settings.LinkAddr, settings.APIAddr, settings.DebugAddr, settings.GossipAddr = "c1", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.DataDir, settings.KeysDir, settings.TokenFile = filepath.Join(dir, "data"), filepath.Join(dir, "keys"), filepath.Join(dir, "tokens")
	assert.NilError(t, keys.Init(filepath.Join(dir, "ca")))
	assert.NilError(t, keys.Issue(filepath.Join(dir, "ca"), settings.KeysDir, "c1", keys.RoleControl, time.Hour))
	token, err := server.NewToken(settings.TokenFile, "op", server.RoleAdmin)
	assert.NilError(t, err)
	return settings, token
}

// fakeHolder is a control.Holder that reports each version that it is offered.
type fakeHolder struct {
	set     *resource.Set
	offered chan resource.Version
}

func (h *fakeHolder) Version() resource.Version { return h.set.Version() }

func (h *fakeHolder) Offer(d resource.Delta) error {
	next, err := h.set.Apply(d)
	if err != nil {
		return err
	}
	h.set = next
	h.offered <- next.Version()
	return nil
}

// Guards against changes that do not reach the distribution, against link streams without a handler,
// and against a shutdown that waits for watches or leaves the data folder locked.
func TestDaemon(t *testing.T) {
	settings, token := testSettings(t)
	h := &fakeHolder{resource.NewSet(resource.Version{}), make(chan resource.Version, 10)}
	options := Options{Holder: h, Register: func(p Parts) error {
		p.Mux.Handle(wire.FrameConfigWatch, func(_ context.Context, s link.Stream, _ link.Frame) {
			s.WriteFrame(wire.FrameConfigDelta, []byte(s.PeerName()))
			s.Close()
		})
		return nil
	}}
	d, err := New(settings, logging.Discard(), options)
	assert.NilError(t, err)
	_, err = New(settings, logging.Discard(), Options{})
	assert.ErrorContains(t, err, "in use by another process")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()

	assert.Equal(t, <-h.offered, resource.Version{Epoch: 1})
	r, err := control.Put(ctx, d.replication, &resource.Caller{Meta: resource.Meta{Name: "a"}, Weight: 1})
	assert.NilError(t, err)
	assert.Equal(t, r.Code, control.CodeOK)
	assert.Equal(t, <-h.offered, r.Version)

	ring, err := keys.Load(settings.KeysDir)
	assert.NilError(t, err)
	dialer := tlslink.NewDialer("127.0.0.1", ring.Client(keys.RoleControl))
	defer dialer.Close()
	stream, err := dialer.Open(ctx, d.listener.Addr())
	assert.NilError(t, err)
	assert.NilError(t, stream.WriteFrame(wire.FrameConfigWatch, nil))
	frame, err := stream.ReadFrame()
	assert.NilError(t, err)
	assert.Equal(t, string(frame.Payload), "c1")
	assert.NilError(t, stream.Close())

	resp, err := http.Get("http://" + d.debugLn.Addr().String() + "/healthz")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	resp.Body.Close()

	tlsConfig, err := keys.APIClient(filepath.Join(settings.KeysDir, "ca.crt"))
	assert.NilError(t, err)
	watch := openWatch(t, d.APIAddr(), token, tlsConfig)
	defer watch.Close()
	cancel()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("shutdown waits for an open watch")
	}
	d, err = New(settings, logging.Discard(), Options{})
	assert.NilError(t, err)
	assert.Equal(t, d.Machine().Version(), r.Version)
	assert.NilError(t, d.closeAll())
}

func openWatch(t *testing.T, addr, token string, c *tls.Config) io.ReadCloser {
	r, err := http.NewRequest(http.MethodGet, "https://"+addr+"/v1/watch", nil)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := (&http.Client{Transport: &http.Transport{TLSClientConfig: c}}).Do(r)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, err = resp.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	return resp.Body
}

// Guards against unauthenticated metrics outside of loopback, and against a group of several members
// that silently runs as a single one.
func TestSettingsAreChecked(t *testing.T) {
	settings, _ := testSettings(t)
	assert.ErrorContains(t, settings.Check(), "exactly one")
	settings.Founders = []string{"c1=127.0.0.1:0/127.0.0.1:0"}
	assert.NilError(t, settings.Check())
	bad := settings
	bad.DebugAddr, bad.LinkAddr, bad.APIAddr = "192.0.2.1:1", "0.0.0.0:1", "localhost:1"
	for _, flag := range []string{"debug-addr", "link-addr", "api-addr"} {
		assert.ErrorContains(t, bad.Check(), flag)
	}
	settings.Founders = []string{"c1=127.0.0.1:1/127.0.0.1:2", "c2=127.0.0.1:3/127.0.0.1:4"}
	assert.ErrorContains(t, settings.Check(), "is not among them")
	_, err := New(settings, logging.Discard(), Options{})
	assert.ErrorContains(t, err, "takes no founders")
	settings.Join = true
	assert.ErrorContains(t, settings.Check(), "exactly one")
	settings.Founders, settings.NodeID = nil, "c2"
	_, err = New(settings, logging.Discard(), Options{})
	assert.ErrorContains(t, err, "the certificate is for")
}
