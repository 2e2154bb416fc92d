// Command godwithub-upstream runs a stand-in upstream for tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/standin"
	"github.com/godwithub/godwithub/version"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	s := standin.DefaultSettings()
	program := settings.Program{
		Name:        "godwithub-upstream",
		Description: "Stand-in upstream with slots, drain and faults, for tests.",
		Version:     version.Version,
	}
	if err := settings.Parse(program, &s, os.Args[1:]); err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, logging.Text, s.LogLevel)
	if err != nil {
		return err
	}
	u, err := standin.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return u.Run(ctx)
}
