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

// Sizes measures the encoded size of control messages and multiplies it by
// how often a node sends and receives them at the target size.
type Sizes struct{ Out io.Writer }

// The target: what one node has on average.
const (
	upstreamsPerNode   = 11 // 9,300 upstreams
	kindsPerService    = 3
	kindsSeenPerNode   = 50
	controlVMs         = 3
	groupReplicas      = 5
	groupsPerNode      = 0.1 // a region of 277 nodes has 27 groups
	requestsPerNode    = 205.0
	registerSeconds    = 16
	burnSeconds        = 30
	heartbeatsPerGroup = 10 // rounds a second, to four followers
	heartbeatBytes     = 19 // measured by idempotency's idle test: 760 B/s in 40 messages
	// streamOverhead is what TCP, IP and TLS add to a message and to its
	// acknowledgement on an open connection.
	streamOverhead = 2*40 + 22 + 5
)

// sizeRow is one kind of message.
type sizeRow struct {
	name  string
	bytes int     // request and answer together
	rate  float64 // exchanges a second, sent or received by one node
}

// Run prints the table.
func (s Sizes) Run() error {
	rows, err := sizeRows()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "message\tbytes\twith overhead\tper second\tB/s")
	total := 0.0
	for _, r := range rows {
		full := r.bytes + 2*streamOverhead
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.0f\n", r.name, r.bytes, full, r.rate, float64(full)*r.rate)
		total += float64(full) * r.rate
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
	answer := size(ejection.Result{Capacity: 18, Floor: 12, Upstreams: []ejection.Status{{Upstream: "storefront-12-worker-7"}}})
	totals := burn.Totals{Node: "puget-a-node-17", Boot: 1 << 40, UptimeMs: 1 << 30}
	for i := range kindsSeenPerNode {
		totals.Entries = append(totals.Entries, burn.Entry{
			Key:    burn.Key{Service: fmt.Sprintf("storefront-%d", i), Kind: fmt.Sprintf("browse-listings-%d", i)},
			Counts: burn.Counts{Asked: 1 << 25, Answered: 1 << 25, InTime: 1 << 25, Attempts: 1 << 25},
		})
	}
	claim := size(idempotency.Command{Now: time.Now().UnixMilli(), Ops: []idempotency.Op{{
		Kind: idempotency.OpClaim, Attempt: "01a23fbe-4602-7e52-aa9f-fc3c7ab4e69f-1", Expires: time.Now().UnixMilli(),
		Key: idempotency.Key{Service: "checkout-3", Kind: "charge", Caller: "nursery-12345", Value: "01a23fbe-4602-7e52-aa9f-fc3c7ab4e69f"},
	}}})
	registrations := float64(upstreamsPerNode) / registerSeconds
	// A node sends its own and takes in, on average, as many of others: each
	// exchange has two ends.
	return []sizeRow{
		{"summary and baseline", size(summaries, baselines), 2 * upstreamsPerNode},
		{"registration with a ledger", len(command) + answer, 2 * registrations},
		{"registration, replicated to 4", len(command) + heartbeatBytes, 2 * (groupReplicas - 1) * registrations},
		{"counts for reports", size(totals, burn.Reply{}), controlVMs / float64(burnSeconds)},
		{"heartbeats of groups", 2 * heartbeatBytes, 2 * groupsPerNode * heartbeatsPerGroup * (groupReplicas - 1)},
		{"claim of a key (work, at 10% of requests)", 2*claim + 4*claim, 0.1 * requestsPerNode},
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
