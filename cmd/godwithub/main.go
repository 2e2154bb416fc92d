// Command godwithub is the operators' command line; see package cli.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/godwithub/godwithub/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
