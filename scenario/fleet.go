package scenario

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/resource"
)

// The fleet command starts daemons with suitable flags and checks what they know:
//
//	fleet seeds ADDR...                        join by these link addresses, not by the first node's
//	fleet control N [relayed]                  start a control group of N on VMs of their own; relayed
//	                                           puts a relay in front of each member's link address
//	fleet config FILE|default                  apply a configuration
//	fleet node NAME REGION DOMAIN [FLAG...]    start a node on the next free VM
//	fleet upstream NAME NODE SERVICE [FLAG...] start a stand-in upstream on the VM of a node
//	fleet claims TIMEOUT                       all running nodes answer orders with an idempotency key
//	fleet ready UPSTREAMS TIMEOUT              all running nodes have the configuration that was applied
//	                                           last, and know that many upstreams
//	fleet applied TIMEOUT                      all running nodes have the configuration that was applied last
//	fleet changes N                            write N changes, one after the other
//	fleet race N                               N times, concurrent operators change the same resource and resend
//	fleet watch                                start to watch the view of each node
//	fleet ejected SERVICE N                    since then no view has shown more than N ejected upstreams
//	fleet steady                               since then no node has gone back to an older configuration
//
// After fleet node, $NAME is the IP address of the node's VM. Among the flags of
// load, @nodes stands for the caller addresses of all nodes and @NAME for that of one.

// Ports on the VMs of nodes and control processes.
const (
	portCaller   = 8080
	portLink     = 7000
	portGossip   = 7001
	portAnnounce = 7002
	portDebug    = 7003
	portAPI      = 8443
	// portUpstream is the port of the VM's first upstream; the next ones follow. The
	// admin endpoint of each is portAdminOffset above its port.
	portUpstream    = 9001
	portAdminOffset = 100
)

// fleetState is the fleet of one script.
type fleetState struct {
	nodes []*fleetNode // in the order in which they were started
	seeds []string     // link addresses; nil for that of the first node
}

// fleetNode is one node and its VM.
type fleetNode struct {
	name      string
	ip        string
	upstreams int // number started on the VM so far
}

func (n *fleetNode) addr(port int) string { return joinPort(n.ip, port) }

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (f *fleetState) node(name string) *fleetNode {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func fleetCommand(w *workspace, ts *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return scriptErrorf("usage: fleet ACTION ...")
	}
	switch action, rest := args[0], args[1:]; {
	case action == "control" && len(rest) == 1:
		return w.startControl(ts, rest[0], false)
	case action == "control" && len(rest) == 2 && rest[1] == "relayed":
		return w.startControl(ts, rest[0], true)
	case action == "control" && len(rest) == 2 && rest[1] == "self-repair":
		w.control.selfRepair = true
		return w.startControl(ts, rest[0], false)
	case action == "config" && len(rest) == 1:
		if rest[0] == "default" {
			return w.applyConfig(defaultConfig)
		}
		return w.applyConfig(ts.ReadFile(rest[0]))
	case action == "node" && len(rest) >= 3:
		n, err := w.startNode(rest[0], rest[1], rest[2], rest[3:])
		if err == nil {
			ts.Setenv(n.name, n.ip)
		}
		return err
	case action == "upstream" && len(rest) >= 3:
		return w.startUpstream(rest[0], rest[1], rest[2], rest[3:])
	case action == "seeds" && len(rest) > 0:
		w.fleet.seeds = rest
		return nil
	case action == "applied" && len(rest) == 1:
		return w.waitApplied(rest[0])
	case action == "claims" && len(rest) == 1:
		return w.waitClaims(rest[0])
	case action == "changes" && len(rest) == 1:
		return w.makeChanges(rest[0])
	case action == "race" && len(rest) == 1:
		return w.raceWrites(rest[0])
	case action == "watch" && len(rest) == 0:
		w.watch = newVersionWatch(w)
		return nil
	case action == "ejected" && len(rest) == 2:
		return w.watch.checkEjected(rest[0], rest[1])
	case action == "steady" && len(rest) == 0:
		return w.watch.checkSteady()
	case action == "ready" && len(rest) == 2:
		return w.waitReady(rest[0], rest[1])
	}
	return scriptErrorf("fleet %q: no such action with these arguments", args)
}

// certValidity is how long the certificates of a script are valid.
const certValidity = time.Hour

