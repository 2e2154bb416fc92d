package scenario

import (
	"fmt"
	"strings"
	"time"
)

// soakCustomer is a customer of a soak: its quota as rate and burst, and the labels of its keys.
type soakCustomer struct{ name, quota, keys string }

// soakCustomers are the customers of a soak. The load sends about 70 requests per second for bolt, so that it exceeds
// its quota. The first key of each customer is removed during the faults, and a3 after them, while a node is cut off.
var soakCustomers = []soakCustomer{
	{"acme", "0 0", "a1 a2 a3"},
	{"bolt", "20 20", "b1 b2"},
}

const (
	// soakReaderKey is the key of the slow readers, which is not removed.
	soakReaderKey = "a2"
	// soakIsolatedNode is the number of the node that is cut off.
	soakIsolatedNode = 3
	// soakReaders is the rate at which slow readers of each read rate send requests, per second.
	soakReaders = 1
	// soakLargeAnswer is the size in bytes of the answers to slow readers.
	soakLargeAnswer = 3_000_000
)

// soakReadRates are the rates in bytes per second at which slow readers read. With the first, an answer is read before
// the deadline of its kind; with the second, it takes longer than a node waits.
var soakReadRates = []int{2_000_000, 250_000}

// soakKinds returns the flags for the kinds of requests with each key.
func soakKinds() string {
	var b strings.Builder
	for _, c := range soakCustomers {
		for key := range strings.FieldsSeq(c.keys) {
			fmt.Fprintf(&b, " -kind name=%s-browse,path=/browse,customerkey=%s%s,share=3", key, keyPrefix, key)
			fmt.Fprintf(&b, " -kind name=%s-order,method=POST,path=/orders,bytes=200,customerkey=%s%s,share=1", key, keyPrefix, key)
		}
	}
	return b.String()
}

// slowReaderKinds returns the flags for the kinds of requests of slow readers.
func slowReaderKinds() string {
	var b strings.Builder
	for _, rate := range soakReadRates {
		fmt.Fprintf(&b, " -kind name=%s-read%d,path=/browse/large,read=%d,customerkey=%s%s,rate=%d", soakReaderKey, rate, rate, keyPrefix, soakReaderKey, soakReaders)
	}
	return b.String()
}

// removals returns the steps that remove the first key of each customer. The load goes on for longer than
// revocationBound after them.
func (s Soak) removals() []step {
	var steps []step
	for i, c := range soakCustomers {
		_, kept, _ := strings.Cut(c.keys, " ")
		at := time.Duration(i+1) * s.FaultPeriod / time.Duration(len(soakCustomers)+2)
		steps = append(steps, step{at, fmt.Sprintf("customer set %s %s %s", c.name, c.quota, kept)})
	}
	return steps
}

// writeIsolation writes a phase in which a key is removed while a node with an upstream and callers has no link to
// any other process, for longer than revocationBound. The upstream is started for this phase: the one that the node has
// may be ejected, and the node would refuse all requests whether or not it knows the keys.
func (s Soak) writeIsolation(b *strings.Builder) {
	own, ownIP := fmt.Sprint("r", soakIsolatedNode), fmt.Sprint("$n", soakIsolatedNode)
	relays := []string{own}
	var cuts []string
	cutOff := func(name, relay string) {
		relays = append(relays, relay)
		// The isolated node reaches its own upstream through its own relay, so only others are cut off from that.
		cuts = append(cuts, fmt.Sprintf("relay cut %s both $%s", own, name), fmt.Sprintf("relay cut %s both %s", relay, ownIP))
	}
	for n := 1; n <= soakControls; n++ {
		cutOff(controlName(n), controlName(n))
	}
	for n := 1; n <= s.Nodes; n++ {
		if n != soakIsolatedNode {
			cutOff(fmt.Sprint("n", n), fmt.Sprint("r", n))
		}
	}
	upstreams := s.Nodes + 1
	fmt.Fprintf(b, "fleet upstream u%d n%d shop\nfleet ready %d 30s\n", upstreams, soakIsolatedNode, upstreams)
	fmt.Fprintf(b, "load start isolated @n%d -rate 60 -duration %s%s\n", soakIsolatedNode, revocationBound+soakTail, soakKinds())
	fmt.Fprintln(b, strings.Join(cuts, "\n"))
	acme := soakCustomers[0]
	fmt.Fprintf(b, "customer set %s %s %s\n", acme.name, acme.quota, soakReaderKey)
	fmt.Fprint(b, "load wait isolated\n")
	for _, relay := range relays {
		fmt.Fprintf(b, "relay heal %s\n", relay)
	}
	fmt.Fprintf(b, "report isolated kinds.%s-browse.answered > 0\nfleet ready %d 30s\n", soakReaderKey, upstreams)
}
