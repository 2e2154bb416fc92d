// Command godwithub-demo starts a small fleet in one process and sends it requests,
// first while all is healthy, then while an upstream fails and while a node leaves. It
// prints the outcomes of the requests in each phase.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/godwithub/godwithub/loadgen"
	"github.com/godwithub/godwithub/localfleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/standin"
)

const (
	nodes         = 4
	subnet        = 200
	startTimeout  = 30 * time.Second
	requestRate   = "200"
	phaseDuration = 4 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "godwithub-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	fmt.Printf("starting a control VM, %d nodes in two failure domains and %d upstreams\n", nodes, nodes)
	f, err := localfleet.Start(ctx, localfleet.Config{
		Dir: dir, Subnet: subnet, Nodes: nodes, LinkTransport: "tls", Log: logging.Discard(),
		AdjustUpstream: func(s *standin.Settings) { s.ServiceTime, s.ServiceTimeSpread = 5*time.Millisecond, 5*time.Millisecond },
	}, localfleet.Shop())
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.WaitKeyedRequestsAnswered(ctx, "/orders"); err != nil {
		return err
	}
	if err := sendLoad(f.CallerAddrs, "all nodes and upstreams are healthy"); err != nil {
		return err
	}
	f.Standins[1].SetFaults(standin.Faults{ErrorShare: 0.5, Health: standin.ReportsHealthy})
	if err := sendLoad(f.CallerAddrs, "upstream 2 fails half of its requests, and its health endpoint reports that it is healthy"); err != nil {
		return err
	}
	f.Standins[1].SetFaults(standin.Faults{})
	go func() {
		time.Sleep(phaseDuration / 2)
		f.StopNode(nodes - 1)
	}()
	return sendLoad(f.CallerAddrs[:nodes-1], "node 4 leaves after half of the time")
}

// sendLoad sends requests to targets for one phase and prints a table of the outcomes.
func sendLoad(targets []string, description string) error {
	fmt.Printf("\n%s:\n", description)
	s := loadgen.DefaultSettings()
	s.Targets, s.Rate, s.Duration = targets, requestRate, phaseDuration
	s.Kinds = []string{"name=browse,path=/list,share=8", "name=order,method=POST,path=/orders,share=2,bytes=300,key=yes"}
	l, err := loadgen.New(s)
	if err != nil {
		return err
	}
	r, err := l.Run(context.Background())
	if err != nil {
		return err
	}
	return r.WriteTable(os.Stdout)
}
