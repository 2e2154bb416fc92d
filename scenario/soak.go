package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Soak describes a randomized script: a fleet under load, to which faults of many
// kinds come in overlapping series, and the promises that are checked of it.
type Soak struct {
	Seed uint64
	// Faults is the time in which faults begin.
	Faults time.Duration
	Nodes  int // 3 or more; each with one upstream
}

const (
	// soakRate is the load in requests per second and caller node.
	soakRate = 60
	// soakControls is the size of the control group: one member may be away.
	soakControls = 3
	// soakCallers is how many nodes callers use.
	soakCallers = 3
	// The time between the begins of two faults is a quarter of soakGap and up to
	// soakGap more. One fault lasts up to soakLength.
	soakGap    = 900 * time.Millisecond
	soakLength = 4 * time.Second
	// soakTail is the time in which all faults have ended and requests go on.
	soakTail = 3 * time.Second
)

// step is one line of the script at a time from its start.
type step struct {
	at   time.Duration
	line string
}

// soakFault is a kind of fault: how it begins and ends, at a target.
type soakFault struct{ begin, end string }

// Faults of processes of nodes and control, of links between nodes, and of
// upstreams. N stands for the number of the target.
var (
	nodeFaults = []soakFault{
		{"proc kill nN", "proc restart nN"},
		{"proc stop nN", "proc restart nN"},
		{"proc freeze nN", "proc thaw nN"},
	}
	controlFaults = []soakFault{
		{"proc kill cN", "proc restart cN"},
		{"proc stop cN", "proc restart cN"},
		{"proc freeze cN", "proc thaw cN"},
	}
	linkFaults = []soakFault{
		{"relay cut rN to", "relay heal rN"},
		{"relay cut rN from", "relay heal rN"},
		{"relay cut rN both", "relay heal rN"},
		{"relay delay rN both 80ms", "relay delay rN both 0s"},
		{"relay silence rN", "relay heal rN"},
		{"relay break rN", "relay heal rN"},
	}
	upstreamFaults = []soakFault{
		{`fault uN '{"errorShare":0.5,"health":"healthy"}'`, "fault uN none"},
		{`fault uN '{"errorShare":0.3,"shortShare":0.1,"crossShare":0.1,"lateShare":0.05,"lateMs":200,"health":"healthy"}'`, "fault uN none"},
		{`fault uN '{"slowness":20,"flapMs":700}'`, "fault uN none"},
		{`fault uN '{"freeze":true}'`, "fault uN none"},
		{"proc freeze uN", "proc thaw uN"},
	}
)

// Script returns the script in the language of this package. The same Soak
// always gives the same script.
func (s Soak) Script() string {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, "# Soak with seed %d: %s of faults at %d nodes.\n", s.Seed, s.Faults, s.Nodes)
	s.writeFleet(&b)
	now := time.Duration(0)
	for _, st := range s.steps(r) {
		if wait := st.at - now; wait > 0 {
			fmt.Fprintf(&b, "exec sleep %.3f\n", wait.Seconds())
			now = st.at
		}
		fmt.Fprintln(&b, st.line)
	}
	s.writeChecks(&b)
	return b.String()
}

func (s Soak) writeFleet(b *strings.Builder) {
	fmt.Fprintf(b, "fleet control %d\nfleet config default\n", soakControls)
	fmt.Fprintln(b, "fleet seeds $VM1:7000 $VM2:7000 $VM3:7000")
	domains := []string{"doto obihiro-a", "doto kushiro-b"}
	for n := 1; n <= s.Nodes; n++ {
		fmt.Fprintf(b, "relay start r%d $VM%d:7000 $VM%d:7000\n", n, relayVM+n, n)
		fmt.Fprintf(b, "fleet node n%d %s -link-advertise $VM%d:7000\n", n, domains[n%len(domains)], relayVM+n)
	}
	for n := 1; n <= s.Nodes; n++ {
		fmt.Fprintf(b, "fleet upstream u%d n%d shop\nproc keep u%d\n", n, n, n)
	}
	fmt.Fprintf(b, "fleet ready %d 15s\nfleet watch\n", s.Nodes)
	callers := ""
	for n := 1; n <= soakCallers; n++ {
		callers += fmt.Sprintf(" @n%d", n)
	}
	load := s.Faults + soakLength + soakTail
	fmt.Fprintf(b, "load start main%s -rate %d -duration %s -kind name=browse,path=/browse -kind name=order,method=POST,path=/orders,bytes=200 "+
		"-max-in-flight 10000 -allow-broken -1 -allow-overflow -1\n", callers, soakRate*soakCallers, load)
}

// relayVM is the number of the VM before the first relay.
const relayVM = 40

// steps returns the faults in the order of time. A target has one fault at a
// time; faults of different targets overlap.
func (s Soak) steps(r *rand.Rand) []step {
	var steps []step
	busyUntil := map[string]time.Duration{}
	gap := time.Duration(0)
	for at := time.Second; at < s.Faults; at += gap {
		faults, letter, targets := s.drawKind(r)
		n := 1 + r.IntN(targets)
		gap = soakGap/4 + randomPart(r, soakGap)
		end := at + soakLength/10 + randomPart(r, soakLength*9/10)
		f := faults[r.IntN(len(faults))]
		target := fmt.Sprint(letter, n)
		if letter == controlLetter {
			// Two members of control that are away at once leave no majority.
			target = letter
		}
		if busyUntil[target] > at {
			continue
		}
		busyUntil[target] = end + settleTime
		steps = append(steps, step{at, numbered(f.begin, n)}, step{end, numbered(f.end, n)})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// randomPart returns a random part of d.
func randomPart(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}

// settleTime is the least time between two faults of one target, in which a
// process starts again.
const settleTime = 300 * time.Millisecond

// controlLetter begins the names of members of control.
const controlLetter = "c"

// drawKind returns the faults of a kind of target, its letter in names, and the
// number of targets.
func (s Soak) drawKind(r *rand.Rand) ([]soakFault, string, int) {
	switch r.IntN(6) {
	case 0, 1:
		return nodeFaults, "n", s.Nodes
	case 2:
		return controlFaults, controlLetter, soakControls
	case 3:
		return linkFaults, "r", s.Nodes
	}
	return upstreamFaults, "u", s.Nodes
}

// numbered puts the number of the target in the place of N.
func numbered(line string, n int) string {
	return strings.Replace(line, "N", fmt.Sprint(n), 1)
}

// writeChecks checks the promises from what callers and upstreams have seen, and
// that the fleet serves again.
func (s Soak) writeChecks(b *strings.Builder) {
	fmt.Fprintf(b, "load wait main\nfleet ready %d 30s\n", s.Nodes)
	for _, what := range []string{"crossed", "short", "altered", "header"} {
		fmt.Fprintf(b, "report main total.%s == 0\n", what)
	}
	fmt.Fprint(b, "report main total.answered > 0\nruns max 1 path=/orders\nruns not-run main\nruns answered main\nfleet steady\n")
	fmt.Fprint(b, "load run after @nodes -rate 100 -duration 3s -kind name=browse,path=/browse/after -min-answered 0.99\n")
}
