package crash

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// Fleet and callers of each simulation.
const (
	simUpstreams   = 12 // one on each node
	simSlots       = 4
	simUtilization = 0.5
	simDuration    = 2 * time.Minute
	simRestart     = 3 * time.Second
	simAttempts    = 3 // of one request
	simRetryDelay  = 10 * time.Millisecond
	simDetection   = 35 * time.Millisecond // longest delay until a node notices a crash
	simDelivery    = 20 * time.Millisecond // longest delay of a message
	simCrashTime   = 50 * time.Millisecond // longest time in which a request crashes its upstream
	simSettled     = time.Second           // delay after the third crash from which retries count
	simCrashing    = Fingerprint(1 << 40)  // the request that crashes upstreams
	simUnique      = Fingerprint(1 << 41)  // the first of those that are sent once
)

// simKind is a kind of proper requests.
type simKind struct {
	share  float64
	work   time.Duration // mean; uniform between half and one and a half times that
	unique bool          // each request has a fingerprint of its own
}

// simEnds is how upstreams end by themselves.
type simEnds struct {
	name        string
	meanLife    time.Duration // of each process; 0 if it does not end
	powerLoss   time.Duration // interval at which half of the upstreams end at once
	release     time.Duration // interval at which all upstreams end one after the other
	releaseStep time.Duration
}

// simCrasher is how callers send the request that crashes upstreams.
type simCrasher struct {
	name     string
	interval time.Duration // 0: it is not sent
	copies   int           // sent at once
	work     time.Duration // longest time until it crashes its upstream
}

// simSettings are the settings of one simulation.
type simSettings struct {
	kinds    []simKind
	ends     simEnds
	crasher  simCrasher
	keepsIDs bool // an upstream keeps its ID when it starts again
}

type simRequest struct {
	fingerprint Fingerprint
	work        time.Duration
	attempts    int
}

type simRun struct {
	*simRequest
	began time.Time
}

// simUpstream is an upstream with its node.
type simUpstream struct {
	id      fleet.UpstreamID
	number  int
	process int // counts starts
	alive   bool
	running []*simRun
	tracker *Tracker
}

type simulation struct {
	simSettings
	random    *rand.Rand
	now       time.Time
	events    simEvents
	nextID    int
	upstreams []*simUpstream

	proper, refused int // requests that do not crash upstreams
	crashes         int // by simCrashing
	thirdCrash      time.Time
	lateRetries     int // runs of simCrashing that began later than simSettled after the third crash
}

