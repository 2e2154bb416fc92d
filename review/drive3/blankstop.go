package main

import (
	"os"
	"syscall"
	"time"
)

const (
	// stopAfter is how long a core machine runs after the loss of its disk until it gets SIGTERM.
	stopAfter = 300 * time.Millisecond
	// stoppedFor is the time from its end to the loss of further disks.
	stoppedFor = 100 * time.Millisecond
)

// runBlankStop plays the planned replacement of a core machine that has just lost its disk: its successor runs for longer
// than the time to catch up. A change is acknowledged, and two further machines lose their disks. Without the trouble, no
// further disk is lost.
func runBlankStop(r *record, trouble bool) (int, error) {
	bounds = catalogueBounds
	f, err := newFleet(5, nil)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	if err := f.startFirst(r); err != nil {
		return exitNotRun, err
	}
	time.Sleep(catchUp)
	successor, err := f.addCore()
	if err != nil {
		return exitNotRun, err
	}
	r.add("%s is started as a further core machine", successor.ip)
	time.Sleep(catchUp + 2*time.Second)
	old, err := f.leader()
	if err != nil {
		return exitNotRun, err
	}
	old.kill()
	os.RemoveAll(old.dataDir())
	if err := os.MkdirAll(old.dataDir(), 0o755); err != nil {
		return exitNotRun, err
	}
	if err := old.start(); err != nil {
		return exitNotRun, err
	}
	r.add("%s, which led, has lost its disk and is back", old.ip)
	time.Sleep(stopAfter)
	old.signal(syscall.SIGTERM)
	err = old.wait()
	ended := time.Now()
	r.add("%s got SIGTERM and has ended: %v", old.ip, err)
	f.forget(old)
	time.Sleep(stoppedFor)
	if err := f.change(r, 2, 5*time.Second); err != nil {
		return exitNotRun, err
	}
	leader, err := f.leader()
	if err != nil {
		return exitNotRun, err
	}
	if trouble {
		f.loseDisks(r, f.coresBut(leader, successor)[:2])
		r.say("two disks lost %.3f s after the machine had ended", time.Since(ended).Seconds())
	}
	return f.checkReadable(r, 2)
}