// issueKeys issues a certificate for the process called name and returns the folder
// of its keys. The first call creates the fleet's certificate authority.
func (w *workspace) issueKeys(name string, role keys.Role) (string, error) {
	authority := filepath.Join(w.dir, "keys", "authority")
	if !fileExists(authority) {
		if err := keys.Init(authority); err != nil {
			return "", err
		}
	}
	dir := filepath.Join(w.dir, "keys", name)
	return dir, keys.Issue(authority, dir, name, role, certValidity)
}

func (w *workspace) startNode(name, region, domain string, extra []string) (*fleetNode, error) {
	if w.fleet.node(name) != nil {
		return nil, scriptErrorf("node %q has already been started", name)
	}
	dir, err := w.issueKeys(name, keys.RoleNode)
	if err != nil {
		return nil, err
	}
	n := &fleetNode{name: name, ip: w.vmAddr(len(w.fleet.nodes) + 1)}
	flags := w.nodeFlags(n, dir, region, domain)
	w.mu.Lock()
	w.fleet.nodes = append(w.fleet.nodes, n)
	w.mu.Unlock()
	return n, w.start(name, nodeProgram, append(flags, extra...))
}

func (w *workspace) startUpstream(name, nodeName, service string, extra []string) error {
	n := w.fleet.node(nodeName)
	if n == nil {
		return scriptErrorf("no node is named %q", nodeName)
	}
	port := portUpstream + n.upstreams
	n.upstreams++
	flags := []string{
		"-id", name, "-service", service,
		"-listen", n.addr(port), "-admin-listen", n.addr(port + portAdminOffset),
		"-announce-addr", n.addr(portAnnounce), "-run-log", w.runLog(),
	}
	return w.start(name, "godwithub-upstream", append(flags, extra...))
}

// nodeView is the part of a node's view of the fleet that scripts check.
type nodeView struct {
	Config    string                    `json:"config"`
	Upstreams map[string][]viewUpstream `json:"upstreams"`
}

// viewUpstream is one upstream in a node's view.
type viewUpstream struct {
	ID      string `json:"id"`
	Ejected bool   `json:"ejected"`
}

// version returns the configuration version in force, or the zero version if there
// is none.
func (v *nodeView) version() (resource.Version, error) {
	if v.Config == "" {
		return resource.Version{}, nil
	}
	return apiv1.ParseVersion(v.Config)
}

func (w *workspace) waitReady(countText, timeoutText string) error {
	want, err := strconv.Atoi(countText)
	if err != nil {
		return scriptErrorf("invalid number of upstreams %q", countText)
	}
	timeout, err := time.ParseDuration(timeoutText)
	if err != nil {
		return scriptErrorf("invalid timeout %q: %v", timeoutText, err)
	}
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		if err := waitUntil(timeout, func() error { return n.checkKnows(want, w.control.appliedVersion) }); err != nil {
			return err
		}
	}
	return nil
}

// checkKnows checks that the node has a configuration no older than applied and
// knows that many upstreams.
func (n *fleetNode) checkKnows(upstreams int, applied resource.Version) error {
	v, err := n.view()
	if err != nil {
		return err
	}
	known := 0
	for _, list := range v.Upstreams {
		known += len(list)
	}
	version, err := v.version()
	if err != nil || v.Config == "" || version.Less(applied) || known != upstreams {
		return fmt.Errorf("node %s has configuration %q (%s was applied) and knows %d upstreams of %d", n.name, v.Config, applied, known, upstreams)
	}
	return nil
}

// expandTargets replaces @nodes and @NAME in the flags of a load by -target flags.
func (w *workspace) expandTargets(flags []string) ([]string, error) {
	var out []string
	for _, flag := range flags {
		if len(flag) < 2 || flag[0] != '@' {
			out = append(out, flag)
			continue
		}
		nodes := w.fleet.nodes
		if flag != "@nodes" {
			nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *fleetNode) bool { return n.name != flag[1:] })
		}
		if len(nodes) == 0 {
			return nil, scriptErrorf("%s matches no node", flag)
		}
		for _, n := range nodes {
			out = append(out, "-target", n.addr(portCaller))
		}
	}
	return out, nil
}

// showViews logs each node's view of the fleet.
func (w *workspace) showViews(t testscript.T) {
	for _, n := range w.fleet.nodes {
		_, body, err := get("http://" + n.addr(portDebug) + "/v1/view")
		if err != nil {
			t.Log(fmt.Sprintf("view of node %s: %v", n.name, err))
			continue
		}
		t.Log(fmt.Sprintf("view of node %s: %.3000s", n.name, body))
	}
}
