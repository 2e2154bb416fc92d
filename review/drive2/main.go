// Command drive2 plays the cases of the second review that cannot be put as a day of the bench. It starts the
// project's programs as separate processes on loopback addresses and judges what an operator, callers and
// upstreams see.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is how long a case may take.
const timeLimit = 118 * time.Second

// broken is the error of a case in which the rule was broken.
type broken struct{ what string }

// Error implements error.
func (b *broken) Error() string { return b.what }

func breaks(format string, args ...any) error { return &broken{fmt.Sprintf(format, args...)} }

// cases holds the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) error{
	"returning-member": returningMember,
	"lost-founder":     lostFounder,
	"removed-member":   removedMember,
	"last-key":         lastKey,
	"added-route":      addedRoute,
	"departed-worker":  departedWorker,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

func play(name, folder string, trouble bool) (code int, err error) {
	folder, err = filepath.Abs(folder)
	if err != nil {
		return exitNotRun, err
	}
	root := filepath.Dir(filepath.Dir(folder))
	if _, err := os.Stat(filepath.Join(root, "target", "godwithub-platform")); err != nil {
		return exitNotRun, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	f, err := newFleet(root, r)
	if err != nil {
		return exitNotRun, err
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- cases[name](f, trouble) }()
	select {
	case err = <-result:
	case <-time.After(timeLimit):
		err = errors.New("the case takes too long")
	case <-interrupted:
		err = errors.New("interrupted")
	}
	var b *broken
	switch {
	case err == nil:
		r.add("the rule held")
		return exitHeld, nil
	case errors.As(err, &b):
		r.add("the rule was broken: %v", err)
		return exitBroken, err
	}
	r.add("the case could not run: %v", err)
	return exitNotRun, err
}
