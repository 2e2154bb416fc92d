// Package node assembles the process of a node: ingress, dispatcher, board, link, membership
// and the source of the configuration.
package node

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/dispatch"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/httpdrain"
	"github.com/godwithub/godwithub/ingress"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/quiclink"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Node is one running node.
type Node struct {
	settings Settings
	options  Options
	log      *slog.Logger

	board        *board.Board
	dispatcher   *dispatch.Dispatcher
	ingress      *ingress.Ingress
	mux          *link.Mux
	dialer       link.Dialer
	listener     link.Listener
	membership   Membership
	configSource ConfigSource
	crashes      *crashTracker
	burn         *burn.Recorder
	groups       *groups
	quotas       *quotaClient
	crossRegion  crossRegionBudget
	services     configuredServices

	observations        chan dispatch.Observation
	droppedObservations expvar.Int // observations dropped because the queue was full
	// stats holds functions that return the counters of further parts, by name.
	stats map[string]func() any
	// background is the context of the actions that run in the background. It ends with Run.
	background context.Context

	callerServer, announcements, ready, debug *http.Server
	callerConns                               *httpdrain.Conns
	callerLn, announceLn, readyLn, debugLn    net.Listener
}

// Membership announces this node to the fleet and reports the other members.
type Membership interface {
	SetLocal(fleet.Node)
	// Subscribe calls f for each present member and for each later change of a member.
	Subscribe(f func(fleet.Node))
	Leave(ctx context.Context) error
	announce.Departures
	// Incarnation returns the incarnation of this process as other nodes see it.
	Incarnation() uint64
	Close() error
}

// ConfigSource delivers configurations to this node.
type ConfigSource interface {
	// Subscribe calls f for the current configuration, if any, and for each newer one.
	Subscribe(f func(*resource.Set))
	Run(ctx context.Context) error
	// Confirm asks whether there is a newer configuration and returns the version of the newest, which
	// was passed to Subscribe. It returns the present one and false if nothing answers until ctx ends.
	Confirm(ctx context.Context) (v resource.Version, confirmed bool)
	ingress.Freshness
	// Control returns the dialer and addresses of the control VMs.
	Control() ControlDialer
}

// newLink returns the dialer and listener of the transport in the settings.
func newLink(settings *Settings, ring *keys.Ring) (link.Dialer, link.Listener, error) {
	host, _, err := net.SplitHostPort(settings.LinkAddr)
	if err != nil {
		return nil, nil, fmt.Errorf("node: link address: %w", err)
	}
	if settings.LinkTransport == "quic" {
		d, err := quiclink.NewDialer(host, ring.Client(keys.RoleNode), settings.LinkConns)
		if err != nil {
			return nil, nil, err
		}
		l, err := quiclink.Listen(settings.LinkAddr, ring.Server())
		if err != nil {
			d.Close()
			return nil, nil, err
		}
		return d, l, nil
	}
	l, err := tlslink.Listen(settings.LinkAddr, ring.Server())
	if err != nil {
		return nil, nil, err
	}
	return tlslink.NewDialer(host, ring.Client(keys.RoleNode)), l, nil
}

const (
	// headerTimeout bounds the time to read the header of an HTTP request of a caller.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
)

// newCallerServer returns the HTTP server for callers: HTTP/1.1, and HTTP/2 without TLS.
func newCallerServer(h http.Handler, conns *httpdrain.Conns) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		MaxHeaderBytes:    ingress.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         conns.Track,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

const (
	// localHeaderBytes and localRequestTimeout bound the requests to the ports for announcements, health and
	// metrics, which are small.
	localHeaderBytes    = 8 << 10
	localRequestTimeout = 5 * time.Second
)

// newLocalServer returns an HTTP server for the upstreams and operators of this VM.
func newLocalServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		MaxHeaderBytes: localHeaderBytes,
		ReadTimeout:    localRequestTimeout,
		IdleTimeout:    idleTimeout,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// announcementSink passes announcements to the dispatcher, so that it refuses requests for a
// draining upstream at once, and to the board, which publishes them to the fleet.
type announcementSink struct{ n *Node }

