package trials

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/admission"
	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/crash"
	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/health"
)

// costRounds is the number of calls over which the cost of an operation is averaged.
const costRounds = 200_000

// Cost measures the real time that each decision takes. The admission queue holds 100 tickets
// throughout.
func Cost(_ Config, d *Deployment) Table {
	t := Table{Header: []string{"operation", "µs"}}
	measure := func(name string, rounds int, do func(i int)) {
		start := time.Now()
		for i := range rounds {
			do(i)
		}
		t.Add(name, fmt.Sprintf("%.2f", float64(time.Since(start).Microseconds())/float64(rounds)))
	}
	s := newSim(d, &Trace{Duration: time.Second}, "", 1)
	r := rand.New(rand.NewPCG(1, 2))
	in := s.ingresses[0]
	req := balance.Request{Region: "0", FailureDomain: "0", Level: 1, Idempotent: true}
	measure("request: balance.Pick", costRounds, func(int) { balance.Pick(r, req, in.candidates) })
	q := queueOf100(d)
	measure("request: admission Offer, Next, Done", costRounds, func(i int) {
		q.Offer(epoch, costTicket(d, uint64(i+1000)))
		ticket, _, _ := q.Next(epoch)
		q.Done(epoch, ticket, ticket.Expected)
	})
	measure("request: admission Threshold", costRounds, func(int) { q.Threshold(epoch) })
	m := newSequential(d)
	for w := range d.Workers {
		m.endInterval(epoch, w)
	}
	measure("request: health Observe", costRounds, func(i int) {
		m.observe(epoch, i%d.Workers, i%len(d.Kinds), health.Succeeded, 20*time.Millisecond)
	})
	measure("request: crash Refused", costRounds, func(i int) { crashTracker.Refused(epoch, crash.Fingerprint(i)) })
	measure("event: summary, pool and baseline of one upstream", costRounds/100, func(i int) {
		// Upstreams send their summaries at different times, so the baseline is recomputed for each
		// summary.
		w, now := i%d.Workers, epoch.Add(time.Duration(i)*health.Interval/time.Duration(d.Workers))
		m.observe(now, w, 0, health.Succeeded, 20*time.Millisecond)
		m.endInterval(now, w)
	})
	c := newController(s, Methods[0])
	measure("event: ledger command with all upstreams, encoded", costRounds/100, func(int) {
		command := ejection.Command{Operation: ejection.OpRegister, LeaseMs: 10_000}
		for w := range d.Workers {
			command.Upstreams = append(command.Upstreams, ejection.Registration{Upstream: upstreamID(w)})
		}
		c.propose(command)
	})
	return t
}

var crashTracker = crash.New()

func costTicket(d *Deployment, id uint64) admission.Ticket {
	level := int(id) % len(d.Kinds)
	return admission.Ticket{ID: id, Level: level, Caller: "caller", Weight: 1,
		Deadline: epoch.Add(time.Hour), Expected: d.Kinds[level].ServiceTime}
}

func queueOf100(d *Deployment) *admission.Queue {
	q := admission.New(admission.Options{Slots: d.Slots})
	var shares []admission.RankShare
	for level, share := range d.Shares {
		shares = append(shares, admission.RankShare{Level: level, Share: share})
	}
	q.SetRanks(shares)
	for id := range uint64(100) {
		q.Offer(epoch, costTicket(d, id))
	}
	return q
}
