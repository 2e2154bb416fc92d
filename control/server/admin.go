package server

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

func (s *Server) status(ctx iris.Context) {
	if !s.readBarrier(ctx) {
		return
	}
	leader, _, _ := s.Replicator.Leader()
	out := &apiv1.Status{Version: s.Machine.Version(), Leader: leader}
	for _, t := range resource.Types {
		out.Objects = append(out.Objects, apiv1.Count{Type: t, Count: s.Machine.Count(t)})
	}
	out.Nodes = summarizeNodes(s.VersionsInForce, out.Version)
	writeJSON(ctx, http.StatusOK, out)
}

func (s *Server) listMembers(ctx iris.Context) {
	if !s.readBarrier(ctx) {
		return
	}
	leader, _, _ := s.Replicator.Leader()
	out := &apiv1.Members{Members: []apiv1.Member{}}
	members := s.Machine.Members()
	if s.Members != nil {
		members = s.Members.Members()
	}
	for _, m := range members {
		out.Members = append(out.Members, apiv1.Member{ID: m.ID, LinkAddr: m.LinkAddr, APIAddr: m.APIAddr, Voter: m.Voter, Leader: m.ID == leader})
	}
	writeJSON(ctx, http.StatusOK, out)
}

func (s *Server) putMember(ctx iris.Context) {
	var doc apiv1.Member
	if !readDocument(ctx, &doc) {
		return
	}
	m := control.Member{ID: ctx.Params().Get("id"), LinkAddr: doc.LinkAddr, APIAddr: doc.APIAddr, Voter: doc.Voter}
	if m.LinkAddr == "" || m.APIAddr == "" {
		writeError(ctx, http.StatusUnprocessableEntity, apiv1.CodeInvalid, "a member has a linkAddr and an apiAddr")
		return
	}
	replaces := ctx.URLParam("replaces")
	switch {
	case s.Members != nil && replaces != "":
		s.changeMembers(ctx, func(c context.Context) error { return s.Members.ReplaceMember(c, replaces, m) })
	case s.Members != nil:
		s.changeMembers(ctx, func(c context.Context) error { return s.Members.PutMember(c, m) })
	case replaces != "":
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "a single member cannot be replaced")
	default:
		s.submitWithoutWrites(ctx, &control.Command{Op: control.OpPutMember, Member: m})
	}
}

func (s *Server) deleteMember(ctx iris.Context) {
	id := ctx.Params().Get("id")
	if s.Members != nil {
		s.changeMembers(ctx, func(c context.Context) error { return s.Members.RemoveMember(c, id) })
		return
	}
	s.submitWithoutWrites(ctx, &control.Command{Op: control.OpRemoveMember, Member: control.Member{ID: id}})
}

// changeMembers executes a change of the control group's members and answers the request. The change
// continues if the client disconnects, so that a new member does not remain a learner without a
// vote.
func (s *Server) changeMembers(ctx iris.Context, change func(context.Context) error) {
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx.Request().Context()), memberTimeout)
	defer cancel()
	err := change(c)
	if err == nil {
		s.Log.Info("control group members changed", "token", tokenOf(ctx).Name, "method", ctx.Method(), "path", ctx.Path())
		writeJSON(ctx, http.StatusOK, &apiv1.Applied{Version: s.Machine.Version()})
		return
	}
	s.Log.Warn("change of control group members failed", "token", tokenOf(ctx).Name, "error", err)
	if errors.Is(err, ErrMemberRefused) {
		writeError(ctx, http.StatusUnprocessableEntity, apiv1.CodeInvalid, "%s", err)
		return
	}
	ctx.Header("Retry-After", retryAfter)
	writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnknownResult, "the change of members is not complete; send it again: %s", err)
}

func (s *Server) raiseEpoch(ctx iris.Context) {
	var doc apiv1.RaiseEpoch
	if !readDocument(ctx, &doc) {
		return
	}
	s.submitWithoutWrites(ctx, &control.Command{Op: control.OpRaiseEpoch, Epoch: doc.Epoch})
}

func (s *Server) downloadSnapshot(ctx iris.Context) {
	if !s.readBarrier(ctx) {
		return
	}
	b, err := s.Machine.Snapshot()
	if err != nil {
		s.Log.Error("encoding a snapshot for download failed", "error", err)
		writeError(ctx, http.StatusInternalServerError, apiv1.CodeInternal, "the snapshot failed")
		return
	}
	ctx.ContentType("application/cbor")
	ctx.Header("Content-Length", strconv.Itoa(len(b)))
	ctx.Write(b)
}

func (s *Server) restoreSnapshot(ctx iris.Context) {
	body, ok := readBody(ctx, apiv1.MaxSnapshotBytes)
	if !ok {
		return
	}
	if err := control.CheckSnapshot(body); err != nil {
		writeBodyError(ctx, err)
		return
	}
	s.submitWithoutWrites(ctx, &control.Command{Op: control.OpRestore, Snapshot: body})
}

// submitWithoutWrites submits a command that contains no writes and answers the request.
func (s *Server) submitWithoutWrites(ctx iris.Context, c *control.Command) {
	switch r := s.submit(ctx, c); {
	case r == nil: // already answered with an error
	case r.Code != control.CodeOK:
		writeRefusal(ctx, r)
	default:
		writeJSON(ctx, http.StatusOK, &apiv1.Applied{Version: r.Version})
	}
}
