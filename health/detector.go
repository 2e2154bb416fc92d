package health

import (
	"maps"
	"math"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Options configure a Detector. Zero fields take the defaults.
type Options struct {
	// FalseEjections is the rate of false alarms of the ejection test, per upstream and day; the
	// default of 0.0001 is one per day among 10,000 upstreams. It holds while the true rates of the
	// upstream are within the tolerance and attempts are independent.
	FalseEjections float64
	// FalseSuspicions is the same rate for the suspicion test; the default is 1.
	FalseSuspicions float64
}

const (
	defaultFalseEjections  = 0.0001
	defaultFalseSuspicions = 1
	// maxKinds bounds the number of request kinds of one upstream.
	maxKinds = 64
	// maxPendingIntervals is the number of intervals that may wait for their baseline. Older ones
	// are dropped untested.
	maxPendingIntervals = 6
	// maxStepShare bounds the evidence from one interval, as a share of the ejection threshold, so
	// that a stall of less than an interval doesn't eject an upstream.
	maxStepShare = 0.6
	// maxValueShare bounds the value of a test, relative to its threshold.
	maxValueShare = 1.2
	// minPeers is the least number of upstreams in the pool; with fewer there is nothing to compare
	// with.
	minPeers = 2
	// minSuspectDuration is how long a suspicion lasts without new evidence. The duration doubles
	// while suspicions follow each other, up to maxSuspectDuration.
	minSuspectDuration = 2 * time.Second
	maxSuspectDuration = 60 * time.Second
	// severityWindow is the number of intervals over which the severity is averaged.
	severityWindow = 5
	// rateWindow is the number of intervals over which the rate of attempts is averaged.
	rateWindow = 60
)

// Detector tests one upstream for failures and slowness. It is not safe for concurrent use.
type Detector struct {
	upstream fleet.UpstreamID
	options  Options
	seq      uint64 // of the current interval
	kinds    map[string]*kindState
	baseline Baseline
	attempts int     // in the current interval
	rate     float64 // attempts per second, moving average

	// Tests over all kinds together detect a change that all kinds share sooner than the tests of
	// each kind.
	suspicion testPair
	ejection  testPair

	suspectUntil    time.Time
	suspectVerdict  Verdict
	suspectDuration time.Duration
}

// kindState holds the counts and the tests of one request kind.
type kindState struct {
	current   intervalCounts
	pending   []intervalCounts
	suspicion testPair
	ejection  testPair
	badShare  float64 // recent share of bad attempts
	usedAt    time.Time
}

// testPair holds one test on failures and one on latency.
type testPair struct{ failures, slow cusum }

// intervalCounts counts the attempts of one interval.
type intervalCounts struct {
	seq               uint64
	succeeded, failed int
	latencies         Histogram    // of succeeded and timed-out attempts
	timeouts          Histogram    // of timed-out attempts, which are also in latencies
	worst             KindBaseline // the worse value of each rate and limit of its baselines
	hasBaseline       bool         // worst is set
}

// NewDetector returns a detector without evidence.
func NewDetector(u fleet.UpstreamID, o Options) *Detector {
	if o.FalseEjections <= 0 {
		o.FalseEjections = defaultFalseEjections
	}
	if o.FalseSuspicions <= 0 {
		o.FalseSuspicions = defaultFalseSuspicions
	}
	d := &Detector{upstream: u, options: o, seq: 1}
	d.Reset()
	return d
}

// Reset drops all evidence, for instance when an ejected upstream returns.
func (d *Detector) Reset() {
	d.kinds = map[string]*kindState{}
	d.suspicion, d.ejection = testPair{}, testPair{}
	d.suspectUntil, d.suspectVerdict, d.suspectDuration = time.Time{}, Verdict{}, minSuspectDuration
}

// Observe records the result of one attempt. latency is the time for which the attempt held a slot;
// for TimedOut, its timeout.
func (d *Detector) Observe(now time.Time, name string, r Result, latency time.Duration) {
	if r == Ignored {
		return
	}
	k := d.kinds[name]
	if k == nil {
		if len(d.kinds) >= maxKinds {
			d.dropUnusedKinds(now)
		}
		if len(d.kinds) >= maxKinds {
			return
		}
		k = &kindState{}
		d.kinds[name] = k
	}
	k.usedAt = now
	d.attempts++
	k.current.add(r, latency)
	if b := d.baseline.Kind(name); b != nil && b.Peers >= minPeers {
		d.testSuspicion(now, name, k, b, r, latency)
	}
}

// dropUnusedKinds drops the kinds that had no attempts for kindRetention.
func (d *Detector) dropUnusedKinds(now time.Time) {
	maps.DeleteFunc(d.kinds, func(_ string, k *kindState) bool { return now.Sub(k.usedAt) > kindRetention })
}

func (c *intervalCounts) add(r Result, latency time.Duration) {
	switch r {
	case Failed:
		c.failed++
	case Succeeded:
		c.succeeded++
		c.latencies.Add(latency)
	case TimedOut:
		c.latencies.Add(latency)
		c.timeouts.Add(latency)
	}
}

func (d *Detector) testSuspicion(now time.Time, name string, k *kindState, b *KindBaseline, r Result, latency time.Duration) {
	// Only a large change makes an upstream suspect. Avoiding an upstream with a small change would
	// remove the evidence that leads to its ejection, and such an upstream does little harm until
	// then.
	alarmThreshold := threshold(d.options.FalseSuspicions, d.rate)
	maxValue := maxValueShare * alarmThreshold
	if r != TimedOut {
		failure := failureParameters(b).evidence(boolToInt(r == Failed), 1)
		k.suspicion.failures.add(failure, maxValue, alarmThreshold)
		d.suspicion.failures.add(failure, maxValue, alarmThreshold)
	}
	// A timeout at or below the limit is no evidence of slowness: the attempt was given no more
	// time.
	slow := bucketOf(latency) > b.SlowBucket
	if r == Succeeded || r == TimedOut && slow {
		slowness := slowParameters(b).evidence(boolToInt(slow), 1)
		k.suspicion.slow.add(slowness, maxValue, alarmThreshold)
		d.suspicion.slow.add(slowness, maxValue, alarmThreshold)
	}
	switch {
	case max(k.suspicion.failures.large, d.suspicion.failures.large) >= alarmThreshold:
		d.markSuspect(now, Verdict{Suspect, name, CauseFailures, k.badShare})
		k.suspicion.failures, d.suspicion.failures = cusum{}, cusum{}
	case max(k.suspicion.slow.large, d.suspicion.slow.large) >= alarmThreshold:
		d.markSuspect(now, Verdict{Suspect, name, CauseLatency, k.badShare})
		k.suspicion.slow, d.suspicion.slow = cusum{}, cusum{}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// markSuspect starts or prolongs a suspicion. One that starts soon after the previous one ended
// lasts twice as long.
func (d *Detector) markSuspect(now time.Time, v Verdict) {
	switch {
	case now.Before(d.suspectUntil):
	case now.Sub(d.suspectUntil) < 2*d.suspectDuration:
		d.suspectDuration = min(2*d.suspectDuration, maxSuspectDuration)
	default:
		d.suspectDuration = minSuspectDuration
	}
	d.suspectVerdict = v
	d.suspectUntil = now.Add(d.suspectDuration)
}

// EndInterval ends the current interval and returns its summary. It is called once per Interval.
func (d *Detector) EndInterval() Summary {
	s := Summary{Upstream: d.upstream, Seq: d.seq}
	for name, k := range d.kinds {
		counts := k.current
		k.current = intervalCounts{}
		if counts.succeeded+counts.failed+counts.latencies.Total() == 0 {
			continue
		}
		counts.seq = d.seq
		s.Kinds = append(s.Kinds, KindSummary{name, uint32(counts.succeeded), uint32(counts.failed), counts.latencies})
		k.pending = append(k.pending, counts)
		if len(k.pending) > maxPendingIntervals {
			k.pending = k.pending[1:]
		}
	}
	if d.rate == 0 {
		d.rate = float64(d.attempts) / Interval.Seconds()
	}
	d.rate += (float64(d.attempts)/Interval.Seconds() - d.rate) / rateWindow
	d.attempts = 0
	d.seq++
	return s
}

// Update records a new baseline and tests each interval for which it is the second baseline since
// the interval ended: by then, all peers have reported that time. Each interval is tested against
// the worse of the two.
func (d *Detector) Update(b Baseline) {
	d.baseline = b
	var failures, slow evidence
	for name, k := range d.kinds {
		kb := b.Kind(name)
		if kb == nil || kb.Peers < minPeers {
			continue
		}
		kept := k.pending[:0]
		for _, p := range k.pending {
			if p.seq <= b.Seq {
				p.addBaseline(kb)
			}
			if p.seq < b.Seq {
				f, s := d.testInterval(k, &p)
				failures.add(f)
				slow.add(s)
				continue
			}
			kept = append(kept, p)
		}
		k.pending = kept
	}
	alarmThreshold := threshold(d.options.FalseEjections, d.rate)
	d.ejection.failures.add(failures, maxValueShare*alarmThreshold, maxStepShare*alarmThreshold)
	d.ejection.slow.add(slow, maxValueShare*alarmThreshold, maxStepShare*alarmThreshold)
}

// addBaseline keeps the worse value of each rate and limit of the baselines of an interval.
func (c *intervalCounts) addBaseline(kb *KindBaseline) {
	if !c.hasBaseline {
		c.worst, c.hasBaseline = *kb, true
		return
	}
	c.worst.FailureRate = max(c.worst.FailureRate, kb.FailureRate)
	c.worst.SlowBucket = max(c.worst.SlowBucket, kb.SlowBucket)
	c.worst.SlowRate = max(c.worst.SlowRate, kb.SlowRate)
}

// testInterval adds the evidence of one interval to the ejection tests of its kind and returns that
// evidence.
func (d *Detector) testInterval(k *kindState, counts *intervalCounts) (failures, slow evidence) {
	alarmThreshold := threshold(d.options.FalseEjections, d.rate)
	failures = failureParameters(&counts.worst).evidence(counts.failed, counts.failed+counts.succeeded)
	above := counts.latencies.Above(counts.worst.SlowBucket)
	uninformative := counts.timeouts.Total() - counts.timeouts.Above(counts.worst.SlowBucket)
	attempts := counts.latencies.Total() - uninformative
	slow = slowParameters(&counts.worst).evidence(above, attempts)
	k.ejection.failures.add(failures, maxValueShare*alarmThreshold, maxStepShare*alarmThreshold)
	k.ejection.slow.add(slow, maxValueShare*alarmThreshold, maxStepShare*alarmThreshold)
	badShare := float64(counts.failed+above) / math.Max(float64(counts.failed+attempts), 1)
	k.badShare += (badShare - k.badShare) / severityWindow
	return failures, slow
}

// Verdict returns the verdict on the upstream. If a test over all kinds is the strongest, Kind is
// the kind with the highest share of bad attempts.
func (d *Detector) Verdict(now time.Time) Verdict {
	v := Verdict{}
	alarmThreshold := threshold(d.options.FalseEjections, d.rate)
	strongest := alarmThreshold
	consider := func(t *testPair, name string, badShare float64) {
		if e := t.failures.value(); e >= strongest {
			strongest, v = e, Verdict{Unhealthy, name, CauseFailures, badShare}
		}
		if e := t.slow.value(); e >= strongest {
			strongest, v = e, Verdict{Unhealthy, name, CauseLatency, badShare}
		}
	}
	worstKind, worstShare := "", 0.0
	for name, k := range d.kinds {
		if k.badShare > worstShare || k.badShare == worstShare && name < worstKind {
			worstKind, worstShare = name, k.badShare
		}
	}
	consider(&d.ejection, worstKind, worstShare)
	for name, k := range d.kinds {
		consider(&k.ejection, name, k.badShare)
	}
	if v.Level == Healthy && now.Before(d.suspectUntil) {
		return d.suspectVerdict
	}
	return v
}
