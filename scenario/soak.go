package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Soak describes a randomized script: a fleet under load, overlapping faults of many
// kinds, and checks of the guarantees that must hold throughout.
type Soak struct {
	Seed uint64
	// FaultPeriod is the length of the period in which faults begin.
	FaultPeriod time.Duration
	Nodes       int // at least 3; each has one upstream
}

const (
	// soakRate is the load in requests per second at each caller node.
	soakRate = 60
	// soakControls is the size of the control group, which tolerates the loss of one member.
	soakControls = 3
	// soakCallers is the number of nodes to which callers send requests.
	soakCallers = 3
	// The time from the start of one fault to that of the next is between 1/4 and 5/4 of
	// soakGap. A fault lasts up to soakLength.
	soakGap    = 900 * time.Millisecond
	soakLength = 4 * time.Second
	// soakMemoryMB is the memory of the smallest VMs that run a node.
	soakMemoryMB = 184
	// soakTail is how long the load continues after the last fault has ended.
	soakTail = 3 * time.Second
)

// step is one line of the script and the time at which it runs.
type step struct {
	at   time.Duration
	line string
}

// writeSteps writes steps in order of time, with waits in between.
func writeSteps(b *strings.Builder, steps []step) {
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	now := time.Duration(0)
	for _, st := range steps {
		if wait := st.at - now; wait > 0 {
			fmt.Fprintf(b, "exec sleep %.3f\n", wait.Seconds())
			now = st.at
		}
		fmt.Fprintln(b, st.line)
	}
}

// soakFault holds the script lines that begin and end a fault at a target.
type soakFault struct{ begin, end string }

// Faults of node and control processes, of links between nodes, and of upstreams. N
// stands for the number of the target.
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
		{`fault uN '{"errorShare":0.5,"endless":true,"health":"healthy"}'`, "fault uN none"},
		{`fault uN '{"slowness":20,"flapMs":700}'`, "fault uN none"},
		{`fault uN '{"freeze":true}'`, "fault uN none"},
		{"proc freeze uN", "proc thaw uN"},
	}
)

// Script returns the script in the language of this package. It depends on nothing but
// s, so that a failed run can be repeated from its seed.
func (s Soak) Script() string {
	r := rand.New(rand.NewPCG(s.Seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, "# Soak with seed %d: %s of faults at %d nodes.\n", s.Seed, s.FaultPeriod, s.Nodes)
	s.writeFleet(&b)
	writeSteps(&b, s.steps(r))
	s.writeChecks(&b)
	return b.String()
}

func (s Soak) writeFleet(b *strings.Builder) {
	fmt.Fprintf(b, "fleet control %d relayed\nfleet config default\n", soakControls)
	for _, c := range soakCustomers {
		fmt.Fprintln(b, "customer set", c.name, c.quota, c.keys)
	}
	fmt.Fprintln(b, "fleet seeds $VM1:7000 $VM2:7000 $VM3:7000")
	domains := []string{"doto obihiro-a", "doto kushiro-b"}
	for n := 1; n <= s.Nodes; n++ {
		fmt.Fprintf(b, "relay start r%d $VM%d:7000 $VM%d:7000\n", n, relayVMOffset+n, n)
		fmt.Fprintf(b, "fleet node n%d %s -link-advertise $VM%d:7000 -revocation-bound %s\n", n, domains[n%len(domains)], relayVMOffset+n, revocationBound)
	}
	for n := 1; n <= s.Nodes; n++ {
		fmt.Fprintf(b, "fleet upstream u%d n%d shop -path /browse/large:10ms:10ms:%d\nproc keep u%d\n", n, n, soakLargeAnswer, n)
	}
	fmt.Fprintf(b, "fleet ready %d 15s\nfleet watch\n", s.Nodes)
	callers := ""
	for n := 1; n <= soakCallers; n++ {
		callers += fmt.Sprintf(" @n%d", n)
	}
	loadDuration := s.FaultPeriod + soakLength + soakTail
	fmt.Fprintf(b, "load start main%s -rate %d -duration %s%s -max-in-flight 10000 -allow-broken -1 -allow-overflow -1\n",
		callers, soakRate*soakCallers, loadDuration, soakKinds()+slowReaderKinds())
}

// relayVMOffset is added to the number of a node for the number of its relay's VM.
const relayVMOffset = 30

// steps returns the beginnings and ends of all faults. A target has one
// fault at a time; faults of different targets overlap.
func (s Soak) steps(r *rand.Rand) []step {
	var steps []step
	busyUntil := map[string]time.Duration{}
	gap := time.Duration(0)
	for at := time.Second; at < s.FaultPeriod; at += gap {
		faults, prefix, targets := s.drawKind(r)
		n := 1 + r.IntN(targets)
		gap = soakGap/4 + randomBelow(r, soakGap)
		end := at + soakLength/10 + randomBelow(r, soakLength*9/10)
		f := faults[r.IntN(len(faults))]
		target := fmt.Sprint(prefix, n)
		if prefix == controlPrefix {
			// The control group counts as one target, since two members that are down
			// at once leave no majority.
			target = prefix
		}
		if busyUntil[target] > at {
			continue
		}
		busyUntil[target] = end + minFaultGap
		steps = append(steps, step{at, numbered(f.begin, n)}, step{end, numbered(f.end, n)})
	}
	steps = append(steps, s.removals()...)
	return steps
}

// randomBelow returns a random duration less than d.
func randomBelow(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d)))
}

// minFaultGap is the minimum time between two faults of one target, in which a process
// can restart.
const minFaultGap = 300 * time.Millisecond

// controlPrefix is the prefix of the names of control members.
const controlPrefix = "c"

// drawKind chooses a kind of target at random. It returns the faults of the kind, the
// prefix of the targets' names, and the number of targets.
func (s Soak) drawKind(r *rand.Rand) ([]soakFault, string, int) {
	switch r.IntN(6) {
	case 0, 1:
		return nodeFaults, "n", s.Nodes
	case 2:
		return controlFaults, controlPrefix, soakControls
	case 3:
		return linkFaults, "r", s.Nodes
	}
	return upstreamFaults, "u", s.Nodes
}

// numbered replaces N in line by the number of the target.
func numbered(line string, n int) string {
	return strings.Replace(line, "N", fmt.Sprint(n), 1)
}

// writeChecks writes the checks: the guarantees, from the records of callers and
// upstreams, and that the fleet serves requests normally after the faults.
func (s Soak) writeChecks(b *strings.Builder) {
	fmt.Fprintf(b, "load wait main\nfleet ready %d 30s\n", s.Nodes)
	s.writeIsolation(b)
	for _, field := range []string{"crossed", "short", "altered", "header"} {
		fmt.Fprintf(b, "report main total.%s == 0\n", field)
	}
	fmt.Fprint(b, "report main total.answered > 0\nruns max 1 path=/orders\nruns not-run main isolated\nruns answered main isolated\nfleet steady\n")
	fmt.Fprint(b, "customer removed main isolated\ncustomer quotas\ncustomer hidden\n")
	fmt.Fprintf(b, "report main kinds.%s-read%d.answered > 0\n", soakReaderKey, soakReadRates[0])
	for n := 1; n <= s.Nodes; n++ {
		fmt.Fprintf(b, "proc memory n%d %d\n", n, soakMemoryMB)
	}
	fmt.Fprint(b, "load run after @nodes -rate 100 -duration 3s -kind name=browse,path=/browse/after,customerkey="+keyPrefix+soakReaderKey+" -min-answered 0.99\n")
}
