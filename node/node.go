// Package node assembles a node: ingress and dispatcher around the board, the
// link, membership and the configuration.
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
	set     Settings
	options Options
	log     *slog.Logger

	board      *board.Board
	dispatcher *dispatch.Dispatcher
	ingress    *ingress.Ingress
	mux        *link.Mux
	dialer     link.Dialer
	listener   link.Listener
	members    Membership
	config     ConfigSource
	crashes    *crashes
	burn       *burn.Recorder
	groups     *groups
	crossing   crossing

	observations chan dispatch.Observation
	dropped      expvar.Int // observations
	// stats are the counters of parts that join the node, by name.
	stats map[string]func() any
	// background ends the exchanges that the board asks for.
	background context.Context

	callers, announcements, ready, debug   *http.Server
	callerLn, announceLn, readyLn, debugLn net.Listener
}

// Membership tells the fleet of this node and this node of the fleet.
type Membership interface {
	SetLocal(fleet.Node)
	// Subscribe calls f for each change of a member, and for present members.
	Subscribe(f func(fleet.Node))
	Leave(ctx context.Context) error
	// Incarnation is that of this process as other nodes see it.
	Incarnation() uint64
	Close() error
}

// ConfigSource brings configurations to this node.
type ConfigSource interface {
	// Subscribe calls f for the present configuration, if any, and newer ones.
	Subscribe(f func(*resource.Set))
	Run(ctx context.Context) error
	// Control returns how to reach the control VMs.
	Control() ControlDialer
}

// newLink returns the dialer and listener of the transport in the settings.
func newLink(set *Settings, ring *keys.Ring) (link.Dialer, link.Listener, error) {
	host, _, err := net.SplitHostPort(set.LinkAddr)
	if err != nil {
		return nil, nil, fmt.Errorf("node: link address: %w", err)
	}
	if set.LinkTransport == "quic" {
		d, err := quiclink.NewDialer(host, ring.Client(keys.RoleNode), set.LinkConns)
		if err != nil {
			return nil, nil, err
		}
		l, err := quiclink.Listen(set.LinkAddr, ring.Server())
		if err != nil {
			d.Close()
			return nil, nil, err
		}
		return d, l, nil
	}
	l, err := tlslink.Listen(set.LinkAddr, ring.Server())
	if err != nil {
		return nil, nil, err
	}
	return tlslink.NewDialer(host, ring.Client(keys.RoleNode)), l, nil
}

// headerTimeout bounds the wait for a caller's request header.
const headerTimeout = 10 * time.Second

// callerServer returns the server for callers.
func callerServer(h http.Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		MaxHeaderBytes:    ingress.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
}

// sink passes announcements to the dispatcher, which refuses work at once, and
// to the board, which tells the fleet.
type sink struct{ n *Node }

func (s sink) Announce(a announce.Announcement) {
	s.n.dispatcher.Announce(a)
	s.n.post(board.Announced{Announcement: a})
}

func (s sink) Withdraw(id fleet.UpstreamID) {
	s.n.dispatcher.Withdraw(id)
	s.n.post(board.Withdrawn{ID: id})
}

// postTimeout bounds the wait for a place in the board's backlog.
const postTimeout = time.Second

func (n *Node) post(e board.Event) {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	if err := n.board.Post(ctx, e); err != nil {
		n.log.Error("board took no event", "event", fmt.Sprintf("%T", e), "fault", err)
	}
}

