package metrics

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against histograms that lose latencies outside their bounds, or take
// memory without bound when labels are many.
func TestLatencies(t *testing.T) {
	var l Latencies
	for _, d := range []time.Duration{-time.Second, 3 * time.Millisecond, 400 * time.Millisecond, time.Hour} {
		l.Record("shop", d)
	}
	for i := range 2 * maxLabels {
		l.Record(fmt.Sprint("service-", i), time.Millisecond)
	}
	var shown map[string]Latency
	assert.NilError(t, json.Unmarshal([]byte(l.String()), &shown))
	shop := shown["shop"]
	assert.Equal(t, shop.Count, int64(4))
	counts := map[int64]int64{}
	for _, b := range shop.Buckets {
		counts[b.UpToMs] = b.Count
	}
	assert.Equal(t, counts[1], int64(1))
	assert.Equal(t, counts[5], int64(2))
	assert.Equal(t, counts[500], int64(3))
	assert.Equal(t, counts[30_000], int64(3))
	assert.Equal(t, len(shown), maxLabels+1)
	assert.Equal(t, shown[otherLabel].Count, int64(maxLabels+1))
}
