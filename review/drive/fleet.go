package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portControl  = 8144
	portApp      = 8145
	portInbound  = 8146
	portOutbound = 8147
	portReady    = 8141
	portInternal = 7380
)

// memoryMB is the memory of a process on the small sites (DEPLOY.md, limits.memory_mb).
const memoryMB = 284

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// zones of the fleet and their regions, as on the small sites.
var zones = []struct{ name, region string }{
	{"puget-a", "puget"}, {"willamette-a", "willamette"}, {"puget-b", "puget"}, {"willamette-b", "willamette"},
}

// fleet is a small deployment: control processes, and nodes with a worker beside each.
type fleet struct {
	rec      *record
	program  string
	dir      string
	prefix   string // first three bytes of the machines' addresses
	controls []*machine
	nodes    []*machine
}

// machine runs one process of the system.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	control bool
	zone    int
	service string
	// bootstrap is the value of the field in the settings file at the next start.
	bootstrap bool
	logPath   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started time.Time
	// kills are the ends for want of memory.
	kills []time.Time
	stop  bool
}

// newFleet returns a fleet without processes. It fails if the build of the deploy file is missing.
func newFleet(rec *record, controls, nodes int) (*fleet, error) {
	program, err := filepath.Abs(cmp.Or(os.Getenv("REVIEW_PROGRAM"), "../target/godwithub-platform"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, program: program, dir: dir}
	if f.prefix, err = freePrefix(controls + nodes); err != nil {
		return nil, err
	}
	for i := range controls {
		f.controls = append(f.controls, f.newMachine("core", i, i, true))
	}
	for i := range nodes {
		m := f.newMachine("side", i, controls+i, false)
		m.service = services[i%len(services)]
		m.zone = (i / len(services)) % len(zones)
		f.nodes = append(f.nodes, m)
	}
	return f, nil
}

func (f *fleet) newMachine(class string, i, host int, control bool) *machine {
	name := fmt.Sprintf("%s-%d", class, i)
	return &machine{
		fleet: f, name: name, ip: f.prefix + strconv.Itoa(host+10), control: control, zone: i % len(zones),
		bootstrap: true, logPath: filepath.Join(f.dir, name+".log"),
	}
}

// freePrefix returns the start of loopback addresses at which no port of a machine is in use.
func freePrefix(machines int) (string, error) {
	ports := []int{portControl, portApp, portInbound, portOutbound, portReady, portInternal, portInternal + 1}
	for try := range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+try*7)%200, 1+(os.Getpid()/200+try)%250)
		if allFree(prefix, machines, ports) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func allFree(prefix string, machines int, ports []int) bool {
	for i := range machines {
		for _, p := range ports {
			ln, err := net.Listen("tcp", net.JoinHostPort(prefix+strconv.Itoa(i+10), strconv.Itoa(p)))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings returns the settings file of the machine, in the format of DEPLOY.md.
func (m *machine) settings() []byte {
	z := zones[m.zone]
	all := map[string]string{}
	for _, z := range zones {
		all[z.name] = z.region
	}
	listen := map[string]string{"control_plane": m.addr(portControl)}
	class, cpu, disk := "core", 0.96, 256
	var data, app, service any
	if m.control {
		data = m.dataDir()
	} else {
		class, cpu, disk = "sidecar", 0.32, 0
		listen["inbound"], listen["outbound"], listen["readiness_address"] = m.addr(portInbound), m.addr(portOutbound), m.addr(portReady)
		app, service = m.addr(portApp), m.service
	}
	var seeds []string
	for _, c := range m.fleet.controls[:3] {
		seeds = append(seeds, c.addr(portControl))
	}
	role, serves := "node", "sidecar"
	if m.control {
		role, serves = "control", "control"
	}
	b, err := json.MarshalIndent(map[string]any{
		"node_id": m.name, "role": role, "machine_class": class, "serves": []string{serves}, "ip": m.ip,
		"zone": z.name, "region": z.region, "zones": all, "listen_addresses": listen,
		"internal_ports": []int{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": m.bootstrap, "fault_counted": m.control,
		"limits":   map[string]any{"cpu_share": cpu, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": disk},
		"data_dir": data, "discovery": "local", "entry": "local", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": []string{"seed_lag_s=3", "reuse_after_s=2", "contact_ms=4000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2500", "grace_s=6",
			"loss_slack_ms=200", "config_apply_ms=2500", "rollback_slack_ms=250", "max_skew_ms=5000", "retry_budget_ratio=0.2",
			"retry_window_s=10", "budget_slack=62", "recovery_s=15", "probes_per_s=3", "floor_share=0.7"},
		"app_address": app, "service": service,
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return b
}

func (m *machine) dataDir() string { return filepath.Join(m.fleet.dir, m.name+"-data") }

// start starts the process of the machine with its settings of now.
func (m *machine) start() error {
	path := filepath.Join(m.fleet.dir, m.name+".json")
	if err := os.WriteFile(path, m.settings(), 0o600); err != nil {
		return err
	}
	role := "node"
	if m.control {
		role = "control"
		if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(m.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.fleet.program, role)
	cmd.Env = []string{"GODWITHUB_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.done, m.started = cmd, done, time.Now()
	m.fleet.rec.add("platform", "start %s pid %d bootstrap %v", m.name, cmd.Process.Pid, m.bootstrap)
	return nil
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.rec.add("platform", "%s to %s", s, m.name)
	m.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits until it is gone.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended()
}

func (m *machine) ended() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done
}

// residentMB returns the resident memory of the process, or 0 if it has ended.
func (m *machine) residentMB() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory ends the process whenever it uses more memory than its limit, and starts it again after
// a short delay, as the platform does.
func (m *machine) limitMemory() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		stop := m.stop
		m.mu.Unlock()
		if stop {
			return
		}
		used := m.residentMB()
		if used <= memoryMB {
			continue
		}
		m.fleet.rec.add("platform", "%s uses %d MB, more than its %d MB: killed", m.name, used, memoryMB)
		m.mu.Lock()
		m.kills = append(m.kills, time.Now())
		m.mu.Unlock()
		m.kill()
		time.Sleep(restartDelay)
		m.bootstrap = false
		m.start()
	}
}

// memoryKills returns the ends of the process for want of memory.
func (m *machine) memoryKills() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.kills...)
}

// startAll starts all machines within 0.3 s.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.nodes...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes. It keeps the logs if REVIEW_KEEP is set.
func (f *fleet) close() {
	for _, m := range append(append([]*machine{}, f.controls...), f.nodes...) {
		m.mu.Lock()
		m.stop = true
		if m.cmd != nil {
			m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range append(append([]*machine{}, f.controls...), f.nodes...) {
		if done := m.ended(); done != nil {
			<-done
		}
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("logs are in", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}
