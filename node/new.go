package node

import (
	"cmp"
	"context"
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
	"github.com/godwithub/godwithub/httpdrain"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// Parts holds what Join builds membership and the configuration source on.
type Parts struct {
	Self   fleet.Node
	Ring   *keys.Ring
	Mux    *link.Mux
	Dialer link.Dialer
	Log    *slog.Logger
	// Stats receives functions that return counters for the metrics, by name of the part.
	Stats map[string]func() any
}

// Join creates the membership and configuration source of a node.
type Join func(Parts) (Membership, ConfigSource, error)

// Options are the replaceable parts of a node. Zero fields stand for the
// native protocols.
type Options struct {
	// Join is required; see JoinFleet.
	Join Join
	// CallerProtocol and UpstreamProtocol name the headers that callers and upstreams use.
	CallerProtocol   ingress.Protocol
	UpstreamProtocol dispatch.Protocol
	// Announcements returns the HTTP handler that passes announcements of the VM's upstreams to the sink.
	Announcements func(announce.Sink, announce.Departures, announce.VM, *slog.Logger) http.Handler
}

// New builds a node and opens its listeners. Run serves them.
func New(settings Settings, log *slog.Logger, options Options) (*Node, error) {
	ring, err := keys.RingOf(settings.LinkSecurity, settings.NodeID, settings.KeysDir)
	if err != nil {
		return nil, err
	}
	if options.Announcements == nil {
		options.Announcements = func(s announce.Sink, _ announce.Departures, _ announce.VM, l *slog.Logger) http.Handler {
			return announce.Handler(s, l)
		}
	}
	n := &Node{
		settings:     settings,
		options:      options,
		log:          partLogger(log, "node"),
		burn:         burn.NewRecorder(),
		stats:        map[string]func() any{},
		observations: make(chan dispatch.Observation, observationBacklog),
	}
	n.crashes = newCrashTracker(n.broadcastCrash)
	if n.dialer, n.listener, err = newLink(&settings, ring); err != nil {
		return nil, err
	}
	self := fleet.Node{
		ID:            fleet.NodeID(settings.NodeID),
		Incarnation:   uint64(time.Now().UnixMilli()),
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		LinkAddr:      cmp.Or(settings.LinkAdvertise, settings.LinkAddr),
		GossipAddr:    settings.GossipAddr,
	}
	n.board = board.New(self, partLogger(log, "board"), n.perform, board.Controllers()...)
	n.mux = link.NewMux(partLogger(log, "link"))
	n.dialer = &link.LocalDialer{Dialer: n.dialer, Addr: self.LinkAddr, Name: settings.NodeID, Mux: n.mux}
	n.groups = n.newGroups(log)
	n.quotas = newQuotaClient(n, self)
	n.buildTraffic(log)
	n.membership, n.configSource, err = options.Join(Parts{self, ring, n.mux, n.dialer, log, n.stats})
	if err != nil {
		return nil, err
	}
	n.stats["quotas"] = n.quotas.metrics
	n.stats["groups"] = func() any { return n.groups.host.Statuses() }
	n.groups.start(n, n.membership.Incarnation(), log)
	return n, n.listen(log)
}

func (n *Node) buildTraffic(log *slog.Logger) {
	configuration := func() *resource.Config { return n.board.View().Config }
	n.dispatcher = dispatch.New(dispatch.Config{
		Log:           partLogger(log, "dispatch"),
		Dialer:        n.dialer,
		Configuration: configuration,
		Observe:       n.observe,
		Gone:          func(id fleet.UpstreamID, startMs int64) { go n.post(board.Withdrawn{ID: id, StartMs: startMs}) },
		Leaving:       func(id fleet.UpstreamID, startMs int64) { go n.post(board.UpstreamLeaving{ID: id, StartMs: startMs}) },
		Crashes:       n.crashes,
		Claims:        n.groups.client,
		Protocol:      n.options.UpstreamProtocol,
		Failing:       n.reportFailing,
		RetryLimits:   n.retryLimits(),
		Repeated:      n.chargeRepeatedCalls(),
	})
	n.dispatcher.Register(n.mux)
	n.mux.Handle(wire.FrameSummaries, n.serveSummaries)
	n.mux.Handle(wire.FrameCrash, n.serveCrash)
	n.mux.Handle(wire.FrameSurvival, n.serveSurvival)
	n.mux.Handle(wire.FrameQuotaRelay, n.quotas.handleRelay)
	n.ingress = ingress.New(ingress.Config{
		Log:    partLogger(log, "ingress"),
		View:   n.board.View,
		Dialer: n.dialer,
		Record: n.countFinished,
		Failed: func(began time.Time) { n.dispatcher.RecordFailedRequest(began, time.Now()) },
		CrossRegion: func(level int, bytes int64) bool {
			return n.crossRegion.allow(n.board.View(), level, bytes)
		},
		WouldCrossRegion: func(level int, bytes int64) bool {
			return n.crossRegion.wouldAllow(n.board.View(), level, bytes)
		},
		Claims:         n.groups.client,
		CallerProtocol: n.options.CallerProtocol,
		Origin:         n.settings.OriginService,
		LameDuck:       n.settings.LameDuck > 0,
		StopTime:       n.shortRequestTime(),
		Quotas:         n.quotas,
		Parent:         n.dispatcher.RunningRequest,
		RefuseForRoom:  true,
		ConfirmConfig:  func(ctx context.Context) (resource.Version, bool) { return n.configSource.Confirm(ctx) },
		Freshness:      configFreshness{n},

		DispatchersLimitRetries: n.settings.RetryRatio > 0,
	})
}

// chargeRepeatedCalls returns the function that charges the calls of repeated runs to the other services, or nil if
// calls are recognized, since each call is then charged where it arrives.
func (n *Node) chargeRepeatedCalls() func(service string) {
	if n.options.CallerProtocol.CallSeparator != "" {
		return nil
	}
	return func(service string) { n.ingress.ChargeRepeatedCalls(service) }
}

// shortRequestTime returns the time within which a request must end to be sent to a node that begins to leave, or 0
// if leaving nodes get no requests.
func (n *Node) shortRequestTime() time.Duration {
	if n.settings.LameDuck == 0 {
		return 0
	}
	return n.settings.stopTime()
}

// reportFailing logs and posts that an upstream's requests have begun to fail or no longer fail.
func (n *Node) reportFailing(id fleet.UpstreamID, startMs int64, failing bool) {
	n.log.Info("upstream's work", "upstream", id, "failing", failing)
	go n.post(board.FailingChanged{ID: id, StartMs: startMs, Failing: failing})
}

// retryLimits returns the share of one upstream in the fleet's retry budget for its service, or nil if
// the settings state none.
func (n *Node) retryLimits() func(service string) retry.Limits {
	if n.settings.RetryRatio == 0 {
		return nil
	}
	return func(service string) retry.Limits {
		return retry.FleetLimits(n.settings.RetryRatio, n.settings.RetrySlack, len(n.board.View().Upstreams[service]))
	}
}

// vm returns what this node knows of its VM without any announcement.
func (n *Node) vm() announce.VM {
	s := &n.settings
	return announce.VM{
		Service: s.OriginService, NodeAddrs: []string{s.CallerAddr, s.AnnounceAddr, s.ReadyAddr, s.LinkAddr, s.DebugAddr},
		Services: &n.services,
	}
}

func (n *Node) listen(log *slog.Logger) error {
	var err error
	if n.callerLn, err = net.Listen("tcp", n.settings.CallerAddr); err != nil {
		return fmt.Errorf("node: caller address: %w", err)
	}
	n.callerLn = ingress.ListenForCallers(n.callerLn)
	n.callerConns = httpdrain.New()
	n.callerServer = newCallerServer(n.ingress, n.callerConns)
	if n.announceLn, err = net.Listen("tcp", n.settings.AnnounceAddr); err != nil {
		return fmt.Errorf("node: announce address: %w", err)
	}
	n.announcements = newLocalServer(n.options.Announcements(announcementSink{n}, n.membership, n.vm(), partLogger(log, "announce")))
	if n.settings.ReadyAddr != "" {
		if n.readyLn, err = net.Listen("tcp", n.settings.ReadyAddr); err != nil {
			return fmt.Errorf("node: ready address: %w", err)
		}
		n.ready = newLocalServer(http.HandlerFunc(n.serveHealth))
	}
	if n.settings.DebugAddr == "" {
		return nil
	}
	if n.debugLn, err = net.Listen("tcp", n.settings.DebugAddr); err != nil {
		return fmt.Errorf("node: debug address: %w", err)
	}
	n.debug = newLocalServer(n.debugHandler())
	return nil
}
