package trials

import (
	"fmt"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
)

// detectionMethod detects unhealthy upstreams from the results of requests.
type detectionMethod interface {
	observe(now time.Time, worker, kind int, r health.Result, latency time.Duration)
	// endInterval ends one health.Interval of a worker. The workers' intervals end at different
	// times.
	endInterval(now time.Time, worker int)
	suspect(now time.Time, worker int) bool
	unhealthy(now time.Time, worker int) (severity float64, yes bool)
	reset(worker int)
	// baseline returns how the worker's peers serve the kind, which trials after an ejection compare
	// with, or nil.
	baseline(worker, kind int) *health.KindBaseline
}

// Methods lists the names of the detection methods. The first is the one that the project uses.
var Methods = []string{"sequential", "consecutive", "windows"}

func newMethod(name string, d *Deployment) detectionMethod {
	switch name {
	case "consecutive":
		return &consecutive{failures: make([]int, d.Workers)}
	case "windows":
		return newWindows(d)
	}
	return newSequential(d)
}

// sequential is the method that the project uses: health.Detector against a pooled baseline.
type sequential struct {
	d         *Deployment
	pool      *health.Pool
	detectors []*health.Detector
	baselines []health.Baseline
}

func upstreamID(worker int) fleet.UpstreamID { return fleet.UpstreamID(fmt.Sprintf("u%02d", worker)) }

func newSequential(d *Deployment) *sequential {
	s := &sequential{d: d, pool: health.NewPool(), baselines: make([]health.Baseline, d.Workers)}
	for w := range d.Workers {
		s.detectors = append(s.detectors, health.NewDetector(upstreamID(w), health.Options{}))
	}
	return s
}

func (s *sequential) observe(now time.Time, worker, kind int, r health.Result, latency time.Duration) {
	s.detectors[worker].Observe(now, s.d.Kinds[kind].Name, r, latency)
}

func (s *sequential) endInterval(now time.Time, worker int) {
	s.pool.Add(now, s.detectors[worker].EndInterval())
	b := s.pool.Baseline(now, upstreamID(worker))
	s.baselines[worker] = b
	s.detectors[worker].Update(b)
}

func (s *sequential) suspect(now time.Time, worker int) bool {
	return s.detectors[worker].Verdict(now).Level >= health.Suspect
}

func (s *sequential) unhealthy(now time.Time, worker int) (float64, bool) {
	v := s.detectors[worker].Verdict(now)
	return v.Severity, v.Level == health.Unhealthy
}

func (s *sequential) reset(worker int) { s.detectors[worker].Reset() }

func (s *sequential) baseline(worker, kind int) *health.KindBaseline {
	return s.baselines[worker].Kind(s.d.Kinds[kind].Name)
}

// consecutive finds an upstream unhealthy after consecutiveLimit failures or timeouts in a row.
type consecutive struct{ failures []int }

const consecutiveLimit = 5

func (c *consecutive) observe(_ time.Time, worker, _ int, r health.Result, _ time.Duration) {
	switch r {
	case health.Succeeded:
		c.failures[worker] = 0
	case health.Failed, health.TimedOut:
		c.failures[worker]++
	}
}

func (c *consecutive) endInterval(time.Time, int)  {}
func (c *consecutive) suspect(time.Time, int) bool { return false }
func (c *consecutive) unhealthy(_ time.Time, worker int) (float64, bool) {
	return 1, c.failures[worker] >= consecutiveLimit
}
func (c *consecutive) reset(worker int)                       { c.failures[worker] = 0 }
func (c *consecutive) baseline(int, int) *health.KindBaseline { return nil }

// windows finds an upstream unhealthy when, within a fixed window, its failure rate exceeds a limit
// or its mean latency exceeds a multiple of the mean of all upstreams.
type windows struct {
	current           []window
	unhealthyVerdicts []bool
}

type window struct {
	attempts, failures int
	latency            time.Duration
	intervals          int
}

// The limits are low enough to detect the mildest faults of the trials: 10% failures and service
// times 3 times as long.
const (
	windowSeconds        = 10
	windowMinAttempts    = 20
	windowMaxFailureRate = 0.05
	windowMaxSlowness    = 2.0
)

func newWindows(d *Deployment) *windows {
	return &windows{current: make([]window, d.Workers), unhealthyVerdicts: make([]bool, d.Workers)}
}

func (w *windows) observe(_ time.Time, worker, _ int, r health.Result, latency time.Duration) {
	if r == health.Ignored {
		return
	}
	c := &w.current[worker]
	c.attempts++
	if r != health.Succeeded {
		c.failures++
		return
	}
	c.latency += latency
}

func (w *windows) endInterval(_ time.Time, worker int) {
	c := &w.current[worker]
	if c.intervals++; c.intervals < windowSeconds {
		return
	}
	total, attempts := time.Duration(0), 0
	for i := range w.current {
		total += w.current[i].latency
		attempts += w.current[i].attempts - w.current[i].failures
	}
	if c.attempts >= windowMinAttempts {
		w.unhealthyVerdicts[worker] = float64(c.failures) > windowMaxFailureRate*float64(c.attempts)
		if answered := c.attempts - c.failures; answered > 0 && attempts > 0 {
			mean := float64(total) / float64(attempts)
			w.unhealthyVerdicts[worker] = w.unhealthyVerdicts[worker] || float64(c.latency)/float64(answered) > windowMaxSlowness*mean
		}
	}
	*c = window{}
}

func (w *windows) suspect(time.Time, int) bool { return false }
func (w *windows) unhealthy(_ time.Time, worker int) (float64, bool) {
	return 1, w.unhealthyVerdicts[worker]
}
func (w *windows) reset(worker int) {
	w.current[worker], w.unhealthyVerdicts[worker] = window{}, false
}
func (w *windows) baseline(int, int) *health.KindBaseline { return nil }
