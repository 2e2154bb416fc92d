// Command godwithub-control runs a member of the control group, which stores the
// configuration and serves the resource API.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithub/godwithub/controld"
	"github.com/godwithub/godwithub/internal/shutdown"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	s := controld.Defaults()
	program := settings.Program{
		Name:        "godwithub-control",
		Description: "Stores the configuration of the fleet and serves the resource API.",
		Version:     version.Version,
	}
	err := settings.Parse(program, &s, os.Args[1:])
	if err = errors.Join(err, s.Check()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log, flush, err := logging.NewDaemon(ctx, os.Stderr, logging.Format(s.LogFormat), s.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	defer shutdown.LogSignals(log)()
	fleet, options := controld.NewFleet()
	options.Replicate = controld.Replicate
	defer fleet.Close()
	d, err := controld.New(s, log, options)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
