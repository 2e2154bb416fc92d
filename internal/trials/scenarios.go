package trials

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// faultStart is late enough for baselines to form after the warm-up.
	faultStart    = 40 * time.Second
	faultDuration = 60 * time.Second
	faultyWorker  = 3
	// moderateLoad is the load of trials that are not about overload.
	moderateLoad = 0.6
	// healthyDuration is the length of a trace without an unhealthy upstream.
	healthyDuration  = 3 * time.Minute
	overloadDuration = 60 * time.Second
)

// faultScenario describes the fault of the one unhealthy upstream of a trace, by the time since the
// fault began and by request kind.
type faultScenario struct {
	name    string
	faultAt func(since time.Duration, kind int) Fault
}

func constantFault(f Fault) func(time.Duration, int) Fault {
	return func(time.Duration, int) Fault { return f }
}

var faultScenarios = []faultScenario{
	{"failures 10%", constantFault(Fault{FailureRate: 0.1})},
	{"failures 30%", constantFault(Fault{FailureRate: 0.3})},
	{"failures 100%", constantFault(Fault{FailureRate: 1})},
	{"3 times slower", constantFault(Fault{Slowness: 3})},
	{"10 times slower", constantFault(Fault{Slowness: 10})},
	{"one kind fails 50%", func(_ time.Duration, kind int) Fault {
		if kind == 0 {
			return Fault{FailureRate: 0.5}
		}
		return Fault{}
	}},
	{"flapping, 50% for 5 s of 10 s", func(since time.Duration, _ int) Fault {
		if since%(10*time.Second) < 5*time.Second {
			return Fault{FailureRate: 0.5}
		}
		return Fault{}
	}},
}

// Config selects the seeds and methods to run.
type Config struct {
	Seeds    []uint64
	Parallel int    // runs at once; at least 1
	Method   string // run only this one of Methods; empty: all
}

func (c *Config) methods() []string {
	if c.Method != "" {
		return []string{c.Method}
	}
	return Methods
}

// forEachSeed calls run for all seeds, Config.Parallel at a time, and returns the results in the
// order of the seeds.
func forEachSeed[T any](c Config, run func(seed uint64) T) []T {
	out := make([]T, len(c.Seeds))
	var g errgroup.Group
	g.SetLimit(max(c.Parallel, 1))
	for i, seed := range c.Seeds {
		g.Go(func() error {
			out[i] = run(seed)
			return nil
		})
	}
	_ = g.Wait() // the goroutines never return an error
	return out
}

// detectionResult is the result of one detection trial. suspected and ejected are in seconds from
// the start of the fault, or notFound if the upstream was not suspected or ejected.
type detectionResult struct {
	suspected, ejected float64
	wrongEjections     int     // ejections of other upstreams
	harmedShare        float64 // share of requests during the fault that were not answered in time
	relativeWork       float64 // attemptsAtFaulty relative to the run without a method
	attemptsAtFaulty   int     // attempts that ran at the unhealthy upstream since the fault began
}

const notFound = 1e9

// Detection measures how fast each method detects an unhealthy upstream.
func Detection(c Config, d *Deployment) Table {
	t := Table{Header: []string{"fault", "method", "suspected s", "ejected s", "wrong ejections", "requests harmed %", "work at it, % of that without a method"}}
	for _, sc := range faultScenarios {
		var base []detectionResult
		for _, m := range append([]string{""}, c.methods()...) {
			results := forEachSeed(c, func(seed uint64) detectionResult { return runDetection(d, sc, m, seed) })
			if m == "" {
				base = results
			}
			for i := range results {
				results[i].relativeWork = float64(results[i].attemptsAtFaulty) / float64(base[i].attemptsAtFaulty)
			}
			t.Add(sc.name, methodName(m),
				medianAndHighest(results, 2, func(f detectionResult) float64 { return f.suspected }),
				medianAndHighest(results, 2, func(f detectionResult) float64 { return f.ejected }),
				medianAndHighest(results, 0, func(f detectionResult) float64 { return float64(f.wrongEjections) }),
				medianAndHighest(results, 2, func(f detectionResult) float64 { return 100 * f.harmedShare }),
				medianAndHighest(results, 1, func(f detectionResult) float64 { return 100 * f.relativeWork }))
		}
	}
	return t
}