// perform carries out the actions that the board's controllers ask for.
func (n *Node) perform(a board.Action) {
	switch a := a.(type) {
	case board.PublishSelf:
		n.members.SetLocal(a.Node)
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
	// Servers go on while the node leaves, so they do not end with ctx.
	run, stop := context.WithCancel(context.Background())
	defer stop()
	g, run := errgroup.WithContext(run)
	n.background = run
	g.Go(func() error { n.board.Run(run); return nil })
	g.Go(func() error { n.batchObservations(run); return nil })
	n.members.Subscribe(func(m fleet.Node) { n.post(board.NodeChanged{Node: m}) })
	n.config.Subscribe(func(s *resource.Set) {
		c := resource.Compile(s)
		n.log.Info("configuration received", "version", c.Version.String(), "routes", c.Routes())
		n.post(board.ConfigChanged{Config: c})
		n.groups.host.SetGroups(c.Groups)
	})
	g.Go(func() error { return n.mux.Serve(run, n.listener) })
	g.Go(func() error { return n.config.Run(run) })
	g.Go(func() error { return serve(n.callers, n.callerLn) })
	g.Go(func() error { return serve(n.announcements, n.announceLn) })
	if n.debug != nil {
		g.Go(func() error { return serve(n.debug, n.debugLn) })
	}
	if n.ready != nil {
		g.Go(func() error { return serve(n.ready, n.readyLn) })
	}
	g.Go(func() error { n.maintain(run); return nil })
	if n.set.ReportBurn {
		g.Go(func() error { n.reportBurn(run, n.config.Control()); return nil })
	}
	n.log.Info("node is up", "node", n.set.NodeID, "callers", n.callerLn.Addr(), "link", n.listener.Addr())
	select {
	case <-ctx.Done():
	case <-run.Done():
	}
	err := n.leave()
	stop()
	return errors.Join(err, n.waitFor(g))
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// maintainInterval is the time between clean-ups of the ingress's tables.
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

// leave stops gracefully: it tells the fleet, refuses new work, and waits for
// the work in hand.
func (n *Node) leave() error {
	n.log.Info("node is leaving")
	ctx, cancel := context.WithTimeout(context.Background(), n.set.LameDuck+n.set.DrainTimeout)
	defer cancel()
	defer time.AfterFunc(n.set.LameDuck+n.set.DrainTimeout-answerMargin, n.ingress.Interrupt).Stop()
	n.post(board.LeaveRequested{})
	// The fleet may be slow to hear of it, and callers are served meanwhile.
	told := make(chan error, 1)
	go func() { told <- n.members.Leave(ctx) }()
	n.lameDuck(ctx)
	err := n.finishRequests(ctx)
	// Attempts from other nodes are refused only now that they know.
	err = errors.Join(err, n.dispatcher.Leave(ctx), <-told)
	n.release()
	if err != nil {
		return fmt.Errorf("node: leave: %w", err)
	}
	n.log.Info("node has left")
	return nil
}

// finishRequests closes the listener for callers and waits for their requests.
// Connections that are idle are closed, so that callers turn to other nodes.
func (n *Node) finishRequests(ctx context.Context) error {
	closed := make(chan error, 1)
	go func() { closed <- n.callers.Shutdown(ctx) }()
	err := n.ingress.Leave(ctx)
	// Shutdown looks for connections without a request at intervals of up to
	// half a second. Once all requests are answered, only their last bytes may
	// be under way.
	select {
	case <-closed:
	case <-time.After(flushMargin):
	}
	return err
}

// release closes what is open. Some of it waits for peers that may be silent,
// and nothing is lost if the process ends before.
func (n *Node) release() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.announcements.Close()
		n.groups.stop()
		n.listener.Close()
		n.dialer.Close()
		n.members.Close()
		for _, s := range []*http.Server{n.debug, n.ready} {
			if s != nil {
				s.Close()
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(endMargin):
		n.log.Warn("connections to other processes have not ended")
	}
}

// lameDuck goes on taking requests until callers have learned that the node
// leaves.
func (n *Node) lameDuck(ctx context.Context) {
	select {
	case <-time.After(n.set.LameDuck):
	case <-ctx.Done():
	}
}

const (
	// answerMargin is the part of the time for a stop that is left for the
	// answers to requests which are interrupted.
	answerMargin = 250 * time.Millisecond
	// flushMargin is the time for the last bytes of answers.
	flushMargin = 100 * time.Millisecond
	// endMargin bounds each wait for background work after a stop.
	endMargin = 150 * time.Millisecond
)

// waitFor waits until the background work of g has ended, for endMargin at most.
// None of it holds anything that would be lost.
func (n *Node) waitFor(g *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(endMargin):
		n.log.Warn("background work has not ended")
		return nil
	}
}

// prefixed returns the logger of a part.
func prefixed(l *slog.Logger, part string) *slog.Logger { return logging.Part(l, part) }
