package main

import (
	"errors"
	"time"
)

// removedMember replaces a core VM as planned: the new one is started, has more than its catch_up_s, and the old one gets
// SIGTERM. Right after the next acknowledged manifest, two other VMs lose their disks, which the deployment has to bear.
func removedMember(f *fleet, trouble bool) error {
	core, op, err := startCore(f)
	if err != nil {
		return err
	}
	leader := op.awaitLeader(core, 5*time.Second)
	if leader == nil {
		return errors.New("no leader")
	}
	old := other(core, leader)
	added := f.addVM("core-new", "control", old.place)
	if core, err = replace(op, core, old, added, catchUp); err != nil {
		return err
	}
	if trouble {
		if err := loseDisks(without(core, leader, added)[:2]); err != nil {
			return err
		}
	}
	return readBack(op, core)
}
