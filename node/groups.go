package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/idempotency"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// ledgerTimeout bounds one command to a ledger.
const ledgerTimeout = 2 * time.Second

// groups holds this node's replicas of idempotency groups, and the client for the
// claims and ledgers of any group.
type groups struct {
	transport *replica.LinkTransport
	caller    *idempotency.LinkCaller
	client    *idempotency.Client
	host      *idempotency.Host
}

func (n *Node) newGroups(log *slog.Logger) *groups {
	g := &groups{}
	g.transport = replica.NewLinkTransport(n.dialer, n.linkAddr, partLogger(log, "groups"))
	g.caller = &idempotency.LinkCaller{
		Dialer:  n.dialer,
		Resolve: func(id fleet.NodeID) string { return n.linkAddr(string(id)) },
		Self:    fleet.NodeID(n.settings.NodeID),
		Relay:   n.randomNode,
	}
	g.client = idempotency.NewClient(g.caller, n.groupOf)
	return g
}

// start creates the host of this node's replicas and registers its handlers. incarnation is
// that of this process.
func (g *groups) start(n *Node, incarnation uint64, log *slog.Logger) {
	g.host = idempotency.NewHost(idempotency.HostConfig{
		Node:        fleet.NodeID(n.settings.NodeID),
		Incarnation: incarnation,
		Transport:   g.transport,
		Forward:     g.caller.CallDirect,
		NewLedger:   func(string) consensus.StateMachine { return ejection.New() },
		Log:         partLogger(log, "groups"),
	})
	g.caller.Local = g.host
	n.mux.Handle(wire.FrameConsensus, g.transport.Handle)
	n.mux.Handle(wire.FrameGroupCall, g.host.Handle)
	n.mux.Handle(wire.FrameGroupStatus, g.host.HandleStatus)
}

func (g *groups) stop() {
	g.client.Close()
	g.host.Stop()
	g.transport.Close()
}

// randomNode returns the link address of a random usable node other than this one
// and exclude, or "".
func (n *Node) randomNode(exclude fleet.NodeID) string {
	nodes := n.board.View().Nodes
	if len(nodes) == 0 {
		return ""
	}
	offset := rand.IntN(len(nodes))
	for i := range nodes {
		if node := &nodes[(i+offset)%len(nodes)]; node.ID != exclude {
			return node.LinkAddr
		}
	}
	return ""
}

// linkAddr returns the link address of a usable node, or "".
func (n *Node) linkAddr(id string) string {
	v := n.board.View()
	if string(v.Self.ID) == id {
		return v.Self.LinkAddr
	}
	node, ok := v.Node(fleet.NodeID(id))
	if !ok {
		return ""
	}
	return node.LinkAddr
}

// groupOf returns the group of a service, or nil.
func (n *Node) groupOf(service string) *resource.Group {
	c := n.board.View().Config
	if c == nil || c.Services[service] == nil {
		return nil
	}
	return c.Groups[c.Services[service].Group]
}

// askLedger sends a command to the ledger of its service and posts the result to the board.
func (n *Node) askLedger(ctx context.Context, c ejection.Command) {
	g := n.groupOf(c.Service)
	if g == nil {
		return
	}
	b, err := ejection.Encode(c)
	if err != nil {
		n.log.Error("ledger command not encoded", "service", c.Service, "fault", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	answer, err := n.groups.client.CommitLedger(ctx, g, b)
	if err != nil {
		n.log.Debug("ledger command failed", "service", c.Service, "group", g.Name, "fault", err)
		return
	}
	r, err := ejection.DecodeResult(answer)
	if err != nil {
		n.log.Error("ledger result not decoded", "service", c.Service, "fault", err)
		return
	}
	if c.Operation == ejection.OpEject {
		n.log.Info("ejection asked for", "upstream", c.Upstream, "severity", c.Severity, "denial", r.Denial, "capacity", r.Capacity, "floor", r.Floor)
	}
	n.post(board.LedgerAnswered{Service: c.Service, Operation: c.Operation, Result: r})
}
