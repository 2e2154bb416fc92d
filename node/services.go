package node

import (
	"sync"

	"github.com/godwithub/godwithub/resource"
)

// configuredServices tells which services the latest configuration has. It implements announce.Services.
type configuredServices struct {
	mu          sync.Mutex
	config      *resource.Config // nil: not known yet
	subscribers []func()
}

// Configured implements announce.Services.
func (c *configuredServices) Configured(service string) (configured, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return false, false
	}
	return c.config.Services[service] != nil, true
}

// Subscribe implements announce.Services.
func (c *configuredServices) Subscribe(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// update sets the configuration, unless it has a later one.
func (c *configuredServices) update(config *resource.Config) {
	c.mu.Lock()
	if c.config != nil && !c.config.Version.Less(config.Version) {
		c.mu.Unlock()
		return
	}
	c.config = config
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
}