func (s announcementSink) Announce(a announce.Announcement) {
	s.n.dispatcher.Announce(a)
	s.n.post(board.Announced{Announcement: a})
}

func (s announcementSink) Withdraw(id fleet.UpstreamID) {
	s.n.dispatcher.Withdraw(id)
	s.n.post(board.Withdrawn{ID: id})
}

// postTimeout bounds the wait while the board's event queue is full.
const postTimeout = time.Second

func (n *Node) post(e board.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	if err := n.board.Post(ctx, e); err != nil {
		n.log.Error("event not posted to the board", "event", fmt.Sprintf("%T", e), "fault", err)
	}
}

// perform executes the actions that the board's controllers request.
func (n *Node) perform(a board.Action) {
	switch a := a.(type) {
	case board.PublishSelf:
		n.membership.SetLocal(a.Node)
	case board.DropUpstream:
		n.dispatcher.Withdraw(a.ID)
	case board.MarkSuspect:
		n.dispatcher.SetSuspect(a.ID, a.Suspect)
	case board.SendSummaries:
		go n.sendSummaries(n.background, a)
	case board.AskLedger:
		go n.askLedger(n.background, a.Command)
	}
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	// Servers keep running while the node leaves, so their context does not end with ctx.
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	n.background = runCtx
	g.Go(func() error { n.board.Run(runCtx); return nil })
	g.Go(func() error { n.batchObservations(runCtx); return nil })
	n.membership.Subscribe(func(m fleet.Node) {
		n.quotas.updateMember(m)
		n.post(board.NodeChanged{Node: m})
	})
	g.Go(func() error { n.quotas.pool.Run(runCtx); return nil })
	n.configSource.Subscribe(func(s *resource.Set) {
		c := resource.Compile(s)
		n.log.Info("configuration received", "version", c.Version.String(), "routes", c.Routes())
		n.post(board.ConfigChanged{Config: c})
		n.services.update(c)
		n.groups.host.SetGroups(c.Groups)
	})
	g.Go(func() error { return n.mux.Serve(runCtx, n.listener) })
	g.Go(func() error { return n.configSource.Run(runCtx) })
	g.Go(func() error { return serve(n.callerServer, httpdrain.Listener(n.callerLn)) })
	g.Go(func() error { return serve(n.announcements, n.announceLn) })
	if n.debug != nil {
		g.Go(func() error { return serve(n.debug, n.debugLn) })
	}
	if n.ready != nil {
		g.Go(func() error { return serve(n.ready, n.readyLn) })
	}
	g.Go(func() error { n.maintain(runCtx); return nil })
	if n.settings.ReportBurn {
		g.Go(func() error { n.reportBurn(runCtx, n.configSource.Control()); return nil })
	}
	n.log.Info("node is up", "node", n.settings.NodeID, "callers", n.callerLn.Addr(), "link", n.listener.Addr())
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	err := n.leave()
	stop()
	return errors.Join(err, n.waitForBackground(g))
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// maintainInterval is the time between calls of ingress.Maintain, which cleans up its tables.
const maintainInterval = time.Minute

func (n *Node) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			n.ingress.Maintain(now)
		}
	}
}

// leave stops gracefully: it announces that the node leaves, refuses new requests, and waits
// for the requests in flight.
func (n *Node) leave() error {
	n.log.Info("node is leaving")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.LameDuck+n.settings.DrainTimeout)
	defer cancel()
	defer time.AfterFunc(n.settings.stopTime(), n.ingress.Interrupt).Stop()
	defer time.AfterFunc(n.settings.stopTime(), n.dispatcher.Interrupt).Stop()
	stopAt := time.Now().Add(n.settings.stopTime())
	n.dispatcher.BeginLeave(stopAt)
	n.post(board.LeaveRequested{})
	// It may take a while until the other nodes know that this node leaves. Callers are served
	// meanwhile.
	leaveResult := make(chan error, 1)
	go func() { leaveResult <- wrap("announcement of the leave", n.membership.Leave(ctx)) }()
	n.lameDuck(ctx)
	err := wrap("requests of callers", n.finishRequests(ctx, stopAt))
	// Until here, the dispatcher accepts attempts of other nodes that end before stopAt.
	n.closeUpstreams(stopAt)
	err = errors.Join(err, wrap("attempts of other nodes", n.dispatcher.Leave(ctx)))
	err = errors.Join(err, wrap("connections of callers", n.closeCallers(ctx, stopAt)), <-leaveResult)
	n.closeAll()
	if err != nil {
		return fmt.Errorf("node: leave: %w", err)
	}
	n.log.Info("node has left")
	return nil
}

