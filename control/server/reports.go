package server

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
)

// fleet and burn are answered by any member: membership and counts reach all
// of them, and neither is part of the replicated state.

func (s *Server) fleet(ctx iris.Context) {
	if s.Fleet == nil {
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "this process does not know the nodes")
		return
	}
	nodes := s.Fleet()
	if nodes == nil {
		nodes = []fleet.Node{}
	}
	ctx.JSON(apiv1.Fleet{Nodes: nodes})
}

func (s *Server) burn(ctx iris.Context) {
	if s.Burn == nil {
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "this process has no counts")
		return
	}
	r := s.Burn(s.Now())
	if r.Rows == nil {
		r.Rows = []burn.Row{}
	}
	ctx.JSON(r)
}