func methodName(m string) string {
	if m == "" {
		return "(none)"
	}
	return m
}

func runDetection(d *Deployment, sc faultScenario, method string, seed uint64) detectionResult {
	// The start differs between seeds, so that it is not aligned with the windows of any method.
	faultBegin := faultStart + time.Duration(seed)*3700*time.Millisecond%(10*time.Second)
	tr := &Trace{Duration: faultBegin + faultDuration, Load: moderateLoad, Noise: true, FaultOf: func(at time.Duration, worker, kind int) Fault {
		if worker != faultyWorker || at < faultBegin {
			return Fault{}
		}
		return sc.faultAt(at-faultBegin, kind)
	}}
	s := newSim(d, tr, method, seed)
	s.stats.measureFrom = faultBegin
	s.control.measureFrom = faultBegin
	stats := s.run()
	f := detectionResult{suspected: notFound, ejected: notFound}
	if at := s.control.suspectedAt[faultyWorker]; at > 0 {
		f.suspected = (at - faultBegin).Seconds()
	}
	if at := s.control.ejectedAt[faultyWorker]; at > 0 {
		f.ejected = (at - faultBegin).Seconds()
	}
	f.attemptsAtFaulty = stats.AttemptsAtFaulty
	f.wrongEjections = sum(s.control.ejections) - s.control.ejections[faultyWorker]
	f.harmedShare = 1 - float64(sum(stats.InTime))/float64(sum(stats.Requests))
	return f
}

// healthyTraces returns traces in which no upstream is worse than its peers. The digit at the start
// of a name sorts the table.
func healthyTraces() map[string]*Trace {
	onAllUpstreams := func(f Fault) func(time.Duration, int, int) Fault {
		return func(at time.Duration, _, _ int) Fault {
			if at < faultStart {
				return Fault{}
			}
			return f
		}
	}
	return map[string]*Trace{
		"1 noise, load 0.6":               {Load: moderateLoad},
		"2 all 3 times slower, load 0.25": {Load: 0.25, FaultOf: onAllUpstreams(Fault{Slowness: 3})},
		"3 all fail 30%, load 0.6":        {Load: moderateLoad, FaultOf: onAllUpstreams(Fault{FailureRate: 0.3})},
		"4 overload 3, least urgent":      {Load: 3, Flood: 2},
		"5 overload 3, most urgent":       {Load: 3, Flood: 0},
	}
}

// FalseEjections measures ejections and suspicions when no upstream is unhealthy.
func FalseEjections(c Config, d *Deployment) Table {
	t := Table{Header: []string{"trace", "method", "ejections per upstream-day", "suspicions per upstream-day", "ejections in all"}}
	traces := healthyTraces()
	names := make([]string, 0, len(traces))
	for name := range traces {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		tr := *traces[name]
		tr.Duration, tr.Noise = healthyDuration, true
		for _, m := range c.methods() {
			type count struct{ ejections, suspicions int }
			results := forEachSeed(c, func(seed uint64) count {
				s := newSim(d, &tr, m, seed)
				s.run()
				return count{sum(s.control.ejections), sum(s.control.suspicions)}
			})
			days := float64(d.Workers) * tr.Duration.Hours() / 24
			total := 0
			for _, r := range results {
				total += r.ejections
			}
			t.Add(name, m,
				medianAndHighest(results, 1, func(r count) float64 { return float64(r.ejections) / days }),
				medianAndHighest(results, 1, func(r count) float64 { return float64(r.suspicions) / days }),
				fmt.Sprint(total))
		}
	}
	return t
}

// overloadResult is the result of one overload trial. Slices are indexed by level.
type overloadResult struct {
	inTime    []float64 // share of requests answered in time
	keptShare []float64 // useful slot time relative to the smaller of guaranteed share and offered load
	goodput   float64   // useful slot time as a fraction of capacity
	attempts  float64   // per request
	lateShare float64   // share of admitted work that missed its deadline
	ejections int
}

