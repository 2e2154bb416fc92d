package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Ports of the VMs. They are the same on all of them; each VM has a loopback address of its own.
const (
	controlPort   = "8144"
	appPort       = "8145"
	inboundPort   = "8146"
	outboundPort  = "8147"
	readinessPort = "8141"
	firstInternal = 7380
	lastInternal  = 7395
)

// maxVMs is the number of loopback addresses that a fleet may use.
const maxVMs = 24

// Bounds of a small deployment, and how long the cases wait for a machine that is back: longer than its catch_up_s.
const (
	contact  = 4 * time.Second
	catchUp  = 6 * time.Second
	recovery = 15 * time.Second
	grace    = 6 * time.Second
)

var smallBounds = []string{
	"seed_lag_s=3", "reuse_after_s=2", "contact_ms=4000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2500", "grace_s=6",
	"loss_slack_ms=200", "config_apply_ms=2500", "rollback_slack_ms=250", "max_skew_ms=5000", "retry_budget_ratio=0.2",
	"retry_window_s=10", "budget_slack=62", "recovery_s=15", "probes_per_s=3", "floor_share=0.7",
}

// place is a failure domain and its region.
type place struct{ zone, region string }

var places = []place{{"puget-a", "puget"}, {"willamette-a", "willamette"}, {"puget-b", "puget"}, {"willamette-b", "willamette"}, {"puget-a", "puget"}}

// fleet starts the project's programs, each on a VM with a loopback address of its own.
type fleet struct {
	root   string // of the repository
	dir    string // temporary folder
	prefix string // of the loopback addresses
	record *record
	vms    []*vm
	seeds  []string
	bounds []string
	// clusters and rules are the services in manifests, and their routes beside the first one.
	clusters []string
	rules    []any
	// tenants is the list of tenants in manifests; nil: manifests have none.
	tenants []any
}

// vm is a VM with one process of the system.
type vm struct {
	fleet   *fleet
	name    string
	role    string // control or node
	ip      string
	place   place
	service string
	proc    *os.Process
	done    chan struct{} // closed when the process has ended
	ending  bool
}

// newFleet returns a fleet without VMs. It chooses addresses on which all ports are free.
func newFleet(root string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(150), 1+rand.IntN(250))
		if portsAreFree(prefix) {
			return &fleet{root: root, dir: dir, prefix: prefix, record: r, bounds: slices.Clone(smallBounds), clusters: []string{"shop"}}, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func portsAreFree(prefix string) bool {
	for i := 1; i <= maxVMs; i++ {
		for _, port := range []string{controlPort, appPort, inboundPort, outboundPort, readinessPort, fmt.Sprint(firstInternal), fmt.Sprint(firstInternal + 1)} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%s", prefix, i, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// addVM adds a VM without starting its process.
func (f *fleet) addVM(name, role string, p place) *vm {
	v := &vm{fleet: f, name: name, role: role, ip: fmt.Sprintf("%s%d", f.prefix, len(f.vms)+1), place: p}
	f.vms = append(f.vms, v)
	return v
}

// controlAddr is the address of the operator's calls and of announcements.
func (v *vm) controlAddr() string { return net.JoinHostPort(v.ip, controlPort) }

// outbound is the address of callers' requests.
func (v *vm) outbound() string { return net.JoinHostPort(v.ip, outboundPort) }

func (v *vm) dataDir() string { return filepath.Join(v.fleet.dir, v.name, "data") }

// settings are those that the platform gives to the process of the VM.
func (v *vm) settings(bootstrap bool) map[string]any {
	zones := map[string]string{}
	for _, p := range places {
		zones[p.zone] = p.region
	}
	s := map[string]any{
		"node_id": v.name, "role": v.role, "ip": v.ip, "zone": v.place.zone, "region": v.place.region, "zones": zones,
		"internal_ports": []int{firstInternal, lastInternal}, "seeds": v.fleet.seeds, "bootstrap": bootstrap,
		"heartbeat_ms": 1500, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "health"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": v.fleet.bounds,
		"discovery": "local", "entry": "local",
	}
	if v.role == "control" {
		s["machine_class"], s["serves"], s["fault_counted"] = "core", []string{"control"}, true
		s["listen_addresses"] = map[string]string{"control_plane": v.controlAddr()}
		s["limits"] = map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 256}
		s["data_dir"] = v.dataDir()
		return s
	}
	s["machine_class"], s["serves"], s["fault_counted"] = "sidecar", []string{"sidecar"}, false
	s["listen_addresses"] = map[string]string{
		"control_plane": v.controlAddr(), "inbound": net.JoinHostPort(v.ip, inboundPort),
		"outbound": v.outbound(), "readiness_address": net.JoinHostPort(v.ip, readinessPort),
	}
	s["limits"] = map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	s["data_dir"], s["app_address"], s["service"] = nil, net.JoinHostPort(v.ip, appPort), v.service
	return s
}

// start starts the process of the VM with the command of the deploy file.
func (v *vm) start(bootstrap bool) error {
	dir := filepath.Join(v.fleet.dir, v.name)
	if err := os.MkdirAll(v.dataDir(), 0o700); err != nil {
		return err
	}
	b, err := json.Marshal(v.settings(bootstrap))
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "boot.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/godwithub-platform", v.role)
	cmd.Dir = v.fleet.root
	cmd.Env = []string{"GODWITHUB_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.proc, v.done, v.ending = cmd.Process, make(chan struct{}), false
	v.fleet.record.add("%s starts at %s", v.name, v.ip)
	done := v.done
	go func() {
		err := cmd.Wait()
		v.fleet.record.add("%s has ended: %v", v.name, err)
		close(done)
	}()
	return nil
}

func (v *vm) running() bool {
	if v.done == nil {
		return false
	}
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

// kill kills the process, which stays down until start.
func (v *vm) kill() {
	v.fleet.record.add("%s is killed", v.name)
	v.proc.Signal(syscall.SIGKILL)
	<-v.done
}

// killAll kills the processes of all VMs at the same moment.
func (f *fleet) killAll() {
	for _, v := range f.vms {
		v.proc.Signal(syscall.SIGKILL)
	}
	for _, v := range f.vms {
		<-v.done
	}
	f.record.add("all processes are killed")
}

// stop stops the process as planned: SIGTERM, and SIGKILL after the grace time.
func (v *vm) stop() {
	v.fleet.record.add("%s gets SIGTERM", v.name)
	v.proc.Signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(grace):
		v.kill()
	}
}

// wipe removes the files of the VM's disk. Its process must not run.
func (v *vm) wipe() error {
	v.fleet.record.add("%s loses its disk", v.name)
	return os.RemoveAll(v.dataDir())
}

// clear ends all processes and forgets the VMs with their disks.
func (f *fleet) clear() {
	for _, v := range f.vms {
		if v.running() {
			v.proc.Signal(syscall.SIGKILL)
			<-v.done
		}
		os.RemoveAll(filepath.Join(f.dir, v.name))
	}
	f.vms = nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, v := range f.vms {
		if v.running() {
			v.proc.Signal(syscall.SIGKILL)
			<-v.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept:", f.dir)
	}
}
