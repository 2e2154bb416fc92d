// Command godwithub-platform runs a node or a member of the control group with
// the settings that the users' platform hands out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/godwithub/godwithub/controld"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/platform"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

// gcPercent is the growth of the heap, in percent, after which it is collected.
// The VMs give the system a small slot of memory and its heaps are of a few
// megabytes, so that more frequent collections cost little.
const gcPercent = 40

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	parser := flaggy.NewParser("godwithub-platform")
	parser.Description = "Runs a part of godwithub with the settings of the users' platform."
	parser.Version = version.Version
	asNode := flaggy.NewSubcommand("node")
	asNode.Description = "takes callers' requests and runs the upstreams of its VM"
	asControl := flaggy.NewSubcommand("control")
	asControl.Description = "stores the configuration of the fleet"
	parser.AttachSubcommand(asNode, 1)
	parser.AttachSubcommand(asControl, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	// A change of the settings file needs nothing: what it may change is known
	// from membership.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case asNode.Used:
		return runNode(ctx, set)
	case asControl.Used:
		return runControl(ctx, set)
	}
	return errors.New("godwithub-platform: node or control has to be named")
}

// check applies the rules of a daemon's own settings.
func check(set interface{ Check() error }) error {
	return errors.Join(settings.Check(set), set.Check())
}

func runNode(ctx context.Context, p *platform.Settings) error {
	set := p.Node()
	if err := check(&set); err != nil {
		return err
	}
	log, flush, err := logging.NewDaemon(ctx, os.Stdout, logging.Format(set.LogFormat), set.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	n, err := node.New(set, log, node.Options{
		Join: node.JoinFleet(set), Callers: platform.Callers(), Upstreams: platform.Upstreams(),
		Announcements: platform.Announcements(p.HeartbeatInterval),
	})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func runControl(ctx context.Context, p *platform.Settings) error {
	set := p.ControlMember()
	if err := check(&set); err != nil {
		return err
	}
	log, flush, err := logging.NewDaemon(ctx, os.Stdout, logging.Format(set.LogFormat), set.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	fleet, options := controld.NewFleet()
	options.Replicate, options.API = controld.Replicate, platform.OperatorAPI
	defer fleet.Close()
	d, err := controld.New(set, log, options)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
