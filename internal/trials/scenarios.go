package trials

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// faultStart leaves time for the baselines after the warm-up.
	faultStart = 40 * time.Second
	faultTime  = 60 * time.Second
	sickWorker = 3
	// usualLoad is that of trials which are not about overload.
	usualLoad = 0.6
	// healthyTime is the length of a trace without a unhealthy upstream.
	healthyTime = 3 * time.Minute
	loadTime    = 60 * time.Second
)

// detection is a trace with one unhealthy upstream.
type detection struct {
	name string
	of   func(since time.Duration, kind int) Fault
}

func constant(f Fault) func(time.Duration, int) Fault {
	return func(time.Duration, int) Fault { return f }
}

var detections = []detection{
	{"failures 10%", constant(Fault{Failures: 0.1})},
	{"failures 30%", constant(Fault{Failures: 0.3})},
	{"failures 100%", constant(Fault{Failures: 1})},
	{"3 times slower", constant(Fault{Slowness: 3})},
	{"10 times slower", constant(Fault{Slowness: 10})},
	{"one kind fails 50%", func(_ time.Duration, kind int) Fault {
		if kind == 0 {
			return Fault{Failures: 0.5}
		}
		return Fault{}
	}},
	{"flapping, 50% for 5 s of 10 s", func(since time.Duration, _ int) Fault {
		if since%(10*time.Second) < 5*time.Second {
			return Fault{Failures: 0.5}
		}
		return Fault{}
	}},
}

// Config selects what is measured.
type Config struct {
	Seeds    []uint64
	Parallel int
	Method   string // only this one of Methods; empty: all
}

func (c *Config) methods() []string {
	if c.Method != "" {
		return []string{c.Method}
	}
	return Methods
}

