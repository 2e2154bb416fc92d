package health

import (
	"math"
	"time"
)

const (
	// buckets cover 100 µs to 100 s, four to each doubling.
	buckets          = 80
	bucketsPerDouble = 4
	firstBucket      = 100 * time.Microsecond
)

// Histogram counts latencies in buckets of equal ratio. Only the range of
// buckets that is in use is kept, since it is sent every second.
type Histogram struct {
	First  int      `cbor:"1,keyasint,omitempty"` // bucket of Counts[0]
	Counts []uint32 `cbor:"2,keyasint,omitempty"`
}

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(int(math.Log2(float64(d)/float64(firstBucket))*bucketsPerDouble), buckets-1)
}

// BucketLimit returns the upper end of a bucket.
func BucketLimit(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket+1)/bucketsPerDouble))
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

// valid reports whether a histogram from another node keeps to the buckets.
func (h *Histogram) valid() bool {
	return h.First >= 0 && len(h.Counts) <= buckets && h.First <= buckets-len(h.Counts)
}

// Total returns the number of latencies.
func (h *Histogram) Total() int {
	n := 0
	for _, c := range h.Counts {
		n += int(c)
	}
	return n
}

// Above returns the number of latencies beyond a bucket.
func (h *Histogram) Above(bucket int) int {
	n := 0
	for i, c := range h.Counts {
		if h.First+i > bucket {
			n += int(c)
		}
	}
	return n
}

// weights is a histogram of decayed counts.
type weights [buckets]float64

func (w *weights) add(h *Histogram) {
	for i, c := range h.Counts {
		w[h.First+i] += float64(c)
	}
}

func (w *weights) addAll(o *weights) {
	for i := range w {
		w[i] += o[i]
	}
}

func (w *weights) scale(f float64) {
	for i := range w {
		w[i] *= f
	}
}

func (w *weights) total() float64 {
	n := 0.0
	for _, c := range w {
		n += c
	}
	return n
}

// quantile returns the bucket of a quantile.
func (w *weights) quantile(q float64) int {
	left := w.total() * q
	for i, c := range w {
		if left -= c; left <= 0 {
			return i
		}
	}
	return buckets - 1
}

// mean returns the mean bucket, a measure of the geometric mean latency.
func (w *weights) mean() float64 {
	n, sum := 0.0, 0.0
	for i, c := range w {
		n += c
		sum += c * float64(i)
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

func (w *weights) above(bucket int) float64 {
	n := 0.0
	for i := bucket + 1; i < buckets; i++ {
		n += w[i]
	}
	return n
}
