package health

import (
	"math"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Options configure a Detector. Zero fields take the defaults.
type Options struct {
	// FalseEjections is the rate of ejections asked for by chance, per
	// upstream-day; default 0.0001, one a day among 10,000 upstreams. It holds
	// while the upstream's true rates are within the tolerance and attempts are
	// independent.
	FalseEjections float64
	// FalseSuspicions is the same for suspicions; default 1.
	FalseSuspicions float64
}

const (
	defaultFalseEjections  = 0.0001
	defaultFalseSuspicions = 1
	// maxKinds bounds the kinds of one upstream.
	maxKinds = 64
	// pendingBins is how many intervals wait for their baseline. Older ones are
	// dropped without effect.
	pendingBins = 6
	// stepShare is the part of the ejection threshold that one interval can
	// contribute, so that a stall of less than an interval ejects nobody.
	stepShare = 0.6
	// limitShare bounds the evidence, relative to the threshold.
	limitShare = 1.2
	// minPeers is the number of upstreams in the pool below which there is
	// nothing to compare with.
	minPeers = 2
	// suspectHold is how long a suspicion lasts without new evidence. It
	// doubles while suspicions follow each other, up to maxSuspectHold.
	suspectHold    = 2 * time.Second
	maxSuspectHold = 60 * time.Second
	// severityWindow averages the severity, in intervals.
	severityWindow = 5
	// rateWindow averages attempts per second, in intervals.
	rateWindow = 60
)

// Detector tests one upstream. It is not safe for concurrent use.
type Detector struct {
	upstream fleet.UpstreamID
	options  Options
	seq      uint64 // of the interval under way
	kinds    map[string]*kind
	baseline Baseline
	attempts int     // in the interval under way
	rate     float64 // attempts per second, moving average

	// The tests over all kinds find a change that all kinds share sooner than
	// those of each kind.
	fast     tests
	ejection tests

	suspectUntil time.Time
	suspect      Verdict
	hold         time.Duration
}

// kind is the evidence on one request kind.
type kind struct {
	current  bin
	pending  []bin
	fast     tests
	ejection tests
	bad      float64 // recent share of bad attempts
}

// tests are those on failures and on latency.
type tests struct{ failures, slow cusum }

// bin counts the attempts of one interval.
type bin struct {
	seq               uint64
	succeeded, failed int
	latencies         Histogram // of succeeded and timed out attempts
	timeouts          Histogram // of timed out attempts, also in latencies
	worst             KindBaseline
	judged            bool // worst is set
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

// Reset drops the evidence, for instance when an ejected upstream returns.
func (d *Detector) Reset() {
	d.kinds = map[string]*kind{}
	d.fast, d.ejection = tests{}, tests{}
	d.suspectUntil, d.suspect, d.hold = time.Time{}, Verdict{}, suspectHold
}

// Observe takes in the result of one attempt. latency is the time it held a
// slot; for TimedOut, the time it was given.
func (d *Detector) Observe(now time.Time, name string, r Result, latency time.Duration) {
	if r == Ignored {
		return
	}
	k := d.kinds[name]
	if k == nil {
		if len(d.kinds) >= maxKinds {
			return
		}
		k = &kind{}
		d.kinds[name] = k
	}
	d.attempts++
	k.current.add(r, latency)
	if b := d.baseline.Kind(name); b != nil && b.Peers >= minPeers {
		d.suspectTest(now, name, k, b, r, latency)
	}
}

func (b *bin) add(r Result, latency time.Duration) {
	switch r {
	case Failed:
		b.failed++
	case Succeeded:
		b.succeeded++
		b.latencies.Add(latency)
	case TimedOut:
		b.latencies.Add(latency)
		b.timeouts.Add(latency)
	}
}

func (d *Detector) suspectTest(now time.Time, name string, k *kind, b *KindBaseline, r Result, latency time.Duration) {
	// Only a large change makes a suspect. Avoidance would take the evidence
	// away that ejects an upstream with a small change, and such an upstream
	// does little harm until then.
	h := threshold(d.options.FalseSuspicions, d.rate)
	limit := limitShare * h
	if r != TimedOut {
		e := failureParameters(b).evidence(count(r == Failed), 1)
		k.fast.failures.add(e, limit, h)
		d.fast.failures.add(e, limit, h)
	}
	// A timeout below the limit says nothing: the attempt was not given more.
	slow := bucketOf(latency) > b.SlowBucket
	if r == Succeeded || r == TimedOut && slow {
		e := slowParameters(b).evidence(count(slow), 1)
		k.fast.slow.add(e, limit, h)
		d.fast.slow.add(e, limit, h)
	}
	switch {
	case max(k.fast.failures.large, d.fast.failures.large) >= h:
		d.raise(now, Verdict{Suspect, name, CauseFailures, k.bad})
		k.fast.failures, d.fast.failures = cusum{}, cusum{}
	case max(k.fast.slow.large, d.fast.slow.large) >= h:
		d.raise(now, Verdict{Suspect, name, CauseLatency, k.bad})
		k.fast.slow, d.fast.slow = cusum{}, cusum{}
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// raise starts or prolongs a suspicion. One that starts soon after the last
// ended lasts twice as long.
func (d *Detector) raise(now time.Time, v Verdict) {
	switch {
	case now.Before(d.suspectUntil):
	case now.Sub(d.suspectUntil) < 2*d.hold:
		d.hold = min(2*d.hold, maxSuspectHold)
	default:
		d.hold = suspectHold
	}
	d.suspect = v
	d.suspectUntil = now.Add(d.hold)
}

// Close ends the interval under way and returns its summary. It is called once
// per Interval.
func (d *Detector) Close() Summary {
	s := Summary{Upstream: d.upstream, Seq: d.seq}
	for name, k := range d.kinds {
		b := k.current
		k.current = bin{}
		if b.succeeded+b.failed+b.latencies.Total() == 0 {
			continue
		}
		b.seq = d.seq
		s.Kinds = append(s.Kinds, KindSummary{name, uint32(b.succeeded), uint32(b.failed), b.latencies})
		k.pending = append(k.pending, b)
		if len(k.pending) > pendingBins {
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

// Update takes in a baseline and tests the intervals for which it is the
// second one since they ended: by then, all peers have reported that time.
// Each interval is tested against the worse of both.
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
				p.judge(kb)
			}
			if p.seq < b.Seq {
				f, s := d.test(k, &p)
				failures.add(f)
				slow.add(s)
				continue
			}
			kept = append(kept, p)
		}
		k.pending = kept
	}
	h := threshold(d.options.FalseEjections, d.rate)
	d.ejection.failures.add(failures, limitShare*h, stepShare*h)
	d.ejection.slow.add(slow, limitShare*h, stepShare*h)
}

// judge remembers the worse of the baselines of an interval.
func (b *bin) judge(kb *KindBaseline) {
	if !b.judged {
		b.worst, b.judged = *kb, true
		return
	}
	b.worst.FailureRate = max(b.worst.FailureRate, kb.FailureRate)
	b.worst.SlowBucket = max(b.worst.SlowBucket, kb.SlowBucket)
	b.worst.SlowRate = max(b.worst.SlowRate, kb.SlowRate)
}

// test adds the evidence of one interval to the ejection tests of its kind and
// returns it.
func (d *Detector) test(k *kind, b *bin) (failures, slow evidence) {
	h := threshold(d.options.FalseEjections, d.rate)
	failures = failureParameters(&b.worst).evidence(b.failed, b.failed+b.succeeded)
	above := b.latencies.Above(b.worst.SlowBucket)
	timely := b.timeouts.Total() - b.timeouts.Above(b.worst.SlowBucket)
	attempts := b.latencies.Total() - timely
	slow = slowParameters(&b.worst).evidence(above, attempts)
	k.ejection.failures.add(failures, limitShare*h, stepShare*h)
	k.ejection.slow.add(slow, limitShare*h, stepShare*h)
	bad := float64(b.failed+above) / math.Max(float64(b.failed+attempts), 1)
	k.bad += (bad - k.bad) / severityWindow
	return failures, slow
}

// Verdict returns the state of the upstream. If a test over all kinds is the
// strongest, Kind is the kind with most bad attempts.
func (d *Detector) Verdict(now time.Time) Verdict {
	v := Verdict{}
	h := threshold(d.options.FalseEjections, d.rate)
	strongest := h
	consider := func(t *tests, name string, bad float64) {
		if e := t.failures.value(); e >= strongest {
			strongest, v = e, Verdict{Unhealthy, name, CauseFailures, bad}
		}
		if e := t.slow.value(); e >= strongest {
			strongest, v = e, Verdict{Unhealthy, name, CauseLatency, bad}
		}
	}
	worst, bad := "", 0.0
	for name, k := range d.kinds {
		if k.bad > bad || k.bad == bad && name < worst {
			worst, bad = name, k.bad
		}
	}
	consider(&d.ejection, worst, bad)
	for name, k := range d.kinds {
		consider(&k.ejection, name, k.bad)
	}
	if v.Level == Healthy && now.Before(d.suspectUntil) {
		return d.suspect
	}
	return v
}
