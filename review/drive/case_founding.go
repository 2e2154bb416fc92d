package main

import (
	"os"
	"syscall"
	"time"
)

// Figures of the case with a seed that is lost while the system starts for the first time.
const (
	foundingControls = 5
	foundingNodes    = 4
	// startSpan is the time within which all machines start.
	startSpan = 300 * time.Millisecond
	// seedLostAfter is when the seed loses its power and its disk, after the start of all machines.
	seedLostAfter = 150 * time.Millisecond
	// seedBackAfter is when it is back at its old address, with a blank disk.
	seedBackAfter = 2 * time.Second
	// stableAfter is how long after its return the machine counts as lost (catch_up_s), and the core as
	// not stable (contact_ms); ackWithin is how long an order may then wait for its ack.
	stableAfter = 4 * time.Second
	ackWithin   = 4 * time.Second
	// waitedFor is how long the operator goes on sending the first manifest. It is many times ackWithin, so
	// that the case is not about slowness.
	waitedFor = 60 * time.Second
)

// foundingSeedLost lets one of the three seeds lose its power and its disk right after the first start of
// the system. The machine is back two seconds later, as DEPLOY.md says: at its old address, with an empty
// data_dir, and with bootstrap set to false.
func foundingSeedLost(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, foundingControls, foundingNodes)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := startSpread(f, trouble); err != nil {
		return false, err
	}
	if _, err := f.startWorkers(); err != nil {
		return false, err
	}
	time.Sleep(stableAfter)
	began := time.Now()
	acknowledged := f.replace(manifest(1, 0), waitedFor)
	took := time.Since(began)
	if !acknowledged {
		rec.say("the first manifest got no ack in %.0f s, with all %d machines of the core running and connected", took.Seconds(), len(f.controls))
		if !f.readBack(contact + time.Second) {
			rec.say("the manifest does not come when it is read back for %.0f s", (contact + time.Second).Seconds())
		}
		serveSome(rec, f)
		return true, nil
	}
	rec.say("the first manifest was acknowledged after %.1f s", took.Seconds())
	return took > ackWithin, serveSome(rec, f)
}

// startSpread starts the machines within 0.3 s, the first seed last. If trouble is set, the second seed
// loses its disk before that.
func startSpread(f *fleet, trouble bool) error {
	first, lost := f.controls[0], f.controls[1]
	for _, m := range append(append([]*machine{}, f.controls[1:]...), f.nodes...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(seedLostAfter)
	if trouble {
		if err := loseDisk(lost); err != nil {
			return err
		}
	}
	time.Sleep(startSpan - seedLostAfter - 20*time.Millisecond)
	if err := first.start(); err != nil {
		return err
	}
	time.Sleep(seedBackAfter)
	if trouble {
		return lost.start()
	}
	return nil
}

// loseDisk ends the process of a machine without notice and empties its disk.
func loseDisk(m *machine) error {
	m.signal(syscall.SIGKILL)
	<-m.ended()
	if err := os.RemoveAll(m.dataDir()); err != nil {
		return err
	}
	m.fleet.rec.add("platform", "%s has lost its disk", m.name)
	m.bootstrap = false
	return nil
}

// readBack asks all control processes in turn for the manifest. It reports whether one answers.
func (f *fleet) readBack(within time.Duration) bool {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		m := f.controls[i%len(f.controls)]
		status, _, err := callControl(m.addr(portControl), "config.read", nil, time.Second)
		f.rec.add("operator", "config.read at %s: %d %v", m.name, status, err)
		if status == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// serveSome sends requests for some seconds, to show that the fleet works.
func serveSome(rec *record, f *fleet) error {
	time.Sleep(contact)
	c := newConsumers(f)
	c.run(f.nodes, 4)
	time.Sleep(3 * time.Second)
	c.halt()
	answered := 0
	for _, s := range c.all() {
		if s.status == 200 {
			answered++
		}
	}
	rec.say("%d of %d requests were served", answered, len(c.all()))
	if answered == 0 {
		return errSetUp
	}
	return nil
}
