package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// StopsSoak describes a randomized script of planned stops. The nodes stop in series that overlap, some get a further
// SIGTERM meanwhile, and clients go on using open connections until the processes are gone. Few of the requests take
// seconds; an estimate of their length therefore does not cover them. No request may be given up while its upstream is
// at work.
type StopsSoak struct {
	Seed   uint64
	Rounds int
}

const (
	// stopsNodes is the number of nodes. The first stopsCallers of them never stop and have no upstream, so that all
	// requests go to nodes that stop.
	stopsNodes, stopsCallers = 6, 2
	// stopsLameDuck and stopsDrain are the settings of the nodes, in whose sum a stop ends.
	stopsLameDuck, stopsDrain = time.Second, 3 * time.Second
	// stopsLongRun is how long a long request runs. One that is in flight when a stop begins ends before the stop.
	stopsLongRun = 3 * time.Second
	// stopsRate is the rate of requests in 1/s at the nodes that never stop, stopsLongShare the share of long ones.
	stopsRate, stopsLongShare = 90, 0.04
	// stopsKeptRate is the rate of short requests in 1/s at the nodes that stop.
	stopsKeptRate = 40
	// stopsSpread is the time within which the stops of a round begin.
	stopsSpread = 2 * time.Second
	// stopsWarmUp is the time of traffic before the stops of a round, in which nodes learn how long requests take.
	stopsWarmUp = 3 * time.Second
	// stopsRoundTime is about what a round takes, and no less.
	stopsRoundTime = stopsWarmUp + stopsSpread + stopsLameDuck + stopsDrain + time.Second
	// stopsExitTimeout bounds the wait for the end of a process.
	stopsExitTimeout = 10 * time.Second
)

// Script returns the script in the language of this package. It depends on nothing but s.
func (s StopsSoak) Script() string {
	var b strings.Builder
	r := rand.New(rand.NewPCG(s.Seed, 2))
	fmt.Fprintf(&b, "# Soak of planned stops with seed %d: %d rounds.\n", s.Seed, s.Rounds)
	fmt.Fprint(&b, "fleet control 1\nfleet config default\n")
	domains := []string{"doto obihiro-a", "doto kushiro-b"}
	for n := 1; n <= stopsNodes; n++ {
		fmt.Fprintf(&b, "fleet node n%d %s -lame-duck %s -drain-timeout %s\n", n, domains[n%len(domains)], stopsLameDuck, stopsDrain)
	}
	for n := stopsCallers + 1; n <= stopsNodes; n++ {
		fmt.Fprintf(&b, "fleet upstream u%d n%d shop -service-time 20ms -path /orders/long:%s:0s:512\n", n, n, stopsLongRun)
	}
	fmt.Fprintf(&b, "fleet ready %d 15s\n", stopsNodes-stopsCallers)
	s.writeLoads(&b)
	for range s.Rounds {
		s.writeRound(&b, r)
	}
	fmt.Fprint(&b, "load wait main\nload wait kept\n")
	fmt.Fprint(&b, "runs max 1 path=/orders\nruns not-run main kept\nruns answered main kept\nruns given-up main kept\nreport kept total.cut == 0\nreport main kinds.long.answered > 0\n")
	return b.String()
}

// writeLoads starts a load at the nodes that never stop, with the long requests, and one of short requests at those that
// stop. A stopping node may cut off long requests of its own callers.
func (s StopsSoak) writeLoads(b *strings.Builder) {
	var callers, stopping strings.Builder
	for n := 1; n <= stopsNodes; n++ {
		targets := &stopping
		if n <= stopsCallers {
			targets = &callers
		}
		fmt.Fprintf(targets, " @n%d", n)
	}
	duration := time.Duration(s.Rounds) * stopsRoundTime
	fmt.Fprintf(b, "load start main%s -rate %d -duration %s -seed %d -kind name=order,method=POST,path=/orders,bytes=200,share=%.2f"+
		" -kind name=long,method=POST,path=/orders/long,bytes=200,share=%.2f -allow-unknown -1 -allow-errors -1 -allow-broken -1 -allow-not-run -1\n",
		callers.String(), stopsRate, duration, s.Seed+1, 1-stopsLongShare, stopsLongShare)
	fmt.Fprintf(b, "load start kept%s -rate %d -duration %s -seed %d -kind name=browse,path=/browse"+
		" -kind name=order,method=POST,path=/orders/kept,bytes=200 -allow-unknown -1 -allow-errors -1 -allow-broken -1 -allow-not-run -1\n",
		stopping.String(), stopsKeptRate, duration, s.Seed+2)
}

// writeRound stops the nodes one after the other, without waiting for the end of each stop, and starts them again.
func (s StopsSoak) writeRound(b *strings.Builder, r *rand.Rand) {
	fmt.Fprintf(b, "fleet ready %d 15s\nexec sleep %.3f\n", stopsNodes-stopsCallers, stopsWarmUp.Seconds())
	var steps []step
	var order []int
	for _, i := range r.Perm(stopsNodes - stopsCallers) {
		n := stopsCallers + 1 + i
		at := randomBelow(r, stopsSpread)
		order = append(order, n)
		steps = append(steps, step{at, fmt.Sprintf("proc terminate n%d", n)})
		if r.IntN(3) == 0 {
			steps = append(steps, step{at + randomBelow(r, stopsLameDuck), fmt.Sprintf("proc terminate n%d", n)})
		}
	}
	writeSteps(b, steps)
	for _, n := range order {
		fmt.Fprintf(b, "proc exits n%d 0 %s\nproc restart n%d\n", n, stopsExitTimeout, n)
	}
}
