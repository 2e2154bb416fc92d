package metrics

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against histograms that lose latencies outside of their range, and against unbounded memory
// when there are many labels.
func TestLatencies(t *testing.T) {
	var l Latencies
	for _, d := range []time.Duration{-time.Second, 3 * time.Millisecond, 400 * time.Millisecond, time.Hour} {
		l.Record("shop", d)
	}
	for i := range 2 * maxLabels {
		l.Record(fmt.Sprint("service-", i), time.Millisecond)
	}
	var decoded map[string]Latency
	assert.NilError(t, json.Unmarshal([]byte(l.String()), &decoded))
	shop := decoded["shop"]
	assert.Equal(t, shop.Count, int64(4))
	counts := map[int64]int64{}
	for _, b := range shop.Buckets {
		counts[b.UpToMs] = b.Count
	}
	assert.Equal(t, counts[1], int64(1))
	assert.Equal(t, counts[5], int64(2))
	assert.Equal(t, counts[500], int64(3))
	assert.Equal(t, counts[30_000], int64(3))
	assert.Equal(t, len(decoded), maxLabels+1)
	assert.Equal(t, decoded[otherLabel].Count, int64(maxLabels+1))
}