// simulate plays one fleet. All random numbers come from the seed.
func simulate(seed uint64, settings simSettings) *simulation {
	s := &simulation{simSettings: settings, random: rand.New(rand.NewPCG(seed, 43)), now: start}
	for i := range simUpstreams {
		u := &simUpstream{number: i, tracker: New()}
		s.upstreams = append(s.upstreams, u)
		s.start(u)
	}
	s.sendProper()
	s.every(s.crasher.interval, func() {
		for range s.crasher.copies {
			s.send(&simRequest{fingerprint: simCrashing, work: s.upTo(s.crasher.work)})
		}
	})
	s.every(s.ends.powerLoss, func() {
		for _, i := range s.random.Perm(simUpstreams)[:simUpstreams/2] {
			s.end(s.upstreams[i])
		}
	})
	s.every(s.ends.release, func() {
		for i, u := range s.upstreams {
			s.after(time.Duration(i)*s.ends.releaseStep, func() { s.end(u) })
		}
	})
	for len(s.events) > 0 && s.now.Sub(start) < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// start starts a process of an upstream.
func (s *simulation) start(u *simUpstream) {
	u.process++
	if u.id == "" || !s.keepsIDs {
		u.id = fleet.UpstreamID(fmt.Sprintf("u%d-%d", u.number, u.process))
	}
	u.alive, u.running = true, nil
	if s.ends.meanLife == 0 {
		return
	}
	process := u.process
	s.after(time.Duration(s.random.ExpFloat64()*float64(s.ends.meanLife)), func() {
		if u.process == process {
			s.end(u)
		}
	})
}

// end ends the process of an upstream. Its node reports the runs that this interrupts, and each is tried again.
func (s *simulation) end(u *simUpstream) {
	if !u.alive {
		return
	}
	runs, id := u.running, u.id
	u.alive, u.running = false, nil
	s.after(simRestart, func() { s.start(u) })
	if len(runs) == 0 {
		return
	}
	detected := s.upTo(simDetection)
	s.after(detected, func() { s.report(u, id, runs) })
	// Another interrupted run may report the crash as well, when the slots of the first ones are free.
	s.after(simDetection, func() { s.report(u, id, runs[len(runs)-1:]) })
	for _, r := range runs {
		s.after(detected+simRetryDelay, func() { s.send(r.simRequest) })
	}
}

// report reports a crash to all nodes.
func (s *simulation) report(u *simUpstream, id fleet.UpstreamID, runs []*simRun) {
	c := Crash{Upstream: id}
	for _, r := range runs {
		c.InFlight = append(c.InFlight, Run{r.fingerprint, s.now.Sub(r.began), u.tracker.AnsweredAgo(s.now, r.fingerprint)})
	}
	u.tracker.Report(s.now, c)
	s.deliver(u, func(t *Tracker) { t.Report(s.now, c) })
}

// complete records that an upstream has answered a request, which its node tells the others if they need to know.
func (s *simulation) complete(u *simUpstream, f Fingerprint) {
	if !u.tracker.Completed(s.now, f) {
		return
	}
	s.after(s.upTo(MaxShareDelay), func() {
		if ago, ok := u.tracker.TakeUnshared(s.now, f); ok {
			s.deliver(u, func(t *Tracker) { t.AnsweredElsewhere(s.now, f, ago) })
		}
	})
}

// deliver delivers a message to the nodes of all other upstreams.
func (s *simulation) deliver(from *simUpstream, receive func(*Tracker)) {
	for _, u := range s.upstreams {
		if u != from {
			s.after(s.upTo(simDelivery), func() { receive(u.tracker) })
		}
	}
}

// sendProper sends a random proper request, and the next one after a random time.
func (s *simulation) sendProper() {
	work := 0.0
	for _, k := range s.kinds {
		work += k.share * k.work.Seconds()
	}
	perSecond := simUtilization * simUpstreams * simSlots / work
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), s.sendProper)
	drawn, i := s.random.Float64(), 0
	for ; i < len(s.kinds)-1 && drawn >= s.kinds[i].share; i++ {
		drawn -= s.kinds[i].share
	}
	k := s.kinds[i]
	r := &simRequest{fingerprint: Fingerprint(i), work: time.Duration((0.5 + s.random.Float64()) * float64(k.work))}
	if k.unique {
		s.nextID++
		r.fingerprint = simUnique + Fingerprint(s.nextID)
	}
	s.proper++
	s.send(r)
}

// send sends a request to the less busy of two random upstreams. It is lost if both are full or no attempt is left.
func (s *simulation) send(r *simRequest) {
	var best *simUpstream
	for range 2 {
		u := s.upstreams[s.random.IntN(simUpstreams)]
		if u.alive && len(u.running) < simSlots && (best == nil || len(u.running) < len(best.running)) {
			best = u
		}
	}
	if best == nil || r.attempts == simAttempts {
		return
	}
	r.attempts++
	if best.tracker.Refused(s.now, r.fingerprint) {
		if r.fingerprint != simCrashing {
			s.refused++
		}
		return
	}
	s.run(best, r)
}

// run runs a request at an upstream.
func (s *simulation) run(u *simUpstream, r *simRequest) {
	run, process := &simRun{r, s.now}, u.process
	u.running = append(u.running, run)
	if r.fingerprint == simCrashing && s.crashes >= 3 && s.now.Sub(s.thirdCrash) > simSettled {
		s.lateRetries++
	}
	s.after(r.work, func() {
		if !u.alive || u.process != process {
			return
		}
		if r.fingerprint == simCrashing {
			s.crash(u)
			return
		}
		u.running = slices.DeleteFunc(u.running, func(o *simRun) bool { return o == run })
		s.complete(u, r.fingerprint)
	})
}

// crash ends an upstream that runs simCrashing.
func (s *simulation) crash(u *simUpstream) {
	if s.crashes++; s.crashes == 3 {
		s.thirdCrash = s.now
	}
	s.end(u)
}

// upTo returns a random duration.
func (s *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(limit))
}

// every calls do at an interval, or never if that is 0.
func (s *simulation) every(interval time.Duration, do func()) {
	if interval > 0 {
		s.after(interval, func() {
			do()
			s.every(interval, do)
		})
	}
}

func (s *simulation) after(delay time.Duration, do func()) {
	s.nextID++
	heap.Push(&s.events, simEvent{s.now.Add(delay), s.nextID, do})
}

// simEvent is a step of a simulation. Steps at the same time are in the order of their numbers.
type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
