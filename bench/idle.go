package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/localfleet"
	"github.com/godwithub/godwithub/resource"
)

// Idle measures nodes that serve no requests, each in a process of its own: resident memory,
// processor time, bytes of datagrams and start-up time, for several fleet sizes.
type Idle struct {
	NodeCounts []int         // numbers of nodes
	Duration   time.Duration // of the measurement, after settleTime
	// Callers and Routes are the numbers of callers and routes that are added to the configuration.
	Callers, Routes int
	Out             io.Writer
}

const (
	settleTime   = 10 * time.Second
	readyTimeout = time.Minute
	// clockTicks is the number of clock ticks per second; /proc gives processor time in ticks.
	clockTicks = 100
)

// Run measures and prints one row for each number of nodes.
func (l Idle) Run() error {
	bin, err := buildPrograms("godwithub-node", "godwithub-control")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	w := tabwriter.NewWriter(l.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tstart-up ms\tnode RSS MB\tnode core %\tnode UDP B/s\tcontrol RSS MB\tcontrol core %")
	for _, n := range l.NodeCounts {
		if err := l.measure(w, bin, n); err != nil {
			return err
		}
		w.Flush()
	}
	return w.Flush()
}

// processes holds the processes of one fleet.
type processes struct {
	dir, bin string
	control  *exec.Cmd
	nodes    []*exec.Cmd
	client   *client.Client
}

func vmAddr(vm, port int) string { return fmt.Sprintf("127.78.%d.%d:%d", vm/250, vm%250+1, port) }

func (l Idle) measure(w io.Writer, bin string, n int) error {
	dir, err := os.MkdirTemp("", "godwithub-bench-")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(dir)
	p := &processes{dir: dir, bin: bin}
	defer p.killAll()
	if err := p.startFleet(n); err != nil {
		return err
	}
	if err := l.configure(p); err != nil {
		return err
	}
	startUp, err := p.waitReady()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := p.sample()
	if err != nil {
		return err
	}
	time.Sleep(l.Duration)
	after, err := p.sample()
	if err != nil {
		return err
	}
	seconds := l.Duration.Seconds()
	fmt.Fprintf(w, "%d\t%d\t%.1f\t%.2f\t%.0f\t%.1f\t%.2f\n", n, startUp.Milliseconds(), after.nodeRSS,
		100*(after.nodeCPU-before.nodeCPU)/seconds, (after.nodeBytes-before.nodeBytes)/seconds,
		after.controlRSS, 100*(after.controlCPU-before.controlCPU)/seconds)
	return nil
}

func (p *processes) startProcess(name string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(filepath.Join(p.bin, name), append(args, "-log-level", "error")...)
	c.Stderr = os.Stderr
	return c, c.Start()
}

func (p *processes) issueKeys(name string, role keys.Role) (string, error) {
	dir := filepath.Join(p.dir, name)
	return dir, keys.Issue(filepath.Join(p.dir, "ca"), dir, name, role, time.Hour)
}

func (p *processes) startFleet(n int) error {
	if err := keys.Init(filepath.Join(p.dir, "ca")); err != nil {
		return err
	}
	dir, err := p.issueKeys("control", keys.RoleControl)
	if err != nil {
		return err
	}
	tokens := filepath.Join(p.dir, "tokens")
	token, err := server.NewToken(tokens, "bench", server.RoleAdmin)
	if err != nil {
		return err
	}
	p.control, err = p.startProcess("godwithub-control", "-node-id", "control", "-region", "r", "-failure-domain", "a",
		"-link-addr", vmAddr(0, 7000), "-gossip-addr", vmAddr(0, 7001), "-api-addr", vmAddr(0, 7443),
		"-data-dir", filepath.Join(p.dir, "data"), "-keys", dir, "-token-file", tokens, "-seeds", vmAddr(1, 7000),
		"-founders", "control="+vmAddr(0, 7000)+"/"+vmAddr(0, 7443))
	if err != nil {
		return err
	}
	for vm := 1; vm <= n; vm++ {
		if err := p.startNode(vm); err != nil {
			return err
		}
	}
	tls, err := keys.APIClient(filepath.Join(dir, "ca.crt"))
	if err != nil {
		return err
	}
	p.client, err = client.New(client.Config{Servers: []string{vmAddr(0, 7443)}, TLS: tls, Token: token})
	return err
}

func (p *processes) startNode(vm int) error {
	name := "node-" + strconv.Itoa(vm)
	dir, err := p.issueKeys(name, keys.RoleNode)
	if err != nil {
		return err
	}
	c, err := p.startProcess("godwithub-node", "-node-id", name, "-region", "r", "-failure-domain", "d"+strconv.Itoa(vm%2),
		"-caller-addr", vmAddr(vm, 8080), "-link-addr", vmAddr(vm, 7000), "-gossip-addr", vmAddr(vm, 7001),
		"-announce-addr", vmAddr(vm, 7002), "-debug-addr", vmAddr(vm, 7003), "-keys", dir,
		"-seeds", vmAddr(1, 7000), "-control-addrs", vmAddr(0, 7000))
	if err == nil {
		p.nodes = append(p.nodes, c)
	}
	return err
}

// maxBatch is the largest number of resources in one Apply call.
const maxBatch = 5000

func (l Idle) configure(p *processes) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	objects := localfleet.Shop()
	for i := range l.Callers {
		objects = append(objects, &resource.Caller{Meta: resource.Meta{Name: fmt.Sprintf("caller-%d", i)}, Weight: 1, RatePerSecond: 50, Burst: 100})
	}
	for i := range l.Routes {
		objects = append(objects, &resource.Route{Meta: resource.Meta{Name: fmt.Sprintf("route-%d", i)}, Host: fmt.Sprintf("shop-%d.example", i), PathPrefix: "/", Service: "shop"})
	}
	for len(objects) > 0 {
		n := min(len(objects), maxBatch)
		writes := make([]apiv1.Write, n)
		for i, o := range objects[:n] {
			writes[i] = client.PutOf(o)
		}
		if _, err := p.client.Apply(ctx, writes, client.WriteOptions{}); err != nil {
			return err
		}
		objects = objects[n:]
	}
	return nil
}

