package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// founders is the number of VMs that found the group: the seeds.
	founders = 3
	// founderDark is how long the founder stays down.
	founderDark = 3500 * time.Millisecond
	// maxFirstStarts is how often the system is started with empty disks, until the first founder ends before
	// another one has learned from it that the group is founded.
	maxFirstStarts = 8
)

// lostFounder kills the first founder of the control group just after it has founded it, while the system starts
// for the first time, and starts it again with its disk. Once it is back for longer than catch_up_s, two other VMs lose
// their disks, which the deployment has to bear.
func lostFounder(f *fleet, trouble bool) error {
	var core []*vm
	var founder *vm
	for i := 1; ; i++ {
		if i > maxFirstStarts {
			return errors.New("another founder has always learned of the founding first")
		}
		f.record.add("first start %d", i)
		var err error
		if core, founder, err = startFounders(f); err != nil {
			return err
		}
		if !trouble {
			break
		}
		founder.kill()
		time.Sleep(founderDark)
		if err := founder.start(false); err != nil {
			return err
		}
		if foundedBy(without(core[:founders], founder), founders-1) != nil {
			break
		}
		f.clear()
	}
	op := newOperator(f)
	if err := op.change(core, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(catchUp + contact)
	if err := op.change(core, 10*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := loseDisks(without(core, founder)[:2]); err != nil {
			return err
		}
	}
	return readBack(op, core)
}

// startFounders starts five core VMs for the first time, and waits until one of them has founded the group.
func startFounders(f *fleet) (core []*vm, founder *vm, err error) {
	for i, p := range places {
		core = append(core, f.addVM("core-"+string(rune('1'+i)), "control", p))
	}
	f.seeds = seedsOf(core)
	for _, v := range core {
		if err := v.start(true); err != nil {
			return nil, nil, err
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if founder = foundedBy(core[:founders], founders); founder != nil {
			f.record.add("%s has founded the group", founder.name)
			return core, founder, nil
		}
	}
	return nil, nil, errors.New("the group was not founded")
}

// foundedBy returns a VM whose process has logged that its replica is up in a group with that number of founders.
func foundedBy(vms []*vm, count int) *vm {
	line := fmt.Appendf(nil, `"founders":%d`, count)
	for _, v := range vms {
		b, err := os.ReadFile(filepath.Join(v.fleet.dir, v.name, "log"))
		if err == nil && bytes.Contains(b, line) {
			return v
		}
	}
	return nil
}
