// Package server serves the resource API of the configuration over HTTP: JSON
// below /v1, with bearer tokens. docs/api.md describes it.
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
	"github.com/godwithub/godwithub/resource"
)

const (
	// proposeTimeout bounds a write. It exceeds an election, so that a write
	// outlives a change of leader.
	proposeTimeout = 10 * time.Second
	// barrierTimeout bounds the wait of a read for a majority.
	barrierTimeout = 5 * time.Second
	// memberTimeout bounds a change of members within one request; a repetition
	// goes on with it. It is below the time for which clients wait.
	memberTimeout = 12 * time.Second
	// retryAfter is the value of Retry-After, in seconds.
	retryAfter = "1"
	// maxWatches bounds the open watches.
	maxWatches = 256
)

//go:embed openapi.json
var openAPI []byte

// ErrMemberRefused is wrapped by errors of a MemberChanger that a repetition
// would not change.
var ErrMemberRefused = errors.New("the change of members is refused")

// MemberChanger changes the members of the control group. Changes return once
// they are in force; a change that is in force already succeeds. An error may
// leave a part of the change in force, and a repetition goes on from there.
type MemberChanger interface {
	// Members returns the members, by id.
	Members() []control.Member
	// PutMember adds m or changes its addresses.
	PutMember(ctx context.Context, m control.Member) error
	// ReplaceMember adds m in the place of the member with the given id.
	ReplaceMember(ctx context.Context, id string, m control.Member) error
	RemoveMember(ctx context.Context, id string) error
}

// Config is what a Server works on.
type Config struct {
	Machine    *control.Machine
	Replicator control.Replicator
	Tokens     *Tokens
	// NodeID is the id under which Replicator.Leader names this process.
	NodeID string
	// Reached may be nil if this process does not know the nodes.
	Reached ReachedSource
	// Fleet returns membership without control VMs, and Burn the report of
	// service-level burn. Either may be nil.
	Fleet func() []fleet.Node
	Burn  func(now time.Time) burn.Report
	// Members may be nil; members are then only recorded.
	Members MemberChanger
	Log     *slog.Logger
	// Now returns the time. Nil stands for time.Now.
	Now func() time.Time
	// Heartbeat is the interval of heartbeats on watches, and Poll that at
	// which reached versions are compared. 0 stands for 10 s and 1 s.
	Heartbeat, Poll time.Duration
}

// Server serves the resource API.
type Server struct {
	Config
	app     *iris.Application
	metrics *expvar.Map
	watches atomic.Int64
	stop    chan struct{}
	stopped atomic.Bool
}

// New returns a server. Close ends its watches.
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
	s := &Server{Config: c, app: iris.New(), metrics: new(expvar.Map).Init(), stop: make(chan struct{})}
	s.metrics.Set("openWatches", expvar.Func(func() any { return s.watches.Load() }))
	s.app.Logger().SetLevel("disable")
	s.app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutPathCorrectionRedirection,
		iris.WithoutAutoFireStatusCode)
	s.routes()
	if err := s.app.Build(); err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Metrics returns counts of requests, refusals and writes, and the open watches.
func (s *Server) Metrics() expvar.Var { return s.metrics }

// Close ends all watches, so that a graceful shutdown need not wait for them.
func (s *Server) Close() {
	if s.stopped.CompareAndSwap(false, true) {
		close(s.stop)
	}
}

