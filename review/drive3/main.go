package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases that this program plays, by name. Each returns the exit code of its script.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"stray":     runStray,
	"removed":   runRemoved,
	"unfounded": runUnfounded,
	"damaged":   runDamaged,
	"firstack":  runFirstAck,
}

// main plays a case: drive3 CASE FOLDER. With TROUBLE=0 in the environment, the disruption is left out.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	endOnSignal()
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
	}
	os.Exit(code)
}

// maxLength is how long a case may take.
const maxLength = 115 * time.Second

// endOnSignal ends all started processes and this one at a signal, or if the case takes too long.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxLength):
		}
		started.killAll()
		os.Exit(exitNotRun)
	}()
}