var overloadLoads = []float64{0.8, 1, 2, 5}

// Overload measures how well each rank is served when the least urgent rank floods the service, and
// when the most urgent one does.
func Overload(c Config, d *Deployment) Table {
	t := Table{Header: []string{"flood", "load", "in time % by rank", "kept of share % by rank",
		"goodput % of capacity", "goodput % of that at 1", "attempts per request", "admitted but late %", "ejections"}}
	for _, flood := range []int{len(d.Kinds) - 1, 0} {
		base := forEachSeed(c, func(seed uint64) overloadResult { return runOverload(d, flood, 1, seed) })
		for _, load := range overloadLoads {
			results := forEachSeed(c, func(seed uint64) overloadResult { return runOverload(d, flood, load, seed) })
			relative := make([]float64, len(results))
			for i := range base {
				relative[i] = 100 * results[i].goodput / base[i].goodput
			}
			t.Add(d.Kinds[flood].Name, fmt.Sprint(load),
				formatByLevel(results, func(r overloadResult) []float64 { return r.inTime }),
				formatByLevel(results, func(r overloadResult) []float64 { return r.keptShare }),
				medianAndLowest(results, 1, func(r overloadResult) float64 { return 100 * r.goodput }),
				medianAndLowest(relative, 1, func(v float64) float64 { return v }),
				medianAndHighest(results, 3, func(r overloadResult) float64 { return r.attempts }),
				medianAndHighest(results, 2, func(r overloadResult) float64 { return 100 * r.lateShare }),
				medianAndHighest(results, 0, func(r overloadResult) float64 { return float64(r.ejections) }))
		}
	}
	return t
}

func runOverload(d *Deployment, flood int, load float64, seed uint64) overloadResult {
	tr := &Trace{Duration: overloadDuration, Load: load, Flood: flood, Noise: true}
	s := newSim(d, tr, Methods[0], seed)
	stats := s.run()
	capacity := 0.0
	for _, w := range s.workers {
		capacity += (overloadDuration - warmUp).Seconds() * float64(d.Slots) / w.noise.speed
	}
	r := overloadResult{
		goodput:   sum(stats.UsefulSlotTime).Seconds() / capacity,
		attempts:  float64(sum(stats.Attempts)) / float64(sum(stats.Requests)),
		lateShare: float64(sum(stats.Late)+sum(stats.Failed)) / float64(sum(stats.Late)+sum(stats.Failed)+sum(stats.InTime)),
		ejections: sum(s.control.ejections),
	}
	nominal := (overloadDuration - warmUp).Seconds() * float64(d.Workers*d.Slots)
	for level, offered := range tr.offeredLoads(d) {
		r.inTime = append(r.inTime, float64(stats.InTime[level])/float64(max(stats.Requests[level], 1)))
		share := d.Shares[level]
		if level == 0 {
			share = 1 - sumFloats(d.Shares)
		}
		r.keptShare = append(r.keptShare, stats.UsefulSlotTime[level].Seconds()/min(offered*nominal, share*capacity))
	}
	return r
}

func sumFloats(values []float64) float64 {
	n := 0.0
	for _, v := range values {
		n += v
	}
	return n
}

// AllFailing measures the attempts per request when every attempt fails at every upstream.
func AllFailing(c Config, d *Deployment) Table {
	t := Table{Header: []string{"trace", "attempts per request"}}
	tr := &Trace{Duration: overloadDuration, Load: moderateLoad, FaultOf: func(time.Duration, int, int) Fault { return Fault{FailureRate: 2} }}
	results := forEachSeed(c, func(seed uint64) float64 {
		stats := newSim(d, tr, Methods[0], seed).run()
		return float64(sum(stats.Attempts)) / float64(sum(stats.Requests))
	})
	t.Add("every attempt fails, load 0.6", medianAndHighest(results, 3, func(v float64) float64 { return v }))
	return t
}
