// Command godwithub-load generates open-loop load and checks every response. Its
// exit code is 1 when a check failed and 2 when the load could not be sent.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithub/godwithub/loadgen"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

const (
	exitChecksFailed = 1
	exitLoadNotSent  = 2
)

func main() {
	report, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitLoadNotSent)
	}
	if len(report.Failures) > 0 {
		os.Exit(exitChecksFailed)
	}
}

func run() (*loadgen.Report, error) {
	s := loadgen.DefaultSettings()
	program := settings.Program{
		Name:        "godwithub-load",
		Description: "Open-loop load generator that checks every response.",
		Version:     version.Version,
	}
	if err := settings.Parse(program, &s, os.Args[1:]); err != nil {
		return nil, err
	}
	load, err := loadgen.New(s)
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	report, err := load.Run(ctx)
	if err != nil {
		return nil, err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return nil, err
	}
	return report, writeJSON(s.JSON, report)
}

func writeJSON(path string, report *loadgen.Report) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("loadgen: report: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("loadgen: report: %w", err)
	}
	return nil
}