// each runs one function for all seeds, a few at a time, and returns the
// results in order of the seeds.
func each[T any](c Config, run func(seed uint64) T) []T {
	out := make([]T, len(c.Seeds))
	var g errgroup.Group
	g.SetLimit(max(c.Parallel, 1))
	for i, seed := range c.Seeds {
		g.Go(func() error {
			out[i] = run(seed)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	return out
}

// found is the result of one detection trial. Times are seconds from the start
// of the fault; notFound if there was no suspicion or ejection.
type found struct {
	suspected, ejected float64
	wrong              int     // ejections of other upstreams
	harmed             float64 // share of requests during the fault that were not answered in time
	part               float64 // atUnhealthy of that without a method
	atUnhealthy        int     // attempts that ran at the unhealthy upstream
}

const notFound = 1e9

// Detection measures how fast a unhealthy upstream is found.
func Detection(c Config, d *Deployment) Table {
	t := Table{Header: []string{"fault", "method", "suspected s", "ejected s", "wrong ejections", "requests harmed %", "work at it, % of that without a method"}}
	for _, sc := range detections {
		var base []found
		for _, m := range append([]string{""}, c.methods()...) {
			results := each(c, func(seed uint64) found { return detect(d, sc, m, seed) })
			if m == "" {
				base = results
			}
			for i := range results {
				results[i].part = float64(results[i].atUnhealthy) / float64(base[i].atUnhealthy)
			}
			t.Add(sc.name, methodName(m),
				spread(results, 2, func(f found) float64 { return f.suspected }),
				spread(results, 2, func(f found) float64 { return f.ejected }),
				spread(results, 0, func(f found) float64 { return float64(f.wrong) }),
				spread(results, 2, func(f found) float64 { return 100 * f.harmed }),
				spread(results, 1, func(f found) float64 { return 100 * f.part }))
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

func detect(d *Deployment, sc detection, method string, seed uint64) found {
	// The start differs between seeds, so that no method's windows are aligned
	// with it.
	begin := faultStart + time.Duration(seed)*3700*time.Millisecond%(10*time.Second)
	tr := &Trace{Duration: begin + faultTime, Load: usualLoad, Noise: true, FaultOf: func(at time.Duration, worker, kind int) Fault {
		if worker != sickWorker || at < begin {
			return Fault{}
		}
		return sc.of(at-begin, kind)
	}}
	s := newSim(d, tr, method, seed)
	s.stats.from = begin
	s.control.from = begin
	stats := s.run()
	f := found{suspected: notFound, ejected: notFound}
	if at := s.control.suspectedAt[sickWorker]; at > 0 {
		f.suspected = (at - begin).Seconds()
	}
	if at := s.control.ejectedAt[sickWorker]; at > 0 {
		f.ejected = (at - begin).Seconds()
	}
	f.atUnhealthy = stats.AtUnhealthy
	f.wrong = sum(s.control.ejections) - s.control.ejections[sickWorker]
	f.harmed = 1 - float64(sum(stats.InTime))/float64(sum(stats.Requests))
	return f
}

// healthyTraces are traces in which no upstream is worse than its peers.
func healthyTraces() map[string]*Trace {
	common := func(f Fault) func(time.Duration, int, int) Fault {
		return func(at time.Duration, _, _ int) Fault {
			if at < faultStart {
				return Fault{}
			}
			return f
		}
	}
	return map[string]*Trace{
		"1 noise, load 0.6":               {Load: usualLoad},
		"2 all 3 times slower, load 0.25": {Load: 0.25, FaultOf: common(Fault{Slowness: 3})},
		"3 all fail 30%, load 0.6":        {Load: usualLoad, FaultOf: common(Fault{Failures: 0.3})},
		"4 overload 3, least urgent":      {Load: 3, Flood: 2},
		"5 overload 3, most urgent":       {Load: 3, Flood: 0},
	}
}

// FalseEjections measures ejections and suspicions without a unhealthy upstream.
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
		tr.Duration, tr.Noise = healthyTime, true
		for _, m := range c.methods() {
			type count struct{ ejections, suspicions int }
			results := each(c, func(seed uint64) count {
				s := newSim(d, &tr, m, seed)
				s.run()
				return count{sum(s.control.ejections), sum(s.control.suspicions)}
			})
			days := float64(d.Workers) * tr.Duration.Hours() / 24
			all := 0
			for _, r := range results {
				all += r.ejections
			}
			t.Add(name, m,
				spread(results, 1, func(r count) float64 { return float64(r.ejections) / days }),
				spread(results, 1, func(r count) float64 { return float64(r.suspicions) / days }),
				fmt.Sprint(all))
		}
	}
	return t
}

// loadResult is the result of one overload trial, by level where it is a slice.
type loadResult struct {
	inTime   []float64 // share of requests answered in time
	kept     []float64 // useful slot time against the least of share and offer
	goodput  float64   // useful slot time as a part of capacity
	attempts float64   // per request
	late     float64   // share of admitted work that missed its deadline
	ejected  int
}

var loads = []float64{0.8, 1, 2, 5}

// Overload measures service by rank, with the flood from the least and from
// the most urgent rank.
func Overload(c Config, d *Deployment) Table {
	t := Table{Header: []string{"flood", "load", "in time % by rank", "kept of share % by rank",
		"goodput % of capacity", "goodput % of that at 1", "attempts per request", "admitted but late %", "ejections"}}
	for _, flood := range []int{len(d.Kinds) - 1, 0} {
		base := each(c, func(seed uint64) loadResult { return overload(d, flood, 1, seed) })
		for _, load := range loads {
			results := each(c, func(seed uint64) loadResult { return overload(d, flood, load, seed) })
			relative := make([]float64, len(results))
			for i := range base {
				relative[i] = 100 * results[i].goodput / base[i].goodput
			}
			t.Add(d.Kinds[flood].Name, fmt.Sprint(load),
				byLevel(results, func(r loadResult) []float64 { return r.inTime }),
				byLevel(results, func(r loadResult) []float64 { return r.kept }),
				spreadLow(results, 1, func(r loadResult) float64 { return 100 * r.goodput }),
				spreadLow(relative, 1, func(v float64) float64 { return v }),
				spread(results, 3, func(r loadResult) float64 { return r.attempts }),
				spread(results, 2, func(r loadResult) float64 { return 100 * r.late }),
				spread(results, 0, func(r loadResult) float64 { return float64(r.ejected) }))
		}
	}
	return t
}

func overload(d *Deployment, flood int, load float64, seed uint64) loadResult {
	tr := &Trace{Duration: loadTime, Load: load, Flood: flood, Noise: true}
	s := newSim(d, tr, Methods[0], seed)
	stats := s.run()
	capacity := 0.0
	for _, w := range s.workers {
		capacity += (loadTime - warmUp).Seconds() * float64(d.Slots) / w.noise.speed
	}
	r := loadResult{
		goodput:  sum(stats.Useful).Seconds() / capacity,
		attempts: float64(sum(stats.Attempts)) / float64(sum(stats.Requests)),
		late:     float64(sum(stats.Late)+sum(stats.Failed)) / float64(sum(stats.Late)+sum(stats.Failed)+sum(stats.InTime)),
		ejected:  sum(s.control.ejections),
	}
	nominal := (loadTime - warmUp).Seconds() * float64(d.Workers*d.Slots)
	for level, part := range tr.parts(d) {
		r.inTime = append(r.inTime, float64(stats.InTime[level])/float64(max(stats.Requests[level], 1)))
		share := d.Shares[level]
		if level == 0 {
			share = 1 - total(d.Shares)
		}
		r.kept = append(r.kept, stats.Useful[level].Seconds()/min(part*nominal, share*capacity))
	}
	return r
}

func total(values []float64) float64 {
	n := 0.0
	for _, v := range values {
		n += v
	}
	return n
}

// AllFailing measures attempts per request when every upstream fails.
func AllFailing(c Config, d *Deployment) Table {
	t := Table{Header: []string{"trace", "attempts per request"}}
	tr := &Trace{Duration: loadTime, Load: usualLoad, FaultOf: func(time.Duration, int, int) Fault { return Fault{Failures: 2} }}
	results := each(c, func(seed uint64) float64 {
		stats := newSim(d, tr, Methods[0], seed).run()
		return float64(sum(stats.Attempts)) / float64(sum(stats.Requests))
	})
	t.Add("every attempt fails, load 0.6", spread(results, 3, func(v float64) float64 { return v }))
	return t
}