func (s *Server) routes() {
	reader, writer, admin := s.allow(RoleReader), s.allow(RoleWriter), s.allow(RoleAdmin)
	v1 := s.app.Party("/v1", s.recoverPanic)
	v1.Get("/openapi.json", reader, func(ctx iris.Context) {
		ctx.ContentType("application/json")
		ctx.Write(openAPI)
	})
	v1.Get("/status", reader, s.lead, s.status)
	v1.Get("/watch", reader, s.lead, s.watch)
	v1.Get("/fleet", reader, s.fleet)
	v1.Get("/reports/burn", reader, s.burn)
	v1.Post("/apply", writer, s.lead, s.applyBatch)
	v1.Get("/members", reader, s.lead, s.listMembers)
	v1.Put("/members/{id}", admin, s.lead, s.putMember)
	v1.Delete("/members/{id}", admin, s.lead, s.deleteMember)
	v1.Get("/snapshot", admin, s.lead, s.downloadSnapshot)
	v1.Post("/snapshot", admin, s.lead, s.restoreSnapshot)
	v1.Post("/epoch", admin, s.lead, s.raiseEpoch)
	for _, t := range resource.Types {
		path, write := "/"+string(t), writer
		if t == resource.TypeGroup {
			write = admin
		}
		h := typeHandlers{s, t}
		v1.Get(path, reader, s.lead, h.list)
		v1.Post(path, write, s.lead, h.create)
		v1.Get(path+"/{name}", reader, s.lead, h.get)
		v1.Put(path+"/{name}", write, s.lead, h.replace)
		v1.Delete(path+"/{name}", write, s.lead, h.delete)
	}
	s.app.Any("/{path:path}", s.allow(RoleReader), func(ctx iris.Context) {
		fail(ctx, http.StatusNotFound, apiv1.CodeNotFound, "there is no %s %s", ctx.Method(), ctx.Path())
	})
}

func (s *Server) recoverPanic(ctx iris.Context) {
	s.metrics.Add("requests", 1)
	defer func() {
		if r := recover(); r != nil {
			s.metrics.Add("panics", 1)
			s.Log.Error("request failed", "method", ctx.Method(), "path", ctx.Path(), "panic", r)
			fail(ctx, http.StatusInternalServerError, apiv1.CodeInternal, "the request failed; the log of the server says why")
		}
	}()
	ctx.Next()
}

// lead passes the request on if this process leads the control group, and
// otherwise sends the client to the leader.
func (s *Server) lead(ctx iris.Context) {
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
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeNoLeader, "the control group has no leader at present")
	}
}

// barrier waits until this process has applied all that was acknowledged. It
// reports false if it has answered the request with an error.
func (s *Server) barrier(ctx iris.Context) bool {
	c, cancel := context.WithTimeout(ctx.Request().Context(), barrierTimeout)
	defer cancel()
	if err := s.Replicator.ReadBarrier(c); err != nil {
		s.Log.Warn("read not confirmed", "path", ctx.Path(), "error", err)
		ctx.Header("Retry-After", retryAfter)
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "the read was not confirmed by a majority")
		return false
	}
	return true
}

// submit proposes c under the request's change id. It returns nil if it has
// answered the request with an error.
func (s *Server) submit(ctx iris.Context, c *control.Command) *control.Result {
	c.ChangeID = ctx.GetHeader(apiv1.HeaderChangeID)
	if c.ChangeID == "" {
		c.ChangeID = control.NewChangeID()
	}
	ctx.Header(apiv1.HeaderChangeID, c.ChangeID)
	if len(c.ChangeID) > control.MaxChangeIDBytes {
		fail(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "the change id is longer than %d bytes", control.MaxChangeIDBytes)
		return nil
	}
	c.At = s.Now().Unix()
	// The proposal goes on if the client leaves: whether it is applied must not
	// depend on the client's connection.
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), proposeTimeout)
	defer cancel()
	r, err := control.Submit(bounded, s.Replicator, c)
	switch {
	case errors.Is(err, control.ErrNotLeader), errors.Is(err, control.ErrClosed):
		ctx.Header("Retry-After", retryAfter)
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeNoLeader, "the change was not accepted: this process no longer leads")
		return nil
	case errors.Is(err, control.ErrBusy):
		ctx.Header("Retry-After", retryAfter)
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "the change was not accepted: too many changes are under way")
		return nil
	case errors.Is(err, control.ErrTooLarge):
		fail(ctx, http.StatusRequestEntityTooLarge, apiv1.CodeTooLarge, "the change is too large to be replicated")
		return nil
	case err != nil:
		s.metrics.Add("writesWithoutResult", 1)
		s.Log.Warn("change without a result", "change", c.ChangeID, "error", err)
		ctx.Header("Retry-After", retryAfter)
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnknownResult, "the change may have been applied; send it again under change id %s", c.ChangeID)
		return nil
	}
	s.metrics.Add("writes."+string(r.Code), 1)
	s.Log.Info("change", "token", tokenOf(ctx).Name, "method", ctx.Method(), "path", ctx.Path(),
		"change", c.ChangeID, "code", r.Code, "version", r.Version.String())
	return r
}
