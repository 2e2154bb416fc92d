package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an ingress that keeps trying other regions while they are full, since each attempt
// crosses a narrow link. The service gets four requests per second, and no region has a free slot.
func TestDeclinesLimitCrossRegionAttempts(t *testing.T) {
	table := newCrossRegionTable()
	now := time.Unix(1_700_000_000, 0)
	attempts := 0
	for range 4 * 60 {
		now = now.Add(250 * time.Millisecond)
		if table.allowed("shop", now) {
			attempts++
			table.recordDecline("shop", now)
		}
	}
	assert.Assert(t, attempts <= 10, "%d attempts crossed regions in a minute", attempts)
	assert.Assert(t, table.allowed("desk", now), "a decline by one service must not affect another one")
}
