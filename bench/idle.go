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

// Idle measures nodes without requests, as processes of their own: resident
// memory, processor time, datagrams and start-up time, for several sizes.
type Idle struct {
	Sizes    []int
	Duration time.Duration // of the observation, after the fleet has settled
	// Callers and Routes are added to the configuration.
	Callers, Routes int
	Out             io.Writer
}

const (
	idleSettle  = 10 * time.Second
	idleTimeout = time.Minute
	// clockTicks is the unit of processor time in /proc, per second.
	clockTicks = 100
)

// Run prints one row for each size.
func (l Idle) Run() error {
	bin, err := buildPrograms("godwithub-node", "godwithub-control")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	w := tabwriter.NewWriter(l.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "nodes\tstart-up ms\tnode RSS MB\tnode core %\tnode UDP B/s\tcontrol RSS MB\tcontrol core %")
	for _, n := range l.Sizes {
		if err := l.measure(w, bin, n); err != nil {
			return err
		}
		w.Flush()
	}
	return w.Flush()
}

// procs are the processes of one size.
type procs struct {
	dir, bin string
	control  *exec.Cmd
	nodes    []*exec.Cmd
	client   *client.Client
}

func idleAddr(vm, port int) string { return fmt.Sprintf("127.78.%d.%d:%d", vm/250, vm%250+1, port) }

func (l Idle) measure(w io.Writer, bin string, n int) error {
	dir, err := os.MkdirTemp("", "godwithub-bench-")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(dir)
	p := &procs{dir: dir, bin: bin}
	defer p.stop()
	if err := p.start(n); err != nil {
		return err
	}
	if err := l.configure(p); err != nil {
		return err
	}
	startUp, err := p.waitReady()
	if err != nil {
		return err
	}
	time.Sleep(idleSettle)
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

func (p *procs) run(name string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(filepath.Join(p.bin, name), append(args, "-log-level", "error")...)
	c.Stderr = os.Stderr
	return c, c.Start()
}

func (p *procs) keys(name string, role keys.Role) (string, error) {
	dir := filepath.Join(p.dir, name)
	return dir, keys.Issue(filepath.Join(p.dir, "ca"), dir, name, role, time.Hour)
}

func (p *procs) start(n int) error {
	if err := keys.Init(filepath.Join(p.dir, "ca")); err != nil {
		return err
	}
	dir, err := p.keys("control", keys.RoleControl)
	if err != nil {
		return err
	}
	tokens := filepath.Join(p.dir, "tokens")
	secret, err := server.NewToken(tokens, "bench", server.RoleAdmin)
	if err != nil {
		return err
	}
	p.control, err = p.run("godwithub-control", "-node-id", "control", "-region", "r", "-failure-domain", "a",
		"-link-addr", idleAddr(0, 7000), "-gossip-addr", idleAddr(0, 7001), "-api-addr", idleAddr(0, 7443),
		"-data-dir", filepath.Join(p.dir, "data"), "-keys", dir, "-token-file", tokens, "-seeds", idleAddr(1, 7000),
		"-founders", "control="+idleAddr(0, 7000)+"/"+idleAddr(0, 7443))
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
	p.client, err = client.New(client.Config{Servers: []string{idleAddr(0, 7443)}, TLS: tls, Token: secret})
	return err
}

func (p *procs) startNode(vm int) error {
	name := "node-" + strconv.Itoa(vm)
	dir, err := p.keys(name, keys.RoleNode)
	if err != nil {
		return err
	}
	c, err := p.run("godwithub-node", "-node-id", name, "-region", "r", "-failure-domain", "d"+strconv.Itoa(vm%2),
		"-caller-addr", idleAddr(vm, 8080), "-link-addr", idleAddr(vm, 7000), "-gossip-addr", idleAddr(vm, 7001),
		"-announce-addr", idleAddr(vm, 7002), "-debug-addr", idleAddr(vm, 7003), "-keys", dir,
		"-seeds", idleAddr(1, 7000), "-control-addrs", idleAddr(0, 7000))
	if err == nil {
		p.nodes = append(p.nodes, c)
	}
	return err
}

// maxBatch is the number of resources written at once.
const maxBatch = 5000

func (l Idle) configure(p *procs) error {
	ctx, cancel := context.WithTimeout(context.Background(), idleTimeout)
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

// waitReady waits until all nodes have a configuration, then restarts the last
// one and returns how long it takes to serve again.
func (p *procs) waitReady() (time.Duration, error) {
	for vm := 1; vm <= len(p.nodes); vm++ {
		if err := waitHealthy(vm); err != nil {
			return 0, err
		}
	}
	last := len(p.nodes)
	end(p.nodes[last-1])
	p.nodes = p.nodes[:last-1]
	began := time.Now()
	if err := p.startNode(last); err != nil {
		return 0, err
	}
	err := waitHealthy(last)
	return time.Since(began), err
}

func waitHealthy(vm int) error {
	for limit := time.Now().Add(idleTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + idleAddr(vm, 7003) + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("bench: node %d is not ready after %s", vm, idleTimeout)
}

// end stops a process gracefully.
func end(c *exec.Cmd) {
	c.Process.Signal(os.Interrupt)
	c.Wait()
}

func (p *procs) stop() {
	for _, c := range append(p.nodes, p.control) {
		if c != nil {
			kill(c)
		}
	}
}

// idleSample holds means over the nodes: MB, seconds of processor time, and
// bytes of datagrams.
type idleSample struct {
	nodeRSS, nodeCPU, nodeBytes float64
	controlRSS, controlCPU      float64
}

func (p *procs) sample() (s idleSample, err error) {
	n := float64(len(p.nodes))
	for i, c := range p.nodes {
		rss, cpu, e := processUsage(c.Process.Pid)
		bytes, e2 := gossipBytes(i + 1)
		err = errors.Join(err, e, e2)
		s.nodeRSS += rss / n
		s.nodeCPU += cpu / n
		s.nodeBytes += bytes / n
	}
	var e error
	s.controlRSS, s.controlCPU, e = processUsage(p.control.Process.Pid)
	return s, errors.Join(err, e)
}

// processUsage returns resident memory in MB and processor time in seconds.
func processUsage(pid int) (rss, cpu float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("bench: %w", err)
	}
	// The name in parentheses may hold blanks; the fields after it do not.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), (user + system) / clockTicks, nil
}

func gossipBytes(vm int) (float64, error) {
	resp, err := http.Get("http://" + idleAddr(vm, 7003) + "/debug/vars")
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
