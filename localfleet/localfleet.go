// Package localfleet runs a small fleet in one process on loopback addresses: a control VM, nodes,
// and a stand-in upstream on the VM of each node. The demonstration and the benchmarks use it;
// scenarios start real processes instead.
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
	// Dir is an empty directory for keys and stored state.
	Dir string
	// Subnet is the third byte of the fleet's addresses 127.77.Subnet.x.
	Subnet int
	// Nodes is the number of nodes, spread over two failure domains.
	Nodes int
	// UpstreamVMs lists the numbers of the VMs with an upstream, counted from 1. Empty: all.
	UpstreamVMs []int
	// LinkTransport is "tls" or "quic".
	LinkTransport string
	// AdjustUpstream adjusts the settings of each stand-in. May be nil.
	AdjustUpstream func(*standin.Settings)
	// AdjustNode adjusts the settings and options of each node. May be nil.
	AdjustNode func(*node.Settings, *node.Options)
	Log        *slog.Logger
}

// Ports used on the VMs.
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
	// CallerAddrs holds the addresses at which the nodes serve callers, UpstreamAddrs those of the
	// stand-ins.
	CallerAddrs, UpstreamAddrs []string
	Standins                   []*standin.Standin

	group     *errgroup.Group
	cancel    context.CancelFunc
	stopNodes []context.CancelFunc // by index of the node
	nodesDone []chan struct{}      // closed when the node has stopped

	stopControl context.CancelFunc
	controlDone chan struct{} // closed when the control VM has stopped
}

// addr returns the address of a port on a VM. VM 0 is the control VM.
func (c *Config) addr(vm, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.77.%d.%d", c.Subnet, vm+1), strconv.Itoa(port))
}

// Start starts a fleet, writes the objects as its configuration, and waits until each node has the
// configuration and knows all upstreams.
func Start(ctx context.Context, cfg Config, objects []resource.Object) (*Fleet, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	group, runCtx := errgroup.WithContext(runCtx)
	f := &Fleet{cfg: cfg, group: group, cancel: cancel}
	if err := f.start(ctx, runCtx, objects); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx, runCtx context.Context, objects []resource.Object) error {
	if err := keys.Init(f.path("ca")); err != nil {
		return err
	}
	if err := f.startControl(runCtx); err != nil {
		return err
	}
	for vm := 1; vm <= f.cfg.Nodes; vm++ {
		if err := f.startNode(runCtx, vm); err != nil {
			return err
		}
		if len(f.cfg.UpstreamVMs) > 0 && !slices.Contains(f.cfg.UpstreamVMs, vm) {
			continue
		}
		if err := f.startUpstream(runCtx, vm); err != nil {
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

const keysValidity = 24 * time.Hour

func (f *Fleet) issueKeys(name string, role keys.Role) (string, error) {
	dir := f.path("keys", name)
	return dir, keys.Issue(f.path("ca"), dir, name, role, keysValidity)
}

func (f *Fleet) startControl(runCtx context.Context) error {
	dir, err := f.issueKeys("control", keys.RoleControl)
	if err != nil {
		return err
	}
	token, err := server.NewToken(f.path("tokens"), "local", server.RoleAdmin)
	if err != nil {
		return err
	}
	settings := controld.Defaults()
	settings.NodeID, settings.KeysDir, settings.DataDir, settings.TokenFile = "control", dir, f.path("data"), f.path("tokens")
	settings.Region, settings.FailureDomain = region, failureDomains[0]
	settings.LinkAddr, settings.GossipAddr, settings.APIAddr = f.cfg.addr(0, portLink), f.cfg.addr(0, portGossip), f.cfg.addr(0, portAPI)
	settings.Seeds = []string{f.cfg.addr(1, portLink)}
	fleet, options := controld.NewFleet()
	d, err := controld.New(settings, f.cfg.Log, options)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, f.stopControl = context.WithCancel(runCtx)
	f.controlDone = make(chan struct{})
	f.group.Go(func() error { defer close(f.controlDone); return errors.Join(d.Run(ctx), fleet.Close()) })
	tls, err := keys.APIClient(filepath.Join(dir, "ca.crt"))
	if err != nil {
		return err
	}
	f.Client, err = client.New(client.Config{Servers: []string{settings.APIAddr}, TLS: tls, Token: token})
	return err
}

func (f *Fleet) startNode(runCtx context.Context, vm int) error {
	name := "node-" + strconv.Itoa(vm)
	dir, err := f.issueKeys(name, keys.RoleNode)
	if err != nil {
		return err
	}
	settings := node.Defaults()
	settings.NodeID, settings.KeysDir, settings.LinkTransport = name, dir, f.cfg.LinkTransport
	settings.Region, settings.FailureDomain = region, failureDomains[vm%len(failureDomains)]
	settings.CallerAddr, settings.LinkAddr, settings.GossipAddr = f.cfg.addr(vm, portCaller), f.cfg.addr(vm, portLink), f.cfg.addr(vm, portGossip)
	settings.AnnounceAddr, settings.DebugAddr = f.cfg.addr(vm, portAnnounce), f.cfg.addr(vm, portDebug)
	settings.Seeds, settings.ControlAddrs = []string{f.cfg.addr(1, portLink)}, []string{f.cfg.addr(0, portLink)}
	options := node.Options{}
	if f.cfg.AdjustNode != nil {
		f.cfg.AdjustNode(&settings, &options)
	}
	options.Join = node.JoinFleet(settings)
	n, err := node.New(settings, f.cfg.Log, options)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(runCtx)
	done := make(chan struct{})
	f.stopNodes, f.nodesDone = append(f.stopNodes, stop), append(f.nodesDone, done)
	f.CallerAddrs = append(f.CallerAddrs, settings.CallerAddr)
	f.group.Go(func() error { defer close(done); return n.Run(ctx) })
	return nil
}

func (f *Fleet) startUpstream(runCtx context.Context, vm int) error {
	settings := standin.DefaultSettings()
	settings.ID, settings.Service = "upstream-"+strconv.Itoa(vm), "shop"
	settings.Listen, settings.AdminListen = f.cfg.addr(vm, portUpstream), ""
	settings.AnnounceAddr = f.cfg.addr(vm, portAnnounce)
	if f.cfg.AdjustUpstream != nil {
		f.cfg.AdjustUpstream(&settings)
	}
	u, err := standin.New(settings, f.cfg.Log)
	if err != nil {
		return err
	}
	f.Standins, f.UpstreamAddrs = append(f.Standins, u), append(f.UpstreamAddrs, settings.Listen)
	f.group.Go(func() error { return u.Run(runCtx) })
	return nil
}

// StopNode stops the node with index i gracefully and waits until it has left the fleet.
func (f *Fleet) StopNode(i int) {
	f.stopNodes[i]()
	<-f.nodesDone[i]
}

// StopControl stops the control VM and waits until it has stopped.
func (f *Fleet) StopControl() {
	f.stopControl()
	<-f.controlDone
}

// Stop stops the fleet.
func (f *Fleet) Stop() error {
	f.cancel()
	if err := f.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// DebugAddr returns the debug address of the node with index i, which serves its metrics and view.
func (f *Fleet) DebugAddr(i int) string { return f.cfg.addr(i+1, portDebug) }

// Remove deletes the fleet's directory. Call it after Stop.
func (f *Fleet) Remove() error { return os.RemoveAll(f.cfg.Dir) }
