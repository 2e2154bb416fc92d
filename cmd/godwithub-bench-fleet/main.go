// Command godwithub-bench-fleet measures membership and the distribution of the
// configuration. For each size it runs a fleet of nodes and one control server in this
// process. Each node has its own UDP socket and TLS listener on 127.0.0.1. The results
// are printed as Markdown.
//
// The nodes belong to three regions, but there is no latency between the regions.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

type options struct {
	Nodes   string        `flag:"nodes" usage:"numbers of nodes of the fleets to measure, separated by commas" validate:"required"`
	Rest    time.Duration `flag:"rest" usage:"how long to measure a fleet without changes" validate:"min=1s"`
	Churn   time.Duration `flag:"churn" usage:"how long to measure a fleet with churn" validate:"min=1s"`
	Changes int           `flag:"changes" usage:"number of configuration changes to time, and of drains" validate:"min=1" range:"from 1"`
	// ChurnFactor multiplies the mean rates of change at the target scale.
	ChurnFactor float64 `flag:"churn-factor" usage:"churn as a multiple of a day's mean at the target scale" validate:"gt=0"`
	Objects     int     `flag:"objects" usage:"number of objects in the configuration at the start" validate:"min=1"`
}

func main() {
	o := options{
		Nodes: "10,50,100,200", Rest: 30 * time.Second, Churn: 30 * time.Second,
		Changes: 20, ChurnFactor: 10, Objects: 1000,
	}
	program := settings.Program{
		Name: "godwithub-bench-fleet", Description: "Measures membership and the distribution of the configuration on loopback.", Version: version.Version,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := settings.Parse(program, &o, os.Args[1:])
	if err == nil {
		err = run(ctx, o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var results []result
	for _, text := range strings.Split(o.Nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		r, err := measure(ctx, o, n)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		fmt.Fprintf(os.Stderr, "%+v\n", r)
		results = append(results, r)
	}
	writeReport(os.Stdout, results)
	return nil
}
