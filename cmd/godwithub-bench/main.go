// Command godwithub-bench measures parts of the system on one machine.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/godwithub/godwithub/bench"
	"github.com/godwithub/godwithub/version"
)

func main() {
	duration := 10 * time.Second
	flaggy.SetName("godwithub-bench")
	flaggy.SetDescription("Measures parts of the system on one machine.")
	flaggy.SetVersion(version.Version)
	links := flaggy.NewSubcommand("links")
	links.Description = "compare the transports between nodes"
	links.Duration(&duration, "", "duration", "length of each run")
	flaggy.AttachSubcommand(links, 1)
	repeats := 3
	latency := flaggy.NewSubcommand("latency")
	latency.Description = "measure the latency that two nodes add to a request"
	latency.Duration(&duration, "", "duration", "length of each run")
	latency.Int(&repeats, "", "repeats", "number of runs at each rate")
	flaggy.AttachSubcommand(latency, 1)
	sizes := flaggy.NewSubcommand("sizes")
	sizes.Description = "measure the size and the traffic of control messages at the target size of the fleet"
	flaggy.AttachSubcommand(sizes, 1)
	connections := 400
	conns := flaggy.NewSubcommand("connections")
	conns.Description = "measure the memory of a node with many upstream connections; run it in the repository"
	conns.Int(&connections, "", "count", "number of connections in use at once")
	flaggy.AttachSubcommand(conns, 1)
	callers, routes := 0, 0
	var nodeCounts []int
	idle := flaggy.NewSubcommand("idle")
	idle.Description = "measure idle nodes that run as processes; run it in the repository"
	idle.Duration(&duration, "", "duration", "how long to observe each fleet size")
	idle.IntSlice(&nodeCounts, "", "nodes", "fleet size to measure, repeatable (default: 5, 10, 20, 40)")
	idle.Int(&callers, "", "callers", "number of callers in the configuration")
	idle.Int(&routes, "", "routes", "number of routes in the configuration")
	flaggy.AttachSubcommand(idle, 1)
	flaggy.Parse()
	var err error
	switch {
	case links.Used:
		err = bench.Links{Rates: []int{200, 2000, 5000}, Duration: duration, QUICConns: []int{1, 2, 8}, Out: os.Stdout}.Run()
	case latency.Used:
		err = bench.Latency{Rates: []int{200, 2000}, Duration: duration, Repeats: repeats, Out: os.Stdout}.Run()
	case conns.Used:
		err = bench.Connections{Count: connections, Out: os.Stdout}.Run()
	case sizes.Used:
		err = bench.MessageSizes{Out: os.Stdout}.Run()
	case idle.Used:
		if len(nodeCounts) == 0 {
			nodeCounts = []int{5, 10, 20, 40}
		}
		err = bench.Idle{NodeCounts: nodeCounts, Duration: duration, Callers: callers, Routes: routes, Out: os.Stdout}.Run()
	default:
		flaggy.ShowHelpAndExit("no subcommand is given")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
