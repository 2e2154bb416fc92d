package bench

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"text/tabwriter"
	"time"
)

// Connections measures the memory of a node whose upstream serves many requests at once, each on a
// connection of its own.
type Connections struct {
	Count int // requests, and so connections, at once
	Out   io.Writer
}

const (
	connectionServiceTime = 2 * time.Second
	connectionDuration    = 6 * time.Second
)

// Run prints the resident memory of the upstream's node before the load and while the connections
// are in use. That node also holds as many link streams from the node that serves the callers.
func (l Connections) Run() error {
	bin, err := buildPrograms("godwithub-node", "godwithub-control", "godwithub-upstream", "godwithub-load")
	if err != nil {
		return err
	}
	defer os.RemoveAll(bin)
	dir, err := os.MkdirTemp("", "godwithub-bench-")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer os.RemoveAll(dir)
	p := &processes{dir: dir, bin: bin}
	defer p.killAll()
	if err := p.startFleet(2); err != nil {
		return err
	}
	if err := (Idle{}).configure(p); err != nil {
		return err
	}
	n := strconv.Itoa(l.Count)
	upstream, err := p.startProcess("godwithub-upstream", "-id", "u1", "-service", "shop", "-listen", vmAddr(2, 9001),
		"-admin-listen", "", "-announce-addr", vmAddr(2, 7002), "-slots", n, "-connections", n,
		"-service-time", connectionServiceTime.String(), "-service-spread", "0s")
	if err != nil {
		return err
	}
	defer kill(upstream)
	for vm := 1; vm <= 2; vm++ {
		if err := waitHealthy(vm); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	before, _, err := usageOf(p.nodes[1].Process.Pid)
	if err != nil {
		return err
	}
	load := exec.Command(bin+"/godwithub-load", "-target", vmAddr(1, 8080), "-kind", "name=browse,path=/list",
		"-rate", strconv.Itoa(int(float64(l.Count)/connectionServiceTime.Seconds())), "-constant", "-duration", connectionDuration.String(),
		"-timeout", "10s")
	if err := load.Start(); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	defer kill(load)
	time.Sleep(connectionDuration - time.Second)
	during, _, err := usageOf(p.nodes[1].Process.Pid)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(l.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "connections\tnode RSS before MB\tnode RSS MB")
	fmt.Fprintf(w, "%d\t%.1f\t%.1f\n", l.Count, before, during)
	return w.Flush()
}

// buildPrograms builds commands of this repository into a temporary directory.
func buildPrograms(names ...string) (dir string, err error) {
	if dir, err = os.MkdirTemp("", "godwithub-bench-"); err != nil {
		return "", fmt.Errorf("bench: %w", err)
	}
	args := []string{"build", "-o", dir}
	for _, n := range names {
		args = append(args, "./cmd/"+n)
	}
	build := exec.Command("go", args...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.RemoveAll(dir)
		return "", fmt.Errorf("bench: build: %w", err)
	}
	return dir, nil
}

func kill(c *exec.Cmd) {
	c.Process.Kill()
	c.Wait()
}
