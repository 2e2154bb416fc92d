// Command godwithub-node accepts callers' requests and dispatches requests to the
// upstreams of its VM. One runs on each VM that hosts upstreams.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/internal/shutdown"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// Headers with the key and the name of a customer, as docs/callers.md describes them.
const (
	headerCustomerKey = "Godwithub-Customer-Key"
	headerCustomer    = "Godwithub-Customer"
)

func main() {
	set := node.Defaults()
	err := settings.Parse(settings.Program{
		Name:        "godwithub-node",
		Description: "Accepts callers' requests and dispatches requests to the upstreams of its VM.",
		Version:     version.Version,
	}, &set, os.Args[1:])
	if err = errors.Join(err, set.Check()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func run(set node.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, flush, err := logging.NewDaemon(ctx, os.Stderr, logging.Format(set.LogFormat), set.LogLevel)
	if err != nil {
		return err
	}
	defer flush()
	defer shutdown.LogSignals(log)()
	n, err := node.New(set, log, options(set))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// options returns the options of a node that reads the keys of customers.
func options(set node.Settings) node.Options {
	callers, upstreams := ingress.OwnProtocol(), dispatch.OwnProtocol()
	callers.Credential, upstreams.Customer = headerCustomerKey, headerCustomer
	return node.Options{Join: node.JoinFleet(set), CallerProtocol: callers, UpstreamProtocol: upstreams}
}
