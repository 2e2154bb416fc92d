// Package server serves the resource API of the configuration over HTTP: JSON below /v1, authenticated
// with bearer tokens. docs/api.md describes the API.
package server

import (
	"context"
	_ "embed"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/quota"
	"github.com/godwithub/godwithub/resource"
)

const (
	// proposeTimeout bounds a write. It is longer than an election, so that a write can succeed across
	// a change of leader.
	proposeTimeout = 10 * time.Second
	// barrierTimeout bounds how long a read waits for confirmation by a quorum.
	barrierTimeout = 5 * time.Second
	// memberTimeout bounds a change of members within one request. It is shorter than the timeout of
	// clients; a client that repeats the request continues the change.
	memberTimeout = 12 * time.Second
	// retryAfter is the value of the Retry-After header, in seconds.
	retryAfter = "1"
	// maxWatches bounds the number of open watches.
	maxWatches = 256
)

//go:embed openapi.json
var openAPI []byte

// ErrMemberRefused is wrapped by errors of a MemberChanger for changes that are not allowed, so that
// a retry would fail in the same way.
var ErrMemberRefused = errors.New("the change of members is refused")

// MemberChanger changes the members of the control group. Its methods return once the change is in
// force and are idempotent: a change that is already in force succeeds. After an error, a part of the
// change may be in force, and repeating the call continues from there.
type MemberChanger interface {
	// Members returns the members, sorted by id.
	Members() []control.Member
	// PutMember adds m or changes its addresses.
	PutMember(ctx context.Context, m control.Member) error
	// ReplaceMember adds m and removes the member with the given id.
	ReplaceMember(ctx context.Context, id string, m control.Member) error
	RemoveMember(ctx context.Context, id string) error
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Machine    *control.Machine
	Replicator control.Replicator
	Tokens     *Tokens
	// NodeID is the id of this process in Replicator.Leader.
	NodeID string
	// VersionsInForce is nil if this process does not know the nodes.
	VersionsInForce NodeVersionSource
	// Fleet returns the nodes in fleet membership without control VMs. Burn returns the report on how
	// fast services use up their error budgets. Either may be nil.
	Fleet func() []fleet.Node
	Burn  func(now time.Time) burn.Report
	// Quotas returns the state of the quotas of up to limit customers. It may be nil.
	Quotas func(limit int) []quota.Usage
	// Members changes the members of the control group. If it is nil, changes of members are only
	// recorded in the replicated state.
	Members MemberChanger
	Log     *slog.Logger
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Heartbeat is the interval of heartbeats on watches. Poll is the interval at which watches check
	// the leader and the versions at the nodes. 0 means 10 s and 1 s.
	Heartbeat, Poll time.Duration
}

// Server serves the resource API.
type Server struct {
	Config
	app         *iris.Application
	metrics     *expvar.Map
	watches     atomic.Int64
	stopWatches chan struct{}
	stopped     atomic.Bool
}

// New returns a server. The caller must call Close to end its watches.
func New(c Config) (*Server, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = 10 * time.Second
	}
	if c.Poll == 0 {
		c.Poll = time.Second
	}
	s := &Server{Config: c, app: iris.New(), metrics: new(expvar.Map).Init(), stopWatches: make(chan struct{})}
	s.metrics.Set("openWatches", expvar.Func(func() any { return s.watches.Load() }))
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutPathCorrectionRedirection,
		iris.WithoutAutoFireStatusCode)
	s.registerRoutes()
	if err := s.app.Build(); err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Metrics returns counts of requests, refusals, writes and open watches as an expvar variable.
func (s *Server) Metrics() expvar.Var { return s.metrics }

// Close ends all watches, so that a graceful shutdown of the HTTP server does not wait for them.
func (s *Server) Close() {
	if s.stopped.CompareAndSwap(false, true) {
		close(s.stopWatches)
	}
}

