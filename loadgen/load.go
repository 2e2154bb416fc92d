package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// maxSamples bounds the faults that a report explains.
const maxSamples = 10

// Load is one run of the load generator.
type Load struct {
	settings Settings
	kinds    []Kind
	common   Schedule
	sender   *sender
	results  *resultLog
	runName  string // makes work ids unique between runs

	phases []time.Duration // start of each phase
	cells  [][]*cell       // by kind and phase
	warm   *cell

	start    time.Time
	ids      atomic.Uint64
	measured atomic.Int64
	byKind   []atomic.Int64
	inFlight chan struct{}
	requests sync.WaitGroup

	samplesMu sync.Mutex
	samples   []string
}

// New checks the settings and prepares a load.
func New(s Settings) (*Load, error) {
	kinds, err := s.parseKinds()
	if err != nil {
		return nil, err
	}
	common, err := ParseSchedule(s.Rate)
	if err != nil {
		return nil, err
	}
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	results, err := openResults(s.Results)
	if err != nil {
		return nil, err
	}
	l := &Load{
		settings: s, kinds: kinds, common: common, sender: newSender(&s), results: results,
		runName:  uuid.NewString()[:8],
		warm:     newCell(),
		byKind:   make([]atomic.Int64, len(kinds)),
		inFlight: make(chan struct{}, s.MaxInFlight),
	}
	l.phases = l.phaseStarts()
	for range kinds {
		var row []*cell
		for range l.phases {
			row = append(row, newCell())
		}
		l.cells = append(l.cells, row)
	}
	return l, nil
}

// phaseStarts returns the times at which any rate changes.
func (l *Load) phaseStarts() []time.Duration {
	starts := []time.Duration{0}
	schedules := []Schedule{l.common}
	for i := range l.kinds {
		schedules = append(schedules, l.kinds[i].Rate)
	}
	for _, s := range schedules {
		for _, step := range s {
			starts = append(starts, step.From)
		}
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// Run sends the load, waits for all answers and returns the report. An error
// is a failure of the load generator itself; failed checks are in the report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	l.start = time.Now()
	var streams sync.WaitGroup
	var shared []int
	for i := range l.kinds {
		if l.kinds[i].Rate == nil {
			shared = append(shared, i)
			continue
		}
		streams.Go(func() { l.stream(ctx, l.kinds[i].Rate, []int{i}, uint64(i)+1) })
	}
	if len(shared) > 0 {
		streams.Go(func() { l.stream(ctx, l.common, shared, 0) })
	}
	streams.Wait()
	l.requests.Wait()
	elapsed := time.Since(l.start)
	l.sender.close()
	if err := l.results.close(); err != nil {
		return nil, fmt.Errorf("loadgen: results: %w", err)
	}
	return l.report(elapsed), nil
}

// stream sends the arrivals of one schedule, each of one of the given kinds.
func (l *Load) stream(ctx context.Context, schedule Schedule, kinds []int, streamID uint64) {
	r := rand.New(rand.NewPCG(l.settings.Seed, streamID))
	interval := r.ExpFloat64
	if l.settings.Constant {
		interval = func() float64 { return 1 }
	}
	arrivals := NewArrivals(schedule, interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at, ok := arrivals.Next()
		if !ok || at >= l.settings.WarmUp+l.settings.Duration {
			return
		}
		kind := l.choose(r, kinds)
		planned := l.start.Add(at)
		timer.Reset(time.Until(planned))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !l.launch(ctx, kind, at, planned) {
			return
		}
	}
}

func (l *Load) choose(r *rand.Rand, kinds []int) int {
	sum := 0.0
	for _, k := range kinds {
		sum += l.kinds[k].Share
	}
	x := r.Float64() * sum
	for _, k := range kinds {
		x -= l.kinds[k].Share
		if x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

// launch sends one request without waiting for its answer. It returns false
// when the count of the load is reached.
func (l *Load) launch(ctx context.Context, kind int, at time.Duration, planned time.Time) bool {
	target := l.warm
	if at >= l.settings.WarmUp {
		if n := l.measured.Add(1); l.settings.Count > 0 && n > l.settings.Count {
			return false
		}
		target = l.cells[kind][l.phaseOf(at)]
	}
	if n := l.byKind[kind].Add(1); l.kinds[kind].Limit > 0 && n > l.kinds[kind].Limit {
		return true
	}
	select {
	case l.inFlight <- struct{}{}:
	default:
		target.overflow()
		return true
	}
	l.requests.Go(func() {
		defer func() { <-l.inFlight }()
		l.request(ctx, &l.kinds[kind], target, planned)
	})
	return true
}

func (l *Load) phaseOf(at time.Duration) int {
	i, found := slices.BinarySearch(l.phases, at)
	if found {
		return i
	}
	return i - 1
}

// request sends one request, resends it if allowed, and records the result.
func (l *Load) request(ctx context.Context, kind *Kind, target *cell, planned time.Time) {
	job := l.sender.newJob(kind, fmt.Sprintf("%s-%d", l.runName, l.ids.Add(1)))
	resent := 0
	for {
		attempt := l.sender.send(job)
		l.results.write(job, &attempt, resent, planned)
		v := &attempt.verdict
		if v.detail != nil {
			l.sample(fmt.Sprintf("%s %s to %s: %s: %v", kind.Name, job.sent.workID, attempt.target, v.fault, v.detail))
		}
		if !l.resendable(ctx, job, v, resent) {
			target.record(v, attempt.status, resent, time.Since(planned))
			return
		}
		resent++
		time.Sleep(l.settings.ResendWait)
	}
}

// resendable reports whether the caller sends the request again: it carries a
// key and was neither answered nor answered wrongly.
func (l *Load) resendable(ctx context.Context, job *job, v *verdict, resent int) bool {
	if job.key == "" || resent >= l.settings.Resend || ctx.Err() != nil {
		return false
	}
	if v.fault != FaultNone {
		return v.fault.broken()
	}
	return v.outcome != answered
}

func (l *Load) sample(s string) {
	l.samplesMu.Lock()
	defer l.samplesMu.Unlock()
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
	}
}

func (l *Load) report(elapsed time.Duration) *Report {
	r := &Report{Seed: l.settings.Seed, Elapsed: elapsed, Samples: l.samples}
	r.WarmUp = kindReport("", []*cell{l.warm}).Counts
	var all []*cell
	for i := range l.kinds {
		r.Kinds = append(r.Kinds, kindReport(l.kinds[i].Name, l.cells[i]))
		all = append(all, l.cells[i]...)
	}
	r.Total = kindReport("total", all)
	if len(l.phases) > 1 {
		for p, from := range l.phases {
			phase := PhaseReport{From: from}
			for i := range l.kinds {
				phase.Kinds = append(phase.Kinds, kindReport(l.kinds[i].Name, l.cells[i][p:p+1]))
			}
			r.Phases = append(r.Phases, phase)
		}
	}
	r.judge(&l.settings)
	return r
}
