package ingress

import (
	"sync"
	"time"
)

// crossRegionBackoff is how long an ingress sends no work of a service to other regions after an
// upstream there has declined some. The upstreams of a region fill up together, and each attempt
// costs bandwidth on a narrow link.
const crossRegionBackoff = 6 * time.Second

// crossRegionTable holds when an upstream in another region last declined work of a service.
type crossRegionTable struct {
	mu       sync.Mutex
	declined map[string]time.Time // by service
}

func newCrossRegionTable() *crossRegionTable {
	return &crossRegionTable{declined: map[string]time.Time{}}
}

// recordDecline records that an upstream in another region has declined work of service.
func (t *crossRegionTable) recordDecline(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.declined[service] = now
}

// allowed reports whether work of service may be sent to other regions.
func (t *crossRegionTable) allowed(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.declined[service]) >= crossRegionBackoff
}
