package ingress

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an ingress that asks other regions again and again while they
// are full: each question crosses a narrow link. Load: a service that comes four
// times a second, with no free slot in any region.
func TestOtherRegionsAreAskedSeldom(t *testing.T) {
	table := newCrossingTable()
	now := time.Unix(1_700_000_000, 0)
	asked := 0
	for range 4 * 60 {
		now = now.Add(250 * time.Millisecond)
		if table.open("shop", now) {
			asked++
			table.note("shop", now)
		}
	}
	assert.Assert(t, asked <= 10, "asked %d times in a minute", asked)
	assert.Assert(t, table.open("desk", now), "another service")
}
