package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/resource"
)

// Guards against announcements that are judged by an older configuration, and against those that wait on although their service is
// configured.
func TestConfiguredServicesFollowTheConfiguration(t *testing.T) {
	var c configuredServices
	changes := 0
	c.Subscribe(func() { changes++ })
	configured, known := c.Configured("shop")
	assert.Assert(t, !configured && !known)
	config := func(revision uint64, services ...string) *resource.Config {
		out := &resource.Config{Version: resource.Version{Epoch: 1, Revision: revision}, Services: map[string]*resource.Service{}}
		for _, name := range services {
			out.Services[name] = &resource.Service{}
		}
		return out
	}
	c.update(config(2, "shop"))
	c.update(config(1))
	configured, known = c.Configured("shop")
	assert.Assert(t, configured && known)
	configured, known = c.Configured("cart")
	assert.Assert(t, !configured && known)
	assert.Equal(t, changes, 1)
}
