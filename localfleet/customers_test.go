package localfleet

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/resource"
)

const (
	testSubnet      = 93
	revocationBound = 2 * time.Second
)

// logBuffer collects the log of the fleet.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func startWithCustomers(t *testing.T, log *logBuffer) *Fleet {
	logger, err := logging.New(log, logging.Text, "debug")
	assert.NilError(t, err)
	objects := append(Shop(),
		&resource.Route{Meta: resource.Meta{Name: "open"}, Host: "*", PathPrefix: "/open", Service: "shop", Public: true},
		&resource.Customer{Meta: resource.Meta{Name: "acme"}, Keys: []string{"secret-1", "secret-2"}},
		&resource.Customer{Meta: resource.Meta{Name: "bolt"}, Keys: []string{"secret-3"}})
	f, err := Start(t.Context(), Config{
		Dir: t.TempDir(), Subnet: testSubnet, Nodes: 2, LinkTransport: "tls", Log: logger,
		AdjustNode: func(s *node.Settings, o *node.Options) {
			s.RevocationBound = revocationBound
			o.CallerProtocol, o.UpstreamProtocol = ingress.OwnProtocol(), dispatch.OwnProtocol()
			o.CallerProtocol.Credential, o.UpstreamProtocol.Customer = "Customer-Key", "Customer-Name"
		},
	}, objects)
	assert.NilError(t, err)
	return f
}

// status returns the status of a request to node i, and the reason of a refusal.
func status(t *testing.T, f *Fleet, i int, path, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.CallerAddrs[i]+path, nil)
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Customer-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(ingress.HeaderReason)
}

// putKeys replaces the keys of customers in one change.
func putKeys(t *testing.T, f *Fleet, keysByName map[string][]string) {
	t.Helper()
	var writes []apiv1.Write
	for name, keys := range keysByName {
		current, err := f.Client.Get(t.Context(), resource.Key{Type: resource.TypeCustomer, Name: name})
		assert.NilError(t, err)
		next := current.Clone().(*resource.Customer)
		assert.Equal(t, len(next.Keys), 0, "the API shows keys")
		next.Keys = keys
		writes = append(writes, client.PutOf(next))
	}
	_, err := f.Client.Apply(t.Context(), writes, client.WriteOptions{})
	assert.NilError(t, err)
}

// Guards against a new, moved or returned key that is refused once its change was acknowledged, against a removed one
// that works after the bound, and against nodes that trust keys without control. No process may log a key.
func TestKeysInARunningFleet(t *testing.T) {
	log := &logBuffer{}
	f := startWithCustomers(t, log)
	defer func() { assert.NilError(t, f.Stop()) }()
	expect := func(path, key string, want int) {
		t.Helper()
		for i := range f.CallerAddrs {
			got, reason := status(t, f, i, path, key)
			assert.Equal(t, got, want, "node %d, key %q: %s", i, key, reason)
		}
	}
	expect("/", "secret-1", 200)
	expect("/", "secret-3", 200)
	expect("/", "", 401)
	expect("/", "secret-4", 401)
	expect("/open", "", 200)
	for _, keys := range []map[string][]string{
		{"acme": {"secret-2", "secret-4"}, "bolt": {"secret-1"}}, // one moved, one added, one removed
		{"acme": {"secret-1"}, "bolt": {"secret-2", "secret-4"}}, // swapped
		{"acme": {"secret-1", "secret-3"}, "bolt": {"secret-2"}}, // one given back, one removed
	} {
		putKeys(t, f, keys)
		acknowledged := time.Now()
		valid := map[string]bool{}
		for _, list := range keys {
			for _, key := range list {
				valid[key] = true
				expect("/", key, 200)
			}
		}
		time.Sleep(time.Until(acknowledged.Add(revocationBound)))
		for _, key := range []string{"secret-1", "secret-2", "secret-3", "secret-4"} {
			if !valid[key] {
				expect("/", key, 401)
			}
		}
	}
	f.StopControl()
	time.Sleep(revocationBound)
	expect("/", "secret-1", 503)
	expect("/", "secret-4", 503)
	expect("/open", "", 200)
	text := log.String()
	assert.Assert(t, strings.Contains(text, "configuration is not known to be current") && strings.Contains(text, "customer=acme"))
	assert.Assert(t, !strings.Contains(text, "secret"), "a key is logged")
}

// Guards against the removal of the last customer after which every key is good, also those that nobody ever held.
func TestLastCustomerOfARunningFleet(t *testing.T) {
	f := startWithCustomers(t, &logBuffer{})
	defer func() { assert.NilError(t, f.Stop()) }()
	required := true
	writes := []apiv1.Write{client.PutOf(&resource.Limits{Meta: resource.Meta{Name: resource.LimitsName}, KeysRequired: &required})}
	for _, name := range []string{"acme", "bolt"} {
		k := resource.Key{Type: resource.TypeCustomer, Name: name}
		o, err := f.Client.Get(t.Context(), k)
		assert.NilError(t, err)
		writes = append(writes, client.DeleteOf(k, o.Metadata().Revision))
	}
	_, err := f.Client.Apply(t.Context(), writes[1:], client.WriteOptions{})
	assert.ErrorContains(t, err, "last customer")
	_, err = f.Client.Apply(t.Context(), writes, client.WriteOptions{})
	assert.NilError(t, err)
	time.Sleep(revocationBound)
	for i := range f.CallerAddrs {
		for key, want := range map[string]int{"secret-1": 401, "never-held": 401, "": 401} {
			got, reason := status(t, f, i, "/", key)
			assert.Equal(t, got, want, "node %d, key %q: %s", i, key, reason)
		}
		got, _ := status(t, f, i, "/open", "")
		assert.Equal(t, got, 200)
	}
}
