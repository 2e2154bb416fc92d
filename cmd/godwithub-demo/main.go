// Command godwithub-demo starts a small fleet in one process, serves requests
// while it makes an upstream fail and a node leave, and prints what happened.
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
	nodes        = 4
	subnet       = 200
	startTimeout = 30 * time.Second
	rate         = "200"
	phase        = 4 * time.Second
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
		Upstream: func(s *standin.Settings) { s.ServiceTime, s.Spread = 5*time.Millisecond, 5*time.Millisecond },
	}, localfleet.Shop())
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.WaitClaims(ctx, "/orders"); err != nil {
		return err
	}
	if err := load(f.Callers, "all well"); err != nil {
		return err
	}
	f.Standins[1].SetFaults(standin.Faults{ErrorShare: 0.5, Health: standin.ReportsHealthy})
	if err := load(f.Callers, "upstream 2 fails half of its work, and its health endpoint says that it is well"); err != nil {
		return err
	}
	f.Standins[1].SetFaults(standin.Faults{})
	go func() {
		time.Sleep(phase / 2)
		f.StopNode(nodes - 1)
	}()
	return load(f.Callers[:nodes-1], "node 4 leaves half-way")
}

// load sends requests for one phase and prints what became of them.
func load(targets []string, what string) error {
	fmt.Printf("\n%s:\n", what)
	s := loadgen.DefaultSettings()
	s.Targets, s.Rate, s.Duration = targets, rate, phase
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
