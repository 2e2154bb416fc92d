package server

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/burn"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/quota"
)

// Any member answers fleet and burn, not only the leader: fleet membership and counts of requests
// reach all members, and neither is part of the replicated state.

func (s *Server) fleet(ctx iris.Context) {
	if s.Fleet == nil {
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "this process does not know the nodes")
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
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "this process has no counts")
		return
	}
	r := s.Burn(s.Now())
	if r.Rows == nil {
		r.Rows = []burn.Row{}
	}
	ctx.JSON(r)
}

// maxReportedQuotas bounds the customers in one report.
const maxReportedQuotas = 1000

// quotas answers with the quotas of the customers that were active lately. Only the leader has them.
func (s *Server) quotas(ctx iris.Context) {
	report := quota.Report{Customers: []quota.Usage{}}
	if s.Quotas != nil {
		report.Customers = append(report.Customers, s.Quotas(maxReportedQuotas)...)
	}
	ctx.JSON(report)
}
