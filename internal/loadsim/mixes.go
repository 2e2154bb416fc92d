package loadsim

import (
	"fmt"
	"math"
	"time"
)

// kindSpec is a kind of requests, or of calls if perSecond is 0.
type kindSpec struct {
	name, service       string
	level               int
	work                time.Duration // mean; uniform between 0.7 and 1.3 times that
	objective, deadline time.Duration
	perSecond           float64
	idempotent          bool
	// callShare of the runs make a number of calls, at once or one after the other.
	callShare float64
	call      *kindSpec
	calls     int
	parallel  bool
}

// serviceSpec is the number of upstreams of a service, and of the slots of each.
type serviceSpec struct{ upstreams, slots int }

// mix is a fleet with the kinds of requests that it serves.
type mix struct {
	playTime time.Duration
	services map[string]serviceSpec
	kinds    []*kindSpec
}

// situation describes the load and the faults of one simulation. Nil functions change nothing.
type situation struct {
	name   string
	seed   uint64                                      // of all random numbers
	load   func(at time.Duration, k *kindSpec) float64 // multiple of the usual load
	flood  float64                                     // further load of one caller, likewise
	resend bool                                        // callers resend at once, up to twice
	// failing says whether an upstream fails, and slow by which factor its work is longer.
	failing func(at time.Duration, upstream int) bool
	slow    func(at time.Duration, upstream int) float64
}

// shortMix is the deployment with too little capacity at half its size.
func shortMix(ledgerLevel int) *mix {
	const ms, s = time.Millisecond, time.Second
	voter := &kindSpec{name: "voter-check", service: "signatory", level: 0, work: 95 * ms, objective: time.Second, deadline: time.Second, idempotent: true}
	tallyRead := &kindSpec{name: "tally-read", service: "archive", level: 1, work: 95 * ms, objective: time.Second, deadline: time.Second, idempotent: true}
	return &mix{
		playTime: 25 * s,
		services: map[string]serviceSpec{"browse": {16, 4}, "signatory": {25, 4}, "archive": {3, 4}},
		kinds: []*kindSpec{
			{name: "petition-view", service: "browse", level: 0, work: 440 * ms, objective: 2500 * ms, deadline: 5 * time.Second, perSecond: 27, idempotent: true, callShare: 0.7, call: voter, calls: 2, parallel: true},
			{name: "sign", service: "signatory", level: 1, work: 330 * ms, objective: 2500 * ms, deadline: 5 * time.Second, perSecond: 88, callShare: 0.7, call: tallyRead, calls: 2},
			{name: "ledger-pull", service: "archive", level: ledgerLevel, work: 260 * ms, objective: 2500 * ms, deadline: 5 * time.Second, perSecond: 11.5, idempotent: true},
		},
	}
}

const callingMixName = "short, every request makes calls"

// callingMix is shortMix with calls by all requests that may make any.
func callingMix() *mix {
	m := shortMix(2)
	for _, k := range m.kinds {
		k.callShare = math.Ceil(k.callShare)
	}
	return m
}

// customerMix is the deployment with customers at a quarter of its size.
func customerMix() *mix {
	const ms, s = time.Millisecond, time.Second
	lookUp := &kindSpec{name: "look-up", service: "search", level: 1, work: 220 * ms, objective: 2500 * ms, deadline: 2500 * ms, idempotent: true}
	reserve := &kindSpec{name: "reserve", service: "circulation", level: 1, work: 220 * ms, objective: 2500 * ms, deadline: 2500 * ms, idempotent: true}
	return &mix{
		playTime: 65 * s,
		services: map[string]serviceSpec{"search": {6, 11}, "circulation": {10, 11}, "desk": {10, 11}},
		kinds: []*kindSpec{
			{name: "find", service: "search", level: 0, work: 900 * ms, objective: 4 * s, deadline: 8 * s, perSecond: 25, idempotent: true},
			{name: "loan", service: "circulation", level: 1, work: 1500 * ms, objective: 8 * s, deadline: 16 * s, perSecond: 25, callShare: 0.7, call: lookUp, calls: 1},
			{name: "report", service: "desk", level: 2, work: 2200 * ms, objective: 12 * s, deadline: 24 * s, perSecond: 25, idempotent: true, callShare: 0.7, call: reserve, calls: 1},
		},
	}
}

// kindsMix has kinds of one rank and caller that differ in work and deadline and compete for a service.
func kindsMix() *mix {
	const ms, s = time.Millisecond, time.Second
	return &mix{
		playTime: 45 * s,
		services: map[string]serviceSpec{"desk": {8, 4}},
		kinds: []*kindSpec{
			{name: "glance", service: "desk", level: 1, work: 150 * ms, objective: 1500 * ms, deadline: 3 * s, perSecond: 20, idempotent: true},
			{name: "order", service: "desk", level: 1, work: 600 * ms, objective: 2 * s, deadline: 4 * s, perSecond: 5},
			{name: "browse", service: "desk", level: 1, work: 600 * ms, objective: 5 * s, deadline: 10 * s, perSecond: 5, idempotent: true},
			{name: "compile", service: "desk", level: 1, work: 2 * s, objective: 8 * s, deadline: 16 * s, perSecond: 1.5},
			{name: "alert", service: "desk", level: 0, work: 300 * ms, objective: 2 * s, deadline: 4 * s, perSecond: 5, idempotent: true},
		},
	}
}

// steady returns a load that is a fixed multiple of the usual one.
func steady(factor float64) func(time.Duration, *kindSpec) float64 {
	return func(time.Duration, *kindSpec) float64 { return factor }
}

// half reports whether it is the turn of an upstream's half to be in a fault, for 3 s at a time.
func half(at time.Duration, upstream int) bool {
	return int(at/(3*time.Second))%2 == upstream%2
}

func situations() []situation {
	var list []situation
	for factor := 1.0; factor <= 5; factor++ {
		list = append(list, situation{name: fmt.Sprintf("%.0fx", factor), load: steady(factor)})
	}
	return append(list,
		situation{name: "waves", load: func(at time.Duration, _ *kindSpec) float64 {
			return 2 - 1.5*math.Cos(2*math.Pi*at.Seconds()/6)
		}},
		situation{name: "burst of one kind", load: func(at time.Duration, k *kindSpec) float64 {
			if at%(6*time.Second) < 2*time.Second && k.level == 1 {
				return 5
			}
			return 1
		}},
		situation{name: "flood of one customer", load: steady(1), flood: 3},
		situation{name: "resent at once", load: steady(1.5), resend: true},
		situation{name: "half failing", load: steady(1), failing: half},
		situation{name: "half slow", load: steady(1), slow: func(at time.Duration, u int) float64 {
			if half(at, u) {
				return 3
			}
			return 1
		}},
	)
}

// mixes returns the mixes by name. It is not known whether ledger-pull is more or less urgent than sign, so each
// order of their ranks is simulated.
func mixes() map[string]*mix {
	return map[string]*mix{
		"short, ledger-pull least urgent":      shortMix(2),
		"short, ledger-pull as urgent as sign": shortMix(1),
		"short, ledger-pull most urgent":       shortMix(0),
		callingMixName:                         callingMix(),
		"customers":                            customerMix(),
		"kinds of one rank":                    kindsMix(),
	}
}