func (s *Server) registerRoutes() {
	reader, writer, admin := s.requireRole(RoleReader), s.requireRole(RoleWriter), s.requireRole(RoleAdmin)
	v1 := s.app.Party("/v1", s.recoverPanic)
	v1.Get("/openapi.json", reader, func(ctx iris.Context) {
		ctx.ContentType("application/json")
		ctx.Write(openAPI)
	})
	v1.Get("/status", reader, s.requireLeader, s.status)
	v1.Get("/watch", reader, s.requireLeader, s.watch)
	v1.Get("/fleet", reader, s.fleet)
	v1.Get("/reports/burn", reader, s.burn)
	v1.Get("/reports/quotas", reader, s.requireLeader, s.quotas)
	v1.Post("/apply", writer, s.requireLeader, s.applyBatch)
	v1.Get("/members", reader, s.requireLeader, s.listMembers)
	v1.Put("/members/{id}", admin, s.requireLeader, s.putMember)
	v1.Delete("/members/{id}", admin, s.requireLeader, s.deleteMember)
	v1.Get("/snapshot", admin, s.requireLeader, s.downloadSnapshot)
	v1.Post("/snapshot", admin, s.requireLeader, s.restoreSnapshot)
	v1.Post("/epoch", admin, s.requireLeader, s.raiseEpoch)
	for _, t := range resource.Types {
		path, write := "/"+string(t), writer
		if t == resource.TypeGroup {
			write = admin
		}
		h := typeHandlers{s, t}
		v1.Get(path, reader, s.requireLeader, h.list)
		v1.Post(path, write, s.requireLeader, h.create)
		v1.Get(path+"/{name}", reader, s.requireLeader, h.get)
		v1.Put(path+"/{name}", write, s.requireLeader, h.replace)
		v1.Delete(path+"/{name}", write, s.requireLeader, h.delete)
	}
	s.app.Any("/{path:path}", s.requireRole(RoleReader), func(ctx iris.Context) {
		writeError(ctx, http.StatusNotFound, apiv1.CodeNotFound, "there is no %s %s", ctx.Method(), ctx.Path())
	})
}

func (s *Server) recoverPanic(ctx iris.Context) {
	s.metrics.Add("requests", 1)
	defer func() {
		if r := recover(); r != nil {
			s.metrics.Add("panics", 1)
			s.Log.Error("request handler panicked", "method", ctx.Method(), "path", ctx.Path(), "panic", r)
			writeError(ctx, http.StatusInternalServerError, apiv1.CodeInternal, "the request failed; the log of the server says why")
		}
	}()
	ctx.Next()
}

// requireLeader passes the request on if this process is the leader of the control group, and
// otherwise redirects the client to the leader.
func (s *Server) requireLeader(ctx iris.Context) {
	id, addr, ok := s.Replicator.Leader()
	switch {
	case ok && id == s.NodeID:
		ctx.Next()
	case ok && addr != "":
		scheme := "https://"
		if ctx.Request().TLS == nil {
			scheme = "http://"
		}
		ctx.Header("Location", scheme+addr+ctx.Request().URL.RequestURI())
		ctx.StatusCode(http.StatusTemporaryRedirect)
	default:
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeNoLeader, "the control group has no leader at present")
	}
}

// readBarrier waits until this process has applied all commands that were acknowledged before. It
// returns false if it has answered the request with an error.
func (s *Server) readBarrier(ctx iris.Context) bool {
	c, cancel := context.WithTimeout(ctx.Request().Context(), barrierTimeout)
	defer cancel()
	if err := s.Replicator.ReadBarrier(c); err != nil {
		s.Log.Warn("read barrier failed", "path", ctx.Path(), "error", err)
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "the read was not confirmed by a majority")
		return false
	}
	return true
}

// submit proposes c under the change id of the request, or under a new one if the request has none. It
// returns nil if it has answered the request with an error.
func (s *Server) submit(ctx iris.Context, c *control.Command) *control.Result {
	c.ChangeID = ctx.GetHeader(apiv1.HeaderChangeID)
	if c.ChangeID == "" {
		c.ChangeID = control.NewChangeID()
	}
	ctx.Header(apiv1.HeaderChangeID, c.ChangeID)
	if len(c.ChangeID) > control.MaxChangeIDBytes {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the change id is longer than %d bytes", control.MaxChangeIDBytes)
		return nil
	}
	c.At = s.Now().Unix()
	// The proposal continues if the client disconnects: whether a change is applied must not depend on
	// the connection of the client.
	proposeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), proposeTimeout)
	defer cancel()
	r, err := control.Submit(proposeCtx, s.Replicator, c)
	switch {
	case errors.Is(err, control.ErrNotLeader), errors.Is(err, control.ErrClosed):
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeNoLeader, "the change was not accepted: this process no longer leads")
		return nil
	case errors.Is(err, control.ErrBusy):
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "the change was not accepted: too many changes are under way")
		return nil
	case errors.Is(err, control.ErrTooLarge):
		writeError(ctx, http.StatusRequestEntityTooLarge, apiv1.CodeTooLarge, "the change is too large to be replicated")
		return nil
	case err != nil:
		s.metrics.Add("writesWithoutResult", 1)
		s.Log.Warn("change was proposed but its result is unknown", "change", c.ChangeID, "error", err)
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnknownResult, "the change may have been applied; send it again under change id %s", c.ChangeID)
		return nil
	}
	s.metrics.Add("writes."+string(r.Code), 1)
	s.Log.Info("change processed", "token", tokenOf(ctx).Name, "method", ctx.Method(), "path", ctx.Path(),
		"change", c.ChangeID, "code", r.Code, "version", r.Version.String())
	return r
}
