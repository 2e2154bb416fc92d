// Command drive runs the cases of the review that cannot be put as a day of the bench. It starts the
// programs of the deploy file as processes on loopback addresses; consumers, workers, operator and
// platform are stand-ins in this process.
//
//	drive CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// limit is when a case is ended, whatever its state.
const limit = 118 * time.Second

// errSetUp means that the fleet did not come up, so that the case says nothing.
var errSetUp = errors.New("the fleet did not come up")

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"endless":  endlessBodies,
	"founding": foundingSeedLost,
	"foreign":  foreignCheckIn,
	"late":     lateCheckIn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	time.AfterFunc(limit, func() {
		rec.say("the case took too long")
		rec.close()
		os.Exit(exitCannotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitCannotRun
	case broken:
		rec.say("BROKEN (trouble %v)", trouble)
		return exitBroken
	}
	rec.say("held (trouble %v)", trouble)
	return exitHeld
}

// fleetUp starts a fleet with its workers and puts the first manifest in force.
func fleetUp(rec *record, controls, nodes int) (*fleet, []*worker, error) {
	f, err := newFleet(rec, controls, nodes)
	if err != nil {
		return nil, nil, err
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, nil, err
	}
	workers, err := f.startWorkers()
	if err != nil {
		f.close()
		return nil, nil, err
	}
	if !f.replace(manifest(1, 0), 20*time.Second) {
		f.close()
		return nil, nil, errSetUp
	}
	// Traffic starts 8 s after the machines.
	time.Sleep(8 * time.Second)
	return f, workers, nil
}

// startWorkers starts the worker beside each node.
func (f *fleet) startWorkers() ([]*worker, error) {
	var workers []*worker
	for _, m := range f.nodes {
		w, err := startWorker(f.rec, m)
		if err != nil {
			return nil, err
		}
		go w.keepCheckingIn()
		workers = append(workers, w)
	}
	return workers, nil
}
