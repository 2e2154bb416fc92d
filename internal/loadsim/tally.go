package loadsim

import (
	"fmt"
	"math"
	"time"
)

// warmUp is the time after which callers' results count.
const warmUp = 5 * time.Second

// counts is what the requests of one kind got.
type counts struct{ offered, inObjective, refusedAtOnce, refusedLate, failed int }

// tally counts what callers got and how slots were used after the warm-up.
type tally struct {
	kinds map[string]*counts
	// atService holds, by service and level, the requests and calls that were offered and served in time,
	// and their slot time. It leaves out those that failing upstreams have failed, which no order can serve.
	atService             map[serviceLevel]*serviceCounts
	wasted, used          time.Duration
	idle, slots           int
	waitedLong, requested int // requests refused after a quarter of their objective, and all
}

type serviceLevel struct {
	service string
	level   int
}

type serviceCounts struct {
	offered, served int
	slotTime        time.Duration
}

func newTally() tally {
	return tally{kinds: map[string]*counts{}, atService: map[serviceLevel]*serviceCounts{}}
}

func (t *tally) at(service string, level int) *serviceCounts {
	key := serviceLevel{service, level}
	if t.atService[key] == nil {
		t.atService[key] = &serviceCounts{}
	}
	return t.atService[key]
}

// ran counts the slot time of a run.
func (t *tally) ran(now time.Time, j *job, level int, slotTime time.Duration) {
	if now.Sub(start) > warmUp {
		t.at(j.kind.service, level).slotTime += slotTime
	}
}

// answered counts a request or call.
func (t *tally) answered(now time.Time, j *job, r result) {
	if now.Sub(start) < warmUp {
		return
	}
	t.requested++
	if r == refused && now.Sub(j.began) > j.kind.objective/4 {
		t.waitedLong++
	}
	if j.caller == "flood" || r == failed && j.faulted {
		return
	}
	c := t.at(j.kind.service, j.kind.level)
	c.offered++
	if r == served {
		c.served++
	}
}

// ended counts a request of a caller.
func (t *tally) ended(now time.Time, j *job, r result) {
	if now.Sub(start) < warmUp {
		return
	}
	t.used += j.spent
	if r != served {
		t.wasted += j.spent
	}
	if j.caller == "flood" {
		return
	}
	c := t.kinds[j.kind.name]
	if c == nil {
		c = &counts{}
		t.kinds[j.kind.name] = c
	}
	c.offered++
	switch took := now.Sub(j.began); {
	case r == served && took <= j.kind.objective:
		c.inObjective++
	case r == failed:
		c.failed++
	case r == refused && took < 10*time.Millisecond:
		c.refusedAtOnce++
	case r == refused:
		c.refusedLate++
	}
}

// sampled counts slots, and those that were idle while requests waited.
func (t *tally) sampled(now time.Time, idle, slots int) {
	if now.Sub(start) > warmUp {
		t.idle += idle
		t.slots += slots
	}
}

// total returns the sum over all kinds.
func (t *tally) total() (c counts) {
	for _, k := range t.kinds {
		c.offered += k.offered
		c.inObjective += k.inObjective
		c.refusedAtOnce += k.refusedAtOnce
		c.refusedLate += k.refusedLate
		c.failed += k.failed
	}
	return c
}

func percent[T int | time.Duration](part, whole T) string {
	return fmt.Sprintf("%.1f", 100*float64(part)/math.Max(float64(whole), 1))
}
