package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/godwithub/godwithub/loadgen"
	"github.com/godwithub/godwithub/localfleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/standin"
)

// Latency measures the latency that the system adds to a request. It sends requests to an upstream
// directly and through two nodes, one path after the other at each rate.
type Latency struct {
	Rates    []int
	Duration time.Duration // of each run
	Repeats  int
	Out      io.Writer
}

const (
	latencySubnet      = 210
	startTimeout       = 30 * time.Second
	latencyServiceTime = 2 * time.Millisecond
	latencySlots       = 200
)

// requestPath is one path of requests to the upstream.
type requestPath struct {
	name   string
	target string
	direct bool
}

// Run measures and prints one row for each rate, repeat and path.
func (l Latency) Run() error {
	paths := []requestPath{}
	for i, transport := range []string{"tls", "quic"} {
		f, remove, err := startPair(transport, latencySubnet+i)
		if err != nil {
			return err
		}
		defer remove()
		defer f.Stop()
		if i == 0 {
			paths = append(paths, requestPath{"direct", f.UpstreamAddrs[0], true})
		}
		paths = append(paths, requestPath{"two nodes, " + transport, f.CallerAddrs[0], false})
	}
	w := tabwriter.NewWriter(l.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "rate/s\tpath\tp50 ms\tp99 ms\tp99.9 ms\tadded p50\tadded p99\tcpu ms/request\tallocs/request\tanswered")
	for _, rate := range l.Rates {
		for range l.Repeats {
			if err := l.measureRate(w, rate, paths); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

// measureRate measures all paths once at one rate. The first path must be the direct one, with which
// the others are compared.
func (l Latency) measureRate(w io.Writer, rate int, paths []requestPath) error {
	var direct loadgen.Latency
	for i, p := range paths {
		before := ownUsage()
		r, err := l.runLoad(p, rate)
		if err != nil {
			return err
		}
		after := ownUsage()
		lat, n := r.Total.LatencyMs, float64(max(1, r.Total.Sent))
		if i == 0 {
			direct = lat
		}
		fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.0f\t%d of %d\n", rate, p.name, lat.P50, lat.P99, lat.P999,
			lat.P50-direct.P50, lat.P99-direct.P99, (after.cpu-before.cpu).Seconds()*1000/n,
			float64(after.allocs-before.allocs)/n, r.Total.Answered, r.Total.Sent)
	}
	return nil
}

func (l Latency) runLoad(p requestPath, rate int) (*loadgen.Report, error) {
	s := loadgen.DefaultSettings()
	s.Targets, s.Direct = []string{p.target}, p.direct
	s.Rate, s.Duration, s.WarmUp = fmt.Sprint(rate), l.Duration, l.Duration/5
	s.Kinds = []string{"name=browse,path=/list"}
	g, err := loadgen.New(s)
	if err != nil {
		return nil, err
	}
	return g.Run(context.Background())
}

// startPair starts two nodes, of which only the second has an upstream, so that a request to the
// first takes two hops.
func startPair(transport string, subnet int) (f *localfleet.Fleet, remove func(), err error) {
	dir, err := os.MkdirTemp("", "godwithub-bench-")
	if err != nil {
		return nil, nil, fmt.Errorf("bench: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	f, err = localfleet.Start(ctx, localfleet.Config{
		Dir: dir, Subnet: subnet, Nodes: 2, UpstreamVMs: []int{2}, LinkTransport: transport, Log: logging.Discard(),
		AdjustUpstream: func(s *standin.Settings) {
			s.ServiceTime, s.ServiceTimeSpread, s.Slots = latencyServiceTime, 0, latencySlots
		},
	}, localfleet.Shop())
	return f, func() { os.RemoveAll(dir) }, err
}
