package health

import (
	"math"
	"time"
)

const (
	// The buckets cover 100 µs to 100 s, four to each doubling.
	bucketCount        = 80
	bucketsPerDoubling = 4
	minLatency         = 100 * time.Microsecond
)

// Histogram counts latencies in buckets of equal ratio. It is sent every second, so it keeps only
// the range of buckets in use.
type Histogram struct {
	First  int      `cbor:"1,keyasint,omitempty"` // bucket of Counts[0]
	Counts []uint32 `cbor:"2,keyasint,omitempty"`
}

// bucketOf returns the index of the bucket that holds a latency.
func bucketOf(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	return min(int(math.Log2(float64(d)/float64(minLatency))*bucketsPerDoubling), bucketCount-1)
}

// BucketLimit returns the upper bound of a bucket.
func BucketLimit(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}

// Add counts one latency.
func (h *Histogram) Add(d time.Duration) { h.add(bucketOf(d), 1) }

func (h *Histogram) add(bucket int, n uint32) {
	if len(h.Counts) == 0 {
		h.First = bucket
	}
	for bucket < h.First {
		h.Counts = append([]uint32{0}, h.Counts...)
		h.First--
	}
	for bucket >= h.First+len(h.Counts) {
		h.Counts = append(h.Counts, 0)
	}
	h.Counts[bucket-h.First] += n
}

// valid reports whether a histogram from another node has only existing buckets.
func (h *Histogram) valid() bool {
	return h.First >= 0 && len(h.Counts) <= bucketCount && h.First <= bucketCount-len(h.Counts)
}

// Total returns the number of latencies counted.
func (h *Histogram) Total() int {
	n := 0
	for _, c := range h.Counts {
		n += int(c)
	}
	return n
}

// Above returns the number of latencies in the buckets above bucket.
func (h *Histogram) Above(bucket int) int {
	n := 0
	for i, c := range h.Counts {
		if h.First+i > bucket {
			n += int(c)
		}
	}
	return n
}

// decayedCounts is a histogram with a fractional count per bucket, for exponential decay.
type decayedCounts [bucketCount]float64

func (d *decayedCounts) add(h *Histogram) {
	for i, c := range h.Counts {
		d[h.First+i] += float64(c)
	}
}

func (d *decayedCounts) addAll(o *decayedCounts) {
	for i := range d {
		d[i] += o[i]
	}
}

func (d *decayedCounts) scale(f float64) {
	for i := range d {
		d[i] *= f
	}
}

func (d *decayedCounts) total() float64 {
	n := 0.0
	for _, c := range d {
		n += c
	}
	return n
}

// quantile returns the index of the bucket that holds a quantile.
func (d *decayedCounts) quantile(q float64) int {
	remaining := d.total() * q
	for i, c := range d {
		if remaining -= c; remaining <= 0 {
			return i
		}
	}
	return bucketCount - 1
}

// mean returns the mean bucket index, a measure of the geometric mean latency.
func (d *decayedCounts) mean() float64 {
	n, sum := 0.0, 0.0
	for i, c := range d {
		n += c
		sum += c * float64(i)
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

func (d *decayedCounts) above(bucket int) float64 {
	n := 0.0
	for i := bucket + 1; i < bucketCount; i++ {
		n += d[i]
	}
	return n
}
