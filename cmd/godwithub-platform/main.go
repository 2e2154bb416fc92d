// Command godwithub-platform runs a node or a member of the control group with
// the settings that the users' platform hands out.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
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
	// Without a handler the signal would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	set, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case asNode.Used:
		own := set.Node()
		start := func(log *slog.Logger) (daemon, error) { return newNode(set, own, log) }
		return launch{&own, own.LogFormat, own.LogLevel, start}.run(ctx, set, reload)
	case asControl.Used:
		own := set.ControlMember()
		start := func(log *slog.Logger) (daemon, error) { return newControl(own, log) }
		return launch{&own, own.LogFormat, own.LogLevel, start}.run(ctx, set, reload)
	}
	return errors.New("godwithub-platform: node or control has to be named")
}

// daemon runs until its context ends.
type daemon interface {
	Run(ctx context.Context) error
}

// launch is what the start of a daemon needs.
type launch struct {
	own                 interface{ Check() error } // its settings, a pointer
	logFormat, logLevel string
	start               func(*slog.Logger) (daemon, error)
}

// run checks the daemon's settings, which come from those of the platform, and runs
// it. reload brings a signal whenever the platform's settings may have changed.
func (l launch) run(ctx context.Context, p *platform.Settings, reload <-chan os.Signal) error {
	if err := errors.Join(settings.Check(l.own), l.own.Check()); err != nil {
		return err
	}
	log, flush, err := logging.NewDaemon(ctx, os.Stdout, logging.Format(l.logFormat), l.logLevel)
	if err != nil {
		return err
	}
	defer flush()
	go watchSettings(ctx, p, reload, logging.Part(log, "settings"))
	d, err := l.start(log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// watchSettings reads the settings again at each signal, and logs what they change.
// The processes need none of it before their next start: seeds are for that, and
// other control members are known from membership.
func watchSettings(ctx context.Context, inForce *platform.Settings, reload <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.Warn("settings were not read again; the former stay in force", "fault", err)
			continue
		}
		log.Info("settings were read again", "changed_at_next_start", inForce.Changed(next))
	}
}

func newNode(p *platform.Settings, own node.Settings, log *slog.Logger) (daemon, error) {
	return node.New(own, log, node.Options{
		Join: node.JoinFleet(own), Callers: platform.Callers(), Upstreams: platform.Upstreams(),
		Announcements: platform.Announcements(p.HeartbeatInterval),
	})
}

// controlDaemon is a member of the control group with the fleet that it belongs to.
type controlDaemon struct {
	*controld.Daemon
	fleet *controld.Fleet
}

// Run implements daemon.
func (d controlDaemon) Run(ctx context.Context) error {
	defer d.fleet.Close()
	return d.Daemon.Run(ctx)
}

func newControl(own controld.Settings, log *slog.Logger) (daemon, error) {
	fleet, options := controld.NewFleet()
	options.Replicate, options.API = controld.Replicate, platform.OperatorAPI
	d, err := controld.New(own, log, options)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return controlDaemon{d, fleet}, nil
}
