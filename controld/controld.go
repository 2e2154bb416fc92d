// Package controld assembles a member of the control group: the replicated
// configuration, the link to other processes and the resource API.
package controld

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/httpdrain"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/link/tlslink"
	"github.com/godwithub/godwithub/logging"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Parts are the components of a daemon on which replication and distribution are built.
type Parts struct {
	Settings Settings
	Ring     *keys.Ring
	Machine  *control.Machine
	// Mux dispatches link streams to handlers. Handlers are added before Run.
	Mux    *link.Mux
	Dialer link.Dialer // dials other members
	Log    *slog.Logger
	// Current is Replication.Current. It is set before Options.Register is called.
	Current func(ctx context.Context) (context.Context, error)
	// Confirmed is Replication.Confirmed. It is set before Options.Register is called.
	Confirmed func() bool
	// ControlLinkAddrs is Options.ControlLinkAddrs.
	ControlLinkAddrs func() []string
}

// Replication replicates the configuration. If it implements server.MemberChanger and
// Options.Members is nil, it also changes the members of the control group.
type Replication interface {
	control.Replicator
	// Done is closed when the replication has ended, by Close or by a failure such as a disk error.
	// It is nil for a replication that never ends by itself.
	Done() <-chan struct{}
	// Current returns once this process has applied all changes that were acknowledged before the
	// call. The context that it returns ends when the process may no longer be receiving new changes.
	Current(ctx context.Context) (context.Context, error)
	// Confirmed reports whether this process has applied all changes that were acknowledged up to a
	// short time ago, and may still be receiving new ones. Unlike Current, it sends nothing.
	Confirmed() bool
	// Leave prepares a planned stop while the other members can still be reached: a member gives its vote
	// up if the group does not need it. It returns once that is done or ctx ends.
	Leave(ctx context.Context)
	Close() error
}

// Options are the replaceable parts of a daemon.
type Options struct {
	// Replicate builds the replication; see the function Replicate. If it is nil, the daemon runs as
	// a single member with a journal in the data folder.
	Replicate func(Parts) (Replication, error)
	// Holder receives each version of the configuration, for distribution to nodes. May be nil.
	Holder control.Holder
	// Register adds handlers to the mux, such as that of
	// wire.FrameConfigWatch. May be nil.
	Register func(Parts) error
	// Background runs concurrently with the servers until its context ends. May be nil.
	Background func(context.Context, Parts, control.Replicator)
	// VersionsInForce reports which versions the nodes have in force. May be nil.
	VersionsInForce server.NodeVersionSource
	// Fleet and Burn are passed to the resource API. Either may be nil.
	Fleet func() []fleet.Node
	Burn  func(now time.Time) burn.Report
	// Members changes the members of the control group. May be nil.
	Members server.MemberChanger
	// ControlLinkAddrs returns the link addresses of the control VMs that membership knows. May be
	// nil.
	ControlLinkAddrs func() []string
	// API returns the handler to serve at the API address instead of the resource API. May be nil.
	API func(Parts, Replication) http.Handler
}

// Daemon is one running member of the control group.
type Daemon struct {
	settings    Settings
	log         *slog.Logger
	parts       Parts
	options     Options
	replication Replication
	quotas      *quotas

	listener *tlslink.Listener
	server   *server.Server

	api, debug     *http.Server
	apiConns       *httpdrain.Conns
	apiLn, debugLn net.Listener
}

// New loads the stored configuration and opens the listeners. Run serves them.
func New(settings Settings, log *slog.Logger, options Options) (_ *Daemon, err error) {
	ring, err := keys.RingOf(settings.LinkSecurity, settings.NodeID, settings.KeysDir)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(settings.LinkAddr)
	if err != nil {
		return nil, fmt.Errorf("controld: link address: %w", err)
	}
	d := &Daemon{settings: settings, log: logging.Part(log, "control"), options: options}
	// A failed start releases the listeners and files that are already open.
	defer func() {
		if err != nil {
			d.closeAll()
		}
	}()
	d.parts = Parts{
		Settings: settings, Ring: ring, Machine: control.NewMachine(), Mux: link.NewMux(logging.Part(log, "link")),
		Dialer: tlslink.NewDialer(host, ring.Client(keys.RoleControl)), Log: log,
		ControlLinkAddrs: options.ControlLinkAddrs,
	}
	if options.Replicate == nil {
		options.Replicate = replicateLocally
	}
	if d.replication, err = options.Replicate(d.parts); err != nil {
		return nil, err
	}
	d.parts.Current, d.parts.Confirmed = d.replication.Current, d.replication.Confirmed
	d.quotas = newQuotas(d.parts, d.replication)
	if options.Register != nil {
		if err = options.Register(d.parts); err != nil {
			return nil, err
		}
	}
	handler, err := d.newHandler(log)
	if err != nil {
		return nil, err
	}
	return d, d.listen(ring, handler)
}

