package main

import (
	"errors"
	"slices"
	"time"
)

const (
	// darkTime is how long a VM is dark at a time, and upTime how long it is up in between.
	darkTime = 7 * time.Second
	upTime   = 50 * time.Millisecond
	// successorTime is how long a new VM runs before the one that it replaces is stopped: longer than catch_up_s.
	successorTime = 4500 * time.Millisecond
)

// returningMember keeps one core VM dark, several times in a row, while others are replaced as planned: the leader, until a
// new VM leads. Once the first is back for longer than catch_up_s, two other VMs lose their disks, which the deployment
// has to bear.
func returningMember(f *fleet, trouble bool) error {
	core, op, err := startCore(f)
	if err != nil {
		return err
	}
	leader := op.awaitLeader(core, 5*time.Second)
	if leader == nil {
		return errors.New("no leader")
	}
	away := other(core, leader)
	bringBack := func() error { return nil }
	if trouble {
		core = without(core, away)
		bringBack = keepDark(away)
		time.Sleep(200 * time.Millisecond)
	}
	old := slices.Clone(core)
	for i := range old {
		added := f.addVM("core-new-"+string(rune('1'+i)), "control", leader.place)
		if core, err = replace(op, core, leader, added, successorTime); err != nil {
			return err
		}
		if leader = op.awaitLeader(core, 5*time.Second); leader == nil {
			return errors.New("no leader after a planned replacement")
		}
		f.record.add("%s leads", leader.name)
		if !slices.Contains(old, leader) {
			break
		}
	}
	if err := bringBack(); err != nil {
		return err
	}
	if trouble {
		core = append(core, away)
	}
	time.Sleep(catchUp + contact)
	if err := op.change(core, 10*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := loseDisks(without(core, away, leader)[:2]); err != nil {
			return err
		}
	}
	return readBack(op, core)
}

// keepDark kills the process of a VM, starts it again after darkTime, kills it once more after upTime, and so on. bringBack
// lets it stay up after its next start, and waits for that.
func keepDark(v *vm) (bringBack func() error) {
	stay, result := make(chan struct{}), make(chan error, 1)
	v.kill()
	go func() {
		for {
			time.Sleep(darkTime)
			if err := v.start(false); err != nil {
				result <- err
				return
			}
			select {
			case <-stay:
				result <- nil
				return
			case <-time.After(upTime):
			}
			v.kill()
		}
	}()
	return func() error {
		close(stay)
		return <-result
	}
}

// replace replaces a core VM as planned: the new one is started first, and the old one gets SIGTERM after wait, in which the
// new one catches up. It returns the core VMs.
func replace(op *operator, core []*vm, old, added *vm, wait time.Duration) ([]*vm, error) {
	old.fleet.seeds = seedsOf(without(core, old))
	if err := added.start(false); err != nil {
		return nil, err
	}
	time.Sleep(wait)
	old.stop()
	core = append(without(core, old), added)
	return core, op.change(core, 10*time.Second)
}

// diskLossDown is how long VMs stay down when they lose their disks.
const diskLossDown = 1500 * time.Millisecond

// loseDisks ends the processes of the VMs at the same moment, and starts them again with empty disks.
func loseDisks(vms []*vm) error {
	for _, v := range vms {
		v.kill()
	}
	for _, v := range vms {
		if err := v.wipe(); err != nil {
			return err
		}
	}
	time.Sleep(diskLossDown)
	for _, v := range vms {
		if err := v.start(false); err != nil {
			return err
		}
	}
	return nil
}

// readBack waits for recovery_s and reads the manifest for longer than contact_ms. The newest acknowledged one has to come.
func readBack(op *operator, core []*vm) error {
	time.Sleep(recovery)
	version, err := op.read(core, contact+time.Second)
	switch {
	case err != nil:
		return breaks("manifest %d was acknowledged, but cannot be read back: %v", op.version, err)
	case version < op.version:
		return breaks("manifest %d was acknowledged, but %d is read back", op.version, version)
	}
	return nil
}

// startCore starts five core VMs and two others for the first time, and puts a manifest in force.
func startCore(f *fleet) (core []*vm, op *operator, err error) {
	for i, p := range places {
		core = append(core, f.addVM("core-"+string(rune('1'+i)), "control", p))
	}
	f.seeds = seedsOf(core)
	for i := range 2 {
		v := f.addVM("sidecar-"+string(rune('1'+i)), "node", places[i])
		v.service = "shop"
	}
	for _, v := range f.vms {
		if err := v.start(true); err != nil {
			return nil, nil, err
		}
	}
	op = newOperator(f)
	time.Sleep(2 * time.Second)
	if err := op.change(core, 10*time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(catchUp)
	return core, op, nil
}

// seedsOf returns the addresses of three of the VMs.
func seedsOf(vms []*vm) []string {
	var out []string
	for _, v := range vms[:3] {
		out = append(out, v.controlAddr())
	}
	return out
}

// without returns the VMs that are not in left.
func without(vms []*vm, left ...*vm) []*vm {
	var out []*vm
next:
	for _, v := range vms {
		for _, l := range left {
			if v == l {
				continue next
			}
		}
		out = append(out, v)
	}
	return out
}

// other returns a VM that is not one of left.
func other(vms []*vm, left ...*vm) *vm { return without(vms, left...)[0] }
