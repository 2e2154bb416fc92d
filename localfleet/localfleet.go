// Package localfleet runs a small fleet in one process, on loopback addresses:
// a control VM, nodes, and a stand-in upstream beside each node. It serves the
// demonstration and the benchmarks; scenarios run real processes instead.
package localfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/controld"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/node"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/standin"
)

// Config describes a fleet.
type Config struct {
	// Dir is an empty folder for keys and stored state.
	Dir string
	// Subnet is the third byte of the fleet's addresses 127.77.Subnet.x.
	Subnet int
	// Nodes is the number of nodes, spread over two failure domains.
	Nodes int
	// UpstreamVMs are the VMs with an upstream, from 1. Empty: all.
	UpstreamVMs []int
	// LinkTransport is "tls" or "quic".
	LinkTransport string
	// Upstream changes the settings of each stand-in. May be nil.
	Upstream func(*standin.Settings)
	Log      *slog.Logger
}

// Ports of the fleet's VMs.
const (
	portCaller   = 8080
	portLink     = 7000
	portGossip   = 7001
	portAnnounce = 7002
	portDebug    = 7003
	portAPI      = 7443
	portUpstream = 9001
)

// Region and failure domains of the fleet.
const region = "puget"

var failureDomains = [...]string{"puget-a", "puget-b"}

// Fleet is a running fleet.
type Fleet struct {
	cfg    Config
	Client *client.Client
	// Callers and Upstreams are the addresses of the nodes' caller ports and
	// of the stand-ins.
	Callers, Upstreams []string
	Standins           []*standin.Standin

	group  *errgroup.Group
	cancel context.CancelFunc
	stops  []context.CancelFunc // of the nodes
	done   []chan struct{}
}

// addr returns an address of a VM. VM 0 is the control VM.
func (c *Config) addr(vm, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.77.%d.%d", c.Subnet, vm+1), strconv.Itoa(port))
}

// Start starts a fleet and waits until each node has the configuration and
// knows all upstreams.
func Start(ctx context.Context, cfg Config, objects []resource.Object) (*Fleet, error) {
	run, cancel := context.WithCancel(context.Background())
	group, run := errgroup.WithContext(run)
	f := &Fleet{cfg: cfg, group: group, cancel: cancel}
	if err := f.start(ctx, run, objects); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx, run context.Context, objects []resource.Object) error {
	if err := keys.Init(f.path("ca")); err != nil {
		return err
	}
	if err := f.startControl(run); err != nil {
		return err
	}
	for vm := 1; vm <= f.cfg.Nodes; vm++ {
		if err := f.startNode(run, vm); err != nil {
			return err
		}
		if len(f.cfg.UpstreamVMs) > 0 && !slices.Contains(f.cfg.UpstreamVMs, vm) {
			continue
		}
		if err := f.startUpstream(run, vm); err != nil {
			return err
		}
	}
	writes := make([]apiv1.Write, len(objects))
	for i, o := range objects {
		writes[i] = client.PutOf(o)
	}
	if _, err := f.Client.Apply(ctx, writes, client.WriteOptions{}); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.cfg.Dir}, parts...)...)
}

const keysLifetime = 24 * time.Hour

func (f *Fleet) issue(name string, role keys.Role) (string, error) {
	dir := f.path("keys", name)
	return dir, keys.Issue(f.path("ca"), dir, name, role, keysLifetime)
}

func (f *Fleet) startControl(run context.Context) error {
	dir, err := f.issue("control", keys.RoleControl)
	if err != nil {
		return err
	}
	secret, err := server.NewToken(f.path("tokens"), "local", server.RoleAdmin)
	if err != nil {
		return err
	}
	set := controld.Defaults()
	set.NodeID, set.KeysDir, set.DataDir, set.TokenFile = "control", dir, f.path("data"), f.path("tokens")
	set.Region, set.FailureDomain = region, failureDomains[0]
	set.LinkAddr, set.GossipAddr, set.APIAddr = f.cfg.addr(0, portLink), f.cfg.addr(0, portGossip), f.cfg.addr(0, portAPI)
	set.Seeds = []string{f.cfg.addr(1, portLink)}
	fleet, options := controld.NewFleet()
	d, err := controld.New(set, f.cfg.Log, options)
	if err != nil {
		return err
	}
	f.group.Go(func() error { return errors.Join(d.Run(run), fleet.Close()) })
	tls, err := keys.APIClient(filepath.Join(dir, "ca.crt"))
	if err != nil {
		return err
	}
	f.Client, err = client.New(client.Config{Servers: []string{set.APIAddr}, TLS: tls, Token: secret})
	return err
}

func (f *Fleet) startNode(run context.Context, vm int) error {
	name := "node-" + strconv.Itoa(vm)
	dir, err := f.issue(name, keys.RoleNode)
	if err != nil {
		return err
	}
	set := node.Defaults()
	set.NodeID, set.KeysDir, set.LinkTransport = name, dir, f.cfg.LinkTransport
	set.Region, set.FailureDomain = region, failureDomains[vm%len(failureDomains)]
	set.CallerAddr, set.LinkAddr, set.GossipAddr = f.cfg.addr(vm, portCaller), f.cfg.addr(vm, portLink), f.cfg.addr(vm, portGossip)
	set.AnnounceAddr, set.DebugAddr = f.cfg.addr(vm, portAnnounce), f.cfg.addr(vm, portDebug)
	set.Seeds, set.ControlAddrs = []string{f.cfg.addr(1, portLink)}, []string{f.cfg.addr(0, portLink)}
	n, err := node.New(set, f.cfg.Log, node.Options{Join: node.JoinFleet(set)})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(run)
	done := make(chan struct{})
	f.stops, f.done = append(f.stops, stop), append(f.done, done)
	f.Callers = append(f.Callers, set.CallerAddr)
	f.group.Go(func() error { defer close(done); return n.Run(ctx) })
	return nil
}

func (f *Fleet) startUpstream(run context.Context, vm int) error {
	set := standin.DefaultSettings()
	set.ID, set.Service = "upstream-"+strconv.Itoa(vm), "shop"
	set.Listen, set.AdminListen = f.cfg.addr(vm, portUpstream), ""
	set.AnnounceAddr = f.cfg.addr(vm, portAnnounce)
	if f.cfg.Upstream != nil {
		f.cfg.Upstream(&set)
	}
	u, err := standin.New(set, f.cfg.Log)
	if err != nil {
		return err
	}
	f.Standins, f.Upstreams = append(f.Standins, u), append(f.Upstreams, set.Listen)
	f.group.Go(func() error { return u.Run(run) })
	return nil
}

// StopNode stops a node gracefully and waits until it has left.
func (f *Fleet) StopNode(i int) {
	f.stops[i]()
	<-f.done[i]
}

// Stop stops the fleet.
func (f *Fleet) Stop() error {
	f.cancel()
	if err := f.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// DebugAddr returns the address of a node's metrics.
func (f *Fleet) DebugAddr(i int) string { return f.cfg.addr(i+1, portDebug) }

// Remove deletes the fleet's folder. It is called after Stop.
func (f *Fleet) Remove() error { return os.RemoveAll(f.cfg.Dir) }