// newHandler returns the handler that is served at the API address.
func (d *Daemon) newHandler(log *slog.Logger) (http.Handler, error) {
	if d.options.API != nil {
		return d.options.API(d.parts, d.replication), nil
	}
	log = logging.Part(log, "api")
	tokens, err := server.LoadTokens(d.settings.TokenFile, log)
	if err != nil {
		return nil, err
	}
	members := d.options.Members
	if m, ok := d.replication.(server.MemberChanger); ok && members == nil {
		members = m
	}
	d.server, err = server.New(server.Config{
		Machine: d.parts.Machine, Replicator: d.replication, Tokens: tokens, NodeID: d.settings.NodeID,
		VersionsInForce: d.options.VersionsInForce, Members: members, Fleet: d.options.Fleet, Burn: d.options.Burn,
		Quotas: d.quotas.leader.usage, Log: log,
	})
	return d.server, err
}

func (d *Daemon) listen(ring *keys.Ring, handler http.Handler) error {
	var err error
	if d.listener, err = tlslink.Listen(d.settings.LinkAddr, ring.Server()); err != nil {
		return err
	}
	if d.apiLn, err = net.Listen("tcp", d.settings.APIAddr); err != nil {
		return fmt.Errorf("controld: API address: %w", err)
	}
	d.api = newHTTPServer(handler, d.log)
	d.apiConns = httpdrain.New()
	d.api.ConnState = d.apiConns.Track
	d.api.TLSConfig = ring.API()
	if d.settings.DebugAddr == "" {
		return nil
	}
	if d.debugLn, err = net.Listen("tcp", d.settings.DebugAddr); err != nil {
		return fmt.Errorf("controld: debug address: %w", err)
	}
	d.debug = newHTTPServer(d.debugHandler(), d.log)
	return nil
}

func newHTTPServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Machine returns the replicated configuration.
func (d *Daemon) Machine() *control.Machine { return d.parts.Machine }

// APIAddr returns the address that the resource API listens on.
func (d *Daemon) APIAddr() string { return d.apiLn.Addr().String() }

// Run serves until ctx ends, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	// The servers have to finish in-flight requests after ctx has ended, so their context is not
	// canceled with it.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	listener := d.listener
	g.Go(func() error { return d.parts.Mux.Serve(runCtx, listener) })
	g.Go(func() error { return ignoreClosed(d.serveAPI()) })
	if d.debug != nil {
		g.Go(func() error { return ignoreClosed(d.debug.Serve(d.debugLn)) })
	}
	if d.options.Holder != nil {
		g.Go(func() error { control.Feed(runCtx, d.parts.Machine, d.options.Holder, d.log); return nil })
	}
	g.Go(func() error { d.quotas.run(runCtx); return nil })
	if d.options.Background != nil {
		g.Go(func() error { d.options.Background(runCtx, d.parts, d.replication); return nil })
	}
	d.log.Info("member is up", "node", d.settings.NodeID, "api", d.apiLn.Addr().String(), "link", listener.Addr(),
		"version", d.parts.Machine.Version().String())
	var replicationErr error
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	case <-d.replication.Done():
		replicationErr = errors.New("controld: the replication ended unexpectedly")
	}
	d.log.Info("member is stopping")
	err := d.shutdown(stop)
	err = errors.Join(replicationErr, err, g.Wait())
	if err == nil {
		d.log.Info("member has stopped")
	}
	return err
}

func (d *Daemon) serveAPI() error {
	ln := httpdrain.Listener(d.apiLn)
	if d.api.TLSConfig == nil {
		return d.api.Serve(ln)
	}
	return d.api.ServeTLS(ln, "", "")
}

// shutdown ends watches, waits for in-flight requests and closes the rest. stop cancels the handlers
// of link streams.
func (d *Daemon) shutdown(stop context.CancelFunc) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout)
	defer cancel()
	if d.server != nil {
		d.server.Close()
	}
	d.apiLn.Close()
	err := d.apiConns.Finish(ctx)
	if err != nil {
		err = fmt.Errorf("controld: API requests still in flight at shutdown: %w", err)
	}
	d.leave()
	stop()
	err = errors.Join(err, d.listener.Close())
	d.listener = nil
	d.waitForHandlers(ctx)
	return errors.Join(err, d.closeAll())
}

// leave prepares the replication for the stop, for at most half of the time that requests in flight have.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout/2)
	defer cancel()
	d.replication.Leave(ctx)
}

// waitForHandlers waits until all handlers of link streams have returned or ctx ends, so that none
// uses the replication after it is closed.
func (d *Daemon) waitForHandlers(ctx context.Context) {
	done := make(chan struct{})
	go func() { d.parts.Mux.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Warn("link stream handlers still running at shutdown timeout")
	}
}

// closeAll closes everything that is open.
func (d *Daemon) closeAll() error {
	var errs []error
	if d.listener != nil {
		errs = append(errs, d.listener.Close())
	}
	if d.api != nil {
		errs = append(errs, ignoreClosed(d.api.Close()))
	}
	if d.apiLn != nil {
		d.apiLn.Close()
	}
	if d.debug != nil {
		errs = append(errs, d.debug.Close())
	}
	if d.replication != nil {
		errs = append(errs, d.replication.Close())
	}
	if d.parts.Dialer != nil {
		errs = append(errs, d.parts.Dialer.Close())
	}
	return errors.Join(errs...)
}

// ignoreClosed returns err, or nil if it says only that a server or its listener is closed already.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
