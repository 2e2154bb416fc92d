package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/wire"
)

// MessageSizes measures the encoded sizes of control messages and multiplies them by the rates at
// which a node sends and receives them in a fleet of the target size.
type MessageSizes struct{ Out io.Writer }

// Averages of one node in a fleet of the target size.
const (
	upstreamsPerNode    = 11 // of 9,300 upstreams in the fleet
	kindsPerService     = 3
	kindsSeenPerNode    = 50
	controlVMs          = 3
	groupReplicas       = 5
	groupsPerNode       = 0.1   // a region of 277 nodes has 27 groups
	requestsPerNode     = 205.0 // per second
	registerSeconds     = 16    // interval at which an upstream's registration is renewed
	burnSeconds         = 30    // interval at which a node sends its counts to each control VM
	heartbeatsPerSecond = 10    // rounds per group, each to four followers
	heartbeatBytes      = 19    // measured by the idle test of package idempotency: 760 B/s in 40 messages
	// streamOverhead is the number of bytes that TCP, IP and TLS add to a message and its
	// acknowledgement on an open connection.
	streamOverhead = 2*40 + 22 + 5
)

// sizeRow is one kind of message.
type sizeRow struct {
	name      string
	bytes     int     // of request and answer together
	perSecond float64 // exchanges that one node sends or receives
}

// Run prints the table of messages and their sum.
func (s MessageSizes) Run() error {
	rows, err := sizeRows()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "message\tbytes\twith overhead\tper second\tB/s")
	total := 0.0
	for _, r := range rows {
		withOverhead := r.bytes + 2*streamOverhead
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.0f\n", r.name, r.bytes, withOverhead, r.perSecond, float64(withOverhead)*r.perSecond)
		total += float64(withOverhead) * r.perSecond
	}
	fmt.Fprintf(w, "sum\t\t\t\t%.0f\n", total)
	return w.Flush()
}

func sizeRows() ([]sizeRow, error) {
	var err error
	size := func(messages ...any) int {
		n := 0
		for _, m := range messages {
			b, e := wire.Encode(m)
			if e != nil {
				err = e
			}
			n += len(b) + 5
		}
		return n
	}
	summaries, baselines := evidenceMessages()
	command, e := ejection.Encode(ejection.Command{
		Operation: ejection.OpRegister, Service: "storefront-12", Node: "puget-a-node-17", At: time.Now().UnixMilli(),
		Upstreams: []ejection.Registration{{Upstream: "storefront-12-worker-7"}}, LeaseMs: 24000,
	})
	if e != nil {
		return nil, e
	}
	resultSize := size(ejection.Result{Capacity: 18, Floor: 12, Upstreams: []ejection.Status{{Upstream: "storefront-12-worker-7"}}})
	totals := burn.Totals{Node: "puget-a-node-17", Incarnation: 1 << 40, UptimeMs: 1 << 30}
	for i := range kindsSeenPerNode {
		totals.Entries = append(totals.Entries, burn.Entry{
			Key:    burn.Key{Service: fmt.Sprintf("storefront-%d", i), Kind: fmt.Sprintf("browse-listings-%d", i)},
			Counts: burn.Counts{Requests: 1 << 25, Answered: 1 << 25, InTime: 1 << 25, Attempts: 1 << 25},
		})
	}
	claimSize := size(idempotency.Command{Now: time.Now().UnixMilli(), Ops: []idempotency.Op{{
		Kind: idempotency.OpClaim, Attempt: "01a23fbe-4602-7e52-aa9f-fc3c7ab4e69f-1", Expires: time.Now().UnixMilli(),
		Key: idempotency.Key{Service: "checkout-3", Kind: "charge", Caller: "nursery-12345", Value: "01a23fbe-4602-7e52-aa9f-fc3c7ab4e69f"},
	}}})
	registrations := float64(upstreamsPerNode) / registerSeconds
	// The factor 2: each exchange is sent by one node and received by another, so on average a node
	// receives as many as it sends.
	return []sizeRow{
		{"summary and baseline", size(summaries, baselines), 2 * upstreamsPerNode},
		{"registration with a ledger", len(command) + resultSize, 2 * registrations},
		{"registration, replicated to 4", len(command) + heartbeatBytes, 2 * (groupReplicas - 1) * registrations},
		{"counts for reports", size(totals, burn.Reply{}), controlVMs / float64(burnSeconds)},
		{"heartbeats of groups", 2 * heartbeatBytes, 2 * groupsPerNode * heartbeatsPerSecond * (groupReplicas - 1)},
		{"claim of a key (request traffic, at 10% of requests)", 2*claimSize + 4*claimSize, 0.1 * requestsPerNode},
	}, err
}

func evidenceMessages() (wire.Summaries, wire.Baselines) {
	sum := health.Summary{Upstream: "storefront-12-worker-7", Seq: 100_000}
	base := health.Baseline{Seq: 100_000}
	for i := range kindsPerService {
		name := fmt.Sprintf("browse-listings-%d", i)
		k := health.KindSummary{Kind: name, Succeeded: 6}
		for j := range 6 {
			k.Latencies.Add(time.Duration(8+2*j) * time.Millisecond)
		}
		sum.Kinds = append(sum.Kinds, k)
		base.Kinds = append(base.Kinds, health.KindBaseline{Kind: name, Peers: 17, FailureRate: 0.01, SlowBucket: 30, SlowRate: 0.02})
	}
	return wire.Summaries{Service: "storefront-12", Summaries: []health.Summary{sum}}, wire.Baselines{Baselines: []health.Baseline{base}}
}
