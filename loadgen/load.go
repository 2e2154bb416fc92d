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

// maxSamples is the largest number of faults that a report describes.
const maxSamples = 10

// Load is one run of the load generator.
type Load struct {
	settings   Settings
	kinds      []Kind
	commonRate Schedule
	sender     *sender
	results    *resultLog
	runName    string // makes work ids unique between runs

	phases      []time.Duration // start of each phase, a period of constant rates
	stats       [][]*phaseStats // by kind and phase
	warmUpStats *phaseStats

	start         time.Time
	lastWorkID    atomic.Uint64
	measuredCount atomic.Int64
	completed     atomic.Int64 // see Report.Completed
	countByKind   []atomic.Int64
	inFlight      chan struct{}
	running       sync.WaitGroup

	samplesMu sync.Mutex
	samples   []string
}

// New checks the settings, opens the results file and prepares a load.
func New(s Settings) (*Load, error) {
	kinds, err := s.parseKinds()
	if err != nil {
		return nil, err
	}
	commonRate, err := ParseSchedule(s.Rate)
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
		settings: s, kinds: kinds, commonRate: commonRate, sender: newSender(&s), results: results,
		runName:     uuid.NewString()[:8],
		warmUpStats: newPhaseStats(),
		countByKind: make([]atomic.Int64, len(kinds)),
		inFlight:    make(chan struct{}, s.MaxInFlight),
	}
	l.phases = l.phaseStarts()
	for range kinds {
		var row []*phaseStats
		for range l.phases {
			row = append(row, newPhaseStats())
		}
		l.stats = append(l.stats, row)
	}
	return l, nil
}

// phaseStarts returns the times at which the rate of any schedule changes.
func (l *Load) phaseStarts() []time.Duration {
	starts := []time.Duration{0}
	schedules := []Schedule{l.commonRate}
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

// Run sends the load, waits for all answers and returns the report. An error means that the load
// generator itself failed; failed checks are listed in the report.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	l.start = time.Now()
	var sendLoops sync.WaitGroup
	var sharedKinds []int
	for i := range l.kinds {
		if l.kinds[i].Rate == nil {
			sharedKinds = append(sharedKinds, i)
			continue
		}
		sendLoops.Go(func() { l.sendSchedule(ctx, l.kinds[i].Rate, []int{i}, uint64(i)+1) })
	}
	if len(sharedKinds) > 0 {
		sendLoops.Go(func() { l.sendSchedule(ctx, l.commonRate, sharedKinds, 0) })
	}
	sendLoops.Wait()
	l.running.Wait()
	elapsed := time.Since(l.start)
	l.sender.close()
	if err := l.results.close(); err != nil {
		return nil, fmt.Errorf("loadgen: results: %w", err)
	}
	return l.report(elapsed), nil
}

// sendSchedule sends the requests of one schedule; each is of one of the given kinds. streamID
// selects the sequence of random numbers.
func (l *Load) sendSchedule(ctx context.Context, schedule Schedule, kinds []int, streamID uint64) {
	r := rand.New(rand.NewPCG(l.settings.Seed, streamID))
	interval := r.ExpFloat64
	if l.settings.Constant {
		interval = func() float64 { return 1 }
	}
	arrivals := NewArrivals(schedule, interval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		offset, ok := arrivals.Next()
		if !ok || offset >= l.settings.WarmUp+l.settings.Duration {
			return
		}
		kind := l.chooseKind(r, kinds)
		planned := l.start.Add(offset)
		timer.Reset(time.Until(planned))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !l.startRequest(ctx, kind, offset, planned) {
			return
		}
	}
}

func (l *Load) chooseKind(r *rand.Rand, kinds []int) int {
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

// startRequest starts one request without waiting for its answer. It returns false once
// Settings.Count is reached.
func (l *Load) startRequest(ctx context.Context, kind int, offset time.Duration, planned time.Time) bool {
	stats := l.warmUpStats
	if offset >= l.settings.WarmUp {
		if n := l.measuredCount.Add(1); l.settings.Count > 0 && n > l.settings.Count {
			return false
		}
		stats = l.stats[kind][l.phaseOf(offset)]
	}
	if n := l.countByKind[kind].Add(1); l.kinds[kind].Limit > 0 && n > l.kinds[kind].Limit {
		return true
	}
	select {
	case l.inFlight <- struct{}{}:
	default:
		stats.addOverflow()
		return true
	}
	l.running.Go(func() {
		defer func() { <-l.inFlight }()
		l.runRequest(ctx, &l.kinds[kind], stats, planned)
	})
	return true
}

func (l *Load) phaseOf(offset time.Duration) int {
	i, found := slices.BinarySearch(l.phases, offset)
	if found {
		return i
	}
	return i - 1
}

// runRequest sends one request, resends it if allowed, and records the result.
func (l *Load) runRequest(ctx context.Context, kind *Kind, stats *phaseStats, planned time.Time) {
	job := l.sender.newJob(kind, fmt.Sprintf("%s-%d", l.runName, l.lastWorkID.Add(1)))
	resent := 0
	for {
		attempt := l.sender.send(job)
		l.results.write(job, &attempt, resent, planned)
		v := &attempt.verdict
		if v.detail != nil {
			l.addSample(fmt.Sprintf("%s %s to %s: %s: %v", kind.Name, job.expected.workID, attempt.target, v.fault, v.detail))
		}
		if !l.resendable(ctx, job, v, resent) {
			stats.record(v, attempt.status, resent, time.Since(planned))
			l.countCompleted(v)
			return
		}
		resent++
		time.Sleep(l.settings.ResendWait)
	}
}

// countCompleted counts an answer that arrives while requests are measured.
func (l *Load) countCompleted(v *verdict) {
	at := time.Since(l.start)
	inWindow := at >= l.settings.WarmUp && at < l.settings.WarmUp+l.settings.Duration
	if inWindow && v.fault == FaultNone && v.outcome == answered {
		l.completed.Add(1)
	}
}

// resendable reports whether the caller sends the request again: it carries an idempotency key and
// got no answer, neither a right nor a wrong one.
func (l *Load) resendable(ctx context.Context, job *job, v *verdict, resent int) bool {
	if job.key == "" || resent >= l.settings.Resend || ctx.Err() != nil {
		return false
	}
	if v.fault != FaultNone {
		return v.fault.isIncomplete()
	}
	return v.outcome != answered
}

func (l *Load) addSample(s string) {
	l.samplesMu.Lock()
	defer l.samplesMu.Unlock()
	if len(l.samples) < maxSamples {
		l.samples = append(l.samples, s)
	}
}

func (l *Load) report(elapsed time.Duration) *Report {
	r := &Report{Seed: l.settings.Seed, Elapsed: elapsed, Completed: l.completed.Load(), Samples: l.samples}
	r.WarmUp = kindReport("", []*phaseStats{l.warmUpStats}).Counts
	var allStats []*phaseStats
	for i := range l.kinds {
		r.Kinds = append(r.Kinds, kindReport(l.kinds[i].Name, l.stats[i]))
		allStats = append(allStats, l.stats[i]...)
	}
	r.Total = kindReport("total", allStats)
	if len(l.phases) > 1 {
		for p, from := range l.phases {
			phase := PhaseReport{From: from}
			for i := range l.kinds {
				phase.Kinds = append(phase.Kinds, kindReport(l.kinds[i].Name, l.stats[i][p:p+1]))
			}
			r.Phases = append(r.Phases, phase)
		}
	}
	r.addFailures(&l.settings)
	return r
}
