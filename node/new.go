package node

import (
	"cmp"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Parts is what membership and configuration are built on.
type Parts struct {
	Self   fleet.Node
	Ring   *keys.Ring
	Mux    *link.Mux
	Dialer link.Dialer
	Log    *slog.Logger
	// Stats takes functions that return counters for the metrics, by part.
	Stats map[string]func() any
}

// Join connects a node to membership and configuration.
type Join func(Parts) (Membership, ConfigSource, error)

// Options are the exchangeable parts of a node. Zero fields stand for the
// system's own protocols.
type Options struct {
	// Join is required; see JoinFleet.
	Join Join
	// Callers and Upstreams name the headers that callers and upstreams use.
	Callers   ingress.Protocol
	Upstreams dispatch.Protocol
	// Announcements returns the handler of announcements.
	Announcements func(announce.Sink, *slog.Logger) http.Handler
}

// New opens the node's addresses. Run serves them.
func New(set Settings, log *slog.Logger, options Options) (*Node, error) {
	ring, err := keys.RingOf(set.LinkSecurity, set.NodeID, set.KeysDir)
	if err != nil {
		return nil, err
	}
	if options.Announcements == nil {
		options.Announcements = announce.Handler
	}
	n := &Node{
		set:          set,
		options:      options,
		log:          prefixed(log, "node"),
		burn:         burn.NewRecorder(),
		stats:        map[string]func() any{},
		observations: make(chan dispatch.Observation, observationBacklog),
	}
	n.crashes = newCrashes(n.spreadCrash)
	if n.dialer, n.listener, err = newLink(&set, ring); err != nil {
		return nil, err
	}
	self := fleet.Node{
		ID:            fleet.NodeID(set.NodeID),
		Incarnation:   uint64(time.Now().UnixMilli()),
		Region:        set.Region,
		FailureDomain: set.FailureDomain,
		LinkAddr:      cmp.Or(set.LinkAdvertise, set.LinkAddr),
		GossipAddr:    set.GossipAddr,
	}
	n.board = board.New(self, prefixed(log, "board"), n.perform, board.Controllers()...)
	n.mux = link.NewMux(prefixed(log, "link"))
	n.dialer = &link.LocalDialer{Dialer: n.dialer, Addr: set.LinkAddr, Name: set.NodeID, Mux: n.mux}
	n.groups = n.newGroups(log)
	n.buildTraffic(log)
	n.members, n.config, err = options.Join(Parts{self, ring, n.mux, n.dialer, log, n.stats})
	if err != nil {
		return nil, err
	}
	n.stats["groups"] = func() any { return n.groups.host.Statuses() }
	n.groups.start(n, n.members.Incarnation(), log)
	return n, n.listen(log)
}

func (n *Node) buildTraffic(log *slog.Logger) {
	configuration := func() *resource.Config { return n.board.View().Config }
	n.dispatcher = dispatch.New(dispatch.Config{
		Log:           prefixed(log, "dispatch"),
		Dialer:        n.dialer,
		Configuration: configuration,
		Observe:       n.observe,
		Gone:          func(id fleet.UpstreamID) { go n.post(board.Withdrawn{ID: id}) },
		Crashes:       n.crashes,
		Claims:        n.groups.client,
		Upstreams:     n.options.Upstreams,
		Failing:       n.reportFailing,
		Repeated:      func(service string) { n.ingress.ChargeCalls(service) },
	})
	n.dispatcher.Register(n.mux)
	n.mux.Handle(wire.FrameSummaries, n.serveSummaries)
	n.mux.Handle(wire.FrameCrash, n.serveCrash)
	n.ingress = ingress.New(ingress.Config{
		Log:    prefixed(log, "ingress"),
		View:   n.board.View,
		Dialer: n.dialer,
		Record: n.countFinished,
		CrossRegion: func(level int, answerBytes int64) bool {
			return n.crossing.allow(n.board.View(), level, answerBytes)
		},
		Claims:   n.groups.client,
		Callers:  n.options.Callers,
		Origin:   n.set.OriginService,
		LameDuck: n.set.LameDuck > 0,

		RetryLimits: n.retryLimits(),
	})
}

// reportFailing tells the board, which tells the fleet.
func (n *Node) reportFailing(id fleet.UpstreamID, failing bool) {
	n.log.Info("upstream's work", "upstream", id, "failing", failing)
	go n.post(board.FailingChanged{ID: id, Failing: failing})
}

// retryLimits returns this node's part of the fleet's retries; nil if the
// settings state no allowance of the fleet.
func (n *Node) retryLimits() func() retry.Limits {
	if n.set.RetryRatio == 0 {
		return nil
	}
	return func() retry.Limits {
		return retry.FleetLimits(n.set.RetryRatio, n.set.RetrySlack, len(n.board.View().Nodes)+1)
	}
}

func (n *Node) listen(log *slog.Logger) error {
	var err error
	if n.callerLn, err = net.Listen("tcp", n.set.CallerAddr); err != nil {
		return fmt.Errorf("node: caller address: %w", err)
	}
	n.callers = callerServer(n.ingress)
	if n.announceLn, err = net.Listen("tcp", n.set.AnnounceAddr); err != nil {
		return fmt.Errorf("node: announce address: %w", err)
	}
	n.announcements = &http.Server{
		Handler:           n.options.Announcements(sink{n}, prefixed(log, "announce")),
		ReadHeaderTimeout: headerTimeout,
	}
	if n.set.ReadyAddr != "" {
		if n.readyLn, err = net.Listen("tcp", n.set.ReadyAddr); err != nil {
			return fmt.Errorf("node: ready address: %w", err)
		}
		n.ready = &http.Server{Handler: http.HandlerFunc(n.serveHealth), ReadHeaderTimeout: headerTimeout}
	}
	if n.set.DebugAddr == "" {
		return nil
	}
	if n.debugLn, err = net.Listen("tcp", n.set.DebugAddr); err != nil {
		return fmt.Errorf("node: debug address: %w", err)
	}
	n.debug = &http.Server{Handler: n.debugHandler(), ReadHeaderTimeout: headerTimeout}
	return nil
}
