// Command godwithub-bench-fleet measures membership and the distribution of the
// configuration: fleets of nodes in this process, each with a UDP socket and a
// TLS listener of its own on 127.0.0.1, and one control. It prints Markdown.
//
// Nodes are in three regions, but there is no latency between them.
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
	Nodes   string        `flag:"nodes" usage:"sizes of the fleets, one after the other, separated by commas" validate:"required"`
	Rest    time.Duration `flag:"rest" usage:"time to measure a fleet at rest" validate:"min=1s"`
	Churn   time.Duration `flag:"churn" usage:"time to measure a fleet with churn" validate:"min=1s"`
	Changes int           `flag:"changes" usage:"configuration changes, and drains, to time" validate:"min=1" range:"from 1"`
	// ChurnFactor scales the mean rates of the target scale.
	ChurnFactor float64 `flag:"churn-factor" usage:"churn as a multiple of a day's mean at the target scale" validate:"gt=0"`
	Objects     int     `flag:"objects" usage:"objects in the configuration at the start" validate:"min=1"`
}

func main() {
	o := options{
		Nodes: "10,50,100,200", Rest: 30 * time.Second, Churn: 30 * time.Second,
		Changes: 20, ChurnFactor: 10, Objects: 1000,
	}
	about := settings.Program{
		Name: "godwithub-bench-fleet", Description: "Measures membership and configuration on loopback.", Version: version.Version,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := settings.Parse(about, &o, os.Args[1:])
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
	report(os.Stdout, results)
	return nil
}