// waitReady waits until all nodes are healthy, then restarts the last one and returns the time until
// it is healthy again.
func (p *processes) waitReady() (time.Duration, error) {
	for vm := 1; vm <= len(p.nodes); vm++ {
		if err := waitHealthy(vm); err != nil {
			return 0, err
		}
	}
	last := len(p.nodes)
	stopGracefully(p.nodes[last-1])
	p.nodes = p.nodes[:last-1]
	started := time.Now()
	if err := p.startNode(last); err != nil {
		return 0, err
	}
	err := waitHealthy(last)
	return time.Since(started), err
}

func waitHealthy(vm int) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + vmAddr(vm, 7003) + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("bench: node %d is not healthy after %s", vm, readyTimeout)
}

// stopGracefully interrupts a process and waits until it has exited.
func stopGracefully(c *exec.Cmd) {
	c.Process.Signal(os.Interrupt)
	c.Wait()
}

func (p *processes) killAll() {
	for _, c := range append(p.nodes, p.control) {
		if c != nil {
			kill(c)
		}
	}
}

// idleSample holds means over the nodes, and the values of the control process: resident memory in
// MB, processor time in seconds, and bytes of gossip datagrams.
type idleSample struct {
	nodeRSS, nodeCPU, nodeBytes float64
	controlRSS, controlCPU      float64
}

func (p *processes) sample() (s idleSample, err error) {
	n := float64(len(p.nodes))
	for i, c := range p.nodes {
		rss, cpu, e := usageOf(c.Process.Pid)
		bytes, e2 := gossipBytes(i + 1)
		err = errors.Join(err, e, e2)
		s.nodeRSS += rss / n
		s.nodeCPU += cpu / n
		s.nodeBytes += bytes / n
	}
	var e error
	s.controlRSS, s.controlCPU, e = usageOf(p.control.Process.Pid)
	return s, errors.Join(err, e)
}

// usageOf returns the resident memory of a process in MB and its processor time in seconds.
func usageOf(pid int) (rss, cpu float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	// The name of the program, in parentheses, may contain spaces; the fields after it do not.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), (user + system) / clockTicks, nil
}

func gossipBytes(vm int) (float64, error) {
	resp, err := http.Get("http://" + vmAddr(vm, 7003) + "/debug/vars")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var vars struct {
		Gossip struct {
			BytesSent     float64 `json:"bytesSent"`
			BytesReceived float64 `json:"bytesReceived"`
		} `json:"gossip"`
	}
	err = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Gossip.BytesSent + vars.Gossip.BytesReceived, err
}
