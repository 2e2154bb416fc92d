// Command godwithub-platform runs a node or a member of the control group with
// the settings that the users' platform provides.
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
	"github.com/godwithub/godwithub/internal/shutdown"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/platform"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

// gcPercent is the heap growth in percent that starts a garbage collection. The
// VMs give the system little memory. Its heaps have a few megabytes only, so more
// frequent collections cost little.
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
	parser.Description = "Runs a node or a member of the control group with the settings of the users' platform."
	parser.Version = version.Version
	asNode := flaggy.NewSubcommand("node")
	asNode.Description = "accept callers' requests and dispatch requests to the upstreams of this VM"
	asControl := flaggy.NewSubcommand("control")
	asControl.Description = "store the configuration of the fleet"
	parser.AttachSubcommand(asNode, 1)
	parser.AttachSubcommand(asControl, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	// Without this handler, SIGHUP would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	platformSettings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case asNode.Used:
		nodeSettings := platformSettings.Node()
		start := func(log *slog.Logger) (daemon, error) { return newNode(platformSettings, nodeSettings, log) }
		return launcher{&nodeSettings, nodeSettings.LogFormat, nodeSettings.LogLevel, start}.run(ctx, platformSettings, reload)
	case asControl.Used:
		controlSettings := platformSettings.ControlMember()
		start := func(log *slog.Logger) (daemon, error) { return newControl(controlSettings, log) }
		return launcher{&controlSettings, controlSettings.LogFormat, controlSettings.LogLevel, start}.run(ctx, platformSettings, reload)
	}
	return errors.New("godwithub-platform: no subcommand is given; it has to be node or control")
}

// daemon is a process that runs until its context ends.
type daemon interface {
	Run(ctx context.Context) error
}

// launcher holds what is needed to start a daemon.
type launcher struct {
	daemonSettings      interface{ Check() error } // a pointer to the daemon's settings
	logFormat, logLevel string
	start               func(*slog.Logger) (daemon, error)
}

// run checks the daemon's settings, which were made from p, and runs the daemon.
// reload receives a signal whenever the platform's settings may have changed.
func (l launcher) run(ctx context.Context, p *platform.Settings, reload <-chan os.Signal) error {
	if err := errors.Join(settings.Check(l.daemonSettings), l.daemonSettings.Check()); err != nil {
		return err
	}
	log, flush, err := logging.NewDaemon(ctx, os.Stdout, logging.Format(l.logFormat), l.logLevel)
	if err != nil {
		return err
	}
	defer flush()
	defer shutdown.LogSignals(log)()
	go watchSettings(ctx, p, reload, logging.Part(log, "settings"))
	d, err := l.start(log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// watchSettings reads the platform's settings again at each signal and logs the
// names of those that differ from current. They take effect at the next start of
// the process. No running process needs them: seeds are used at the start only, and
// a process learns of other control members from membership.
func watchSettings(ctx context.Context, current *platform.Settings, reload <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			log.Warn("settings were not read again; the previous ones stay in force", "fault", err)
			continue
		}
		log.Info("settings were read again", "changed_at_next_start", current.Changed(next))
	}
}

func newNode(p *platform.Settings, nodeSettings node.Settings, log *slog.Logger) (daemon, error) {
	return node.New(nodeSettings, log, node.Options{
		Join: node.JoinFleet(nodeSettings), CallerProtocol: platform.CallerProtocol(), UpstreamProtocol: platform.UpstreamProtocol(),
		Announcements: platform.Announcements(p.HeartbeatInterval, p.IP),
	})
}

// controlDaemon is a member of the control group and its connection to the fleet,
// which is closed when Run returns.
type controlDaemon struct {
	*controld.Daemon
	fleet *controld.Fleet
}

// Run implements daemon.
func (d controlDaemon) Run(ctx context.Context) error {
	defer d.fleet.Close()
	return d.Daemon.Run(ctx)
}

func newControl(controlSettings controld.Settings, log *slog.Logger) (daemon, error) {
	fleet, options := controld.NewFleet()
	options.Replicate, options.API = controld.Replicate, platform.OperatorAPI
	d, err := controld.New(controlSettings, log, options)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return controlDaemon{d, fleet}, nil
}
