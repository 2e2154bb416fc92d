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

// The fleet command starts daemons with sensible flags:
//
//	fleet seeds ADDR...                        link addresses to join by, instead of the first node's
//	fleet control N [relayed]                  start a control group of N on VMs of their own, with a
//	                                           relay in front of each member's link if asked to
//	fleet config FILE|default                  put a configuration in force
//	fleet node NAME REGION DOMAIN [FLAG...]    start a node on the next free VM
//	fleet upstream NAME NODE SERVICE [FLAG...] start a stand-in on the VM of a node
//	fleet claims BOUND                         all running nodes serve orders with a key
//	fleet ready UPSTREAMS BOUND                all running nodes know the configuration and that many upstreams
//	fleet applied BOUND                        all running nodes have the configuration that was written last
//	fleet changes N                            write N changes, one after the other
//	fleet race N                               operators change the same resource at once, N times, and resend
//	fleet watch                                watch the configuration version of each node from here on
//	fleet ejected SERVICE N                    at no time since have more than N been ejected
//	fleet steady                               no node went back to an older version since
//
// After fleet node, $NAME is the address of the node's VM. The flag @nodes of
// load stands for the caller addresses of all nodes, and @NAME for that of one.

// Ports of a node's VM.
const (
	portCaller   = 8080
	portLink     = 7000
	portGossip   = 7001
	portAnnounce = 7002
	portDebug    = 7003
	portAPI      = 8443
	// portUpstream is that of the VM's first upstream; its admin endpoint is
	// portAdminOffset above.
	portUpstream    = 9001
	portAdminOffset = 100
)

// fleetState is the fleet of one script.
type fleetState struct {
	nodes []*fleetNode // in the order of their start
	seeds []string     // link addresses; nil: the first node
}

// fleetNode is one node and its VM.
type fleetNode struct {
	name      string
	ip        string
	upstreams int // started on the VM so far
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

func fleetCommand(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return misused("usage: fleet ACTION ...")
	}
	switch action, rest := args[0], args[1:]; {
	case action == "control" && len(rest) == 1:
		return w.startControl(ts, rest[0], false)
	case action == "control" && len(rest) == 2 && rest[1] == "relayed":
		return w.startControl(ts, rest[0], true)
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
		return w.watch.verdict()
	case action == "ready" && len(rest) == 2:
		return w.waitReady(rest[0], rest[1])
	}
	return misused("fleet %q: no such action with these arguments", args)
}

// keysLifetime is that of certificates of scripts.
const keysLifetime = time.Hour

// issueKeys makes the fleet's authority at its first call, and a certificate
// for the process called name. It returns the folder of the process's keys.
func (w *world) issueKeys(name string, role keys.Role) (string, error) {
	authority := filepath.Join(w.work, "keys", "authority")
	if !fileExists(authority) {
		if err := keys.Init(authority); err != nil {
			return "", err
		}
	}
	dir := filepath.Join(w.work, "keys", name)
	return dir, keys.Issue(authority, dir, name, role, keysLifetime)
}

func (w *world) startNode(name, region, domain string, extra []string) (*fleetNode, error) {
	if w.fleet.node(name) != nil {
		return nil, misused("node %q was started already", name)
	}
	dir, err := w.issueKeys(name, keys.RoleNode)
	if err != nil {
		return nil, err
	}
	n := &fleetNode{name: name, ip: w.vm(len(w.fleet.nodes) + 1)}
	flags := w.nodeFlags(n, dir, region, domain)
	w.mu.Lock()
	w.fleet.nodes = append(w.fleet.nodes, n)
	w.mu.Unlock()
	return n, w.start(name, nodeProgram, append(flags, extra...))
}

func (w *world) startUpstream(name, nodeName, service string, extra []string) error {
	n := w.fleet.node(nodeName)
	if n == nil {
		return misused("no node %q", nodeName)
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

// nodeView is the part of a node's view that scripts wait for.
type nodeView struct {
	Config    string                    `json:"config"`
	Upstreams map[string][]viewUpstream `json:"upstreams"`
}

// viewUpstream is one upstream in a node's view.
type viewUpstream struct {
	ID      string `json:"id"`
	Ejected bool   `json:"ejected"`
}

// version returns the version in force, or the zero version if there is none.
func (v *nodeView) version() (resource.Version, error) {
	if v.Config == "" {
		return resource.Version{}, nil
	}
	return apiv1.ParseVersion(v.Config)
}

func (w *world) waitReady(countText, boundText string) error {
	want, err := strconv.Atoi(countText)
	if err != nil {
		return misused("%q is no number of upstreams", countText)
	}
	bound, err := time.ParseDuration(boundText)
	if err != nil {
		return misused("bound %q: %v", boundText, err)
	}
	for _, n := range w.fleet.nodes {
		if p, err := w.process(n.name); err != nil || !p.running() {
			continue
		}
		if err := waitUntil(bound, func() error { return n.knows(want, w.control.applied) }); err != nil {
			return err
		}
	}
	return nil
}

// knows returns nil if the node has a configuration no older than applied and
// knows that many upstreams.
func (n *fleetNode) knows(upstreams int, applied resource.Version) error {
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
		return fmt.Errorf("%s knows configuration %q (%s was applied) and %d upstreams of %d", n.name, v.Config, applied, known, upstreams)
	}
	return nil
}

// expandTargets replaces @nodes and @NAME in the flags of a load by targets.
func (w *world) expandTargets(flags []string) ([]string, error) {
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
			return nil, misused("%s stands for no node", flag)
		}
		for _, n := range nodes {
			out = append(out, "-target", n.addr(portCaller))
		}
	}
	return out, nil
}

// showViews logs what each node knows of the fleet.
func (w *world) showViews(t testscript.T) {
	for _, n := range w.fleet.nodes {
		_, body, err := get("http://" + n.addr(portDebug) + "/v1/view")
		if err != nil {
			t.Log(fmt.Sprintf("view of %s: %v", n.name, err))
			continue
		}
		t.Log(fmt.Sprintf("view of %s: %.3000s", n.name, body))
	}
}