// wrap adds to err the name of the step that failed. It returns nil if err is nil.
func wrap(what string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// finishRequests takes no new requests of callers and waits for those in flight. The listener and idle connections stay
// open for the calls of requests that upstreams of this VM run, if calls are recognized.
func (n *Node) finishRequests(ctx context.Context, stopAt time.Time) error {
	if n.options.CallerProtocol.CallSeparator == "" {
		return n.closeCallers(ctx, stopAt)
	}
	n.ingress.RefuseNew(stopAt)
	return n.ingress.Leave(ctx)
}

// closeCallers closes the listener for callers and waits for their requests in flight, and for
// those that are still being read. Idle connections are closed, so that callers connect to other
// nodes.
func (n *Node) closeCallers(ctx context.Context, stopAt time.Time) error {
	n.callerLn.Close()
	err := n.callerConns.Finish(ctx)
	// What is read from now on is not waited for, and the end of the process would cut it off.
	n.ingress.RefuseNew(stopAt)
	return errors.Join(err, n.ingress.Leave(ctx))
}

// closeAll closes listeners, connections and servers, for backgroundTimeout at most. Some of
// them wait for peers that may not respond, and nothing is lost if the process exits first.
func (n *Node) closeAll() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.callerServer.Close()
		n.announcements.Close()
		n.groups.stop()
		n.listener.Close()
		n.dialer.Close()
		n.membership.Close()
		for _, s := range []*http.Server{n.debug, n.ready} {
			if s != nil {
				s.Close()
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(backgroundTimeout):
		n.log.Warn("connections to other processes were not closed in time")
	}
}

// closeUpstreams announces that the upstreams of this VM take no more requests, and waits until the other nodes have
// learned of it: an attempt that arrives as the process exits would be lost, and its outcome unknown. It does nothing
// without a lame-duck time, since the other nodes then send nothing to a leaving node, nor shortly before stopAt,
// when they have stopped sending by themselves.
func (n *Node) closeUpstreams(stopAt time.Time) {
	if n.settings.LameDuck > 0 && time.Until(stopAt) > closeNotice {
		n.post(board.UpstreamsClosed{})
		time.Sleep(closeNotice)
	}
}

// stopTime returns how long a stop takes if requests are still in flight.
func (s *Settings) stopTime() time.Duration { return s.LameDuck + s.DrainTimeout - answerMargin }

// lameDuck waits for the lame-duck time, during which the node takes requests
// until callers have learned that it leaves.
func (n *Node) lameDuck(ctx context.Context) {
	select {
	case <-time.After(n.settings.LameDuck):
	case <-ctx.Done():
	}
}

const (
	// answerMargin is how long before the time for a stop runs out the requests in flight are
	// interrupted, so that they can still be answered.
	answerMargin = 250 * time.Millisecond
	// closeNotice is the time in which the other nodes learn that the upstreams of this VM are closed.
	closeNotice = 250 * time.Millisecond
	// backgroundTimeout bounds each wait for background work to end after a stop.
	backgroundTimeout = 150 * time.Millisecond
)

// waitForBackground waits until the background work of g has ended, for backgroundTimeout at
// most. None of it holds state that would be lost.
func (n *Node) waitForBackground(g *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(backgroundTimeout):
		n.log.Warn("background work did not end in time")
		return nil
	}
}

// partLogger returns the logger of a part of the node.
func partLogger(l *slog.Logger, part string) *slog.Logger { return logging.Part(l, part) }
