package ingress

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/explain"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/reqbody"
	"github.com/godwithub/godwithub/resource"
)

// RouteQuery describes a request without a body. Customer is the name of its customer, or empty.
type RouteQuery struct{ Method, Host, Path, Customer string }

// ExplainRoute says where a request would go now. It sends nothing, takes no token, counts no request and
// changes no state.
func (in *Ingress) ExplainRoute(q RouteQuery, now time.Time) explain.Route {
	v := in.cfg.View()
	out := explain.Route{
		Node: string(v.Self.ID), Region: v.Self.Region, FailureDomain: v.Self.FailureDomain,
		Parts: []explain.RoutePart{},
	}
	if v.Config != nil {
		out.Config, out.ConfigCurrent = v.Config.Version.String(), in.isFresh(v)
	}
	if err := in.checkServing(v, nil); err != nil {
		out.Refusals = explainRefusal(err)
		return out
	}
	r := &http.Request{Method: q.Method, Host: q.Host, URL: &url.URL{Path: q.Path}, RequestURI: q.Path}
	target := targetOf(r)
	route, err := findRoute(v.Config, r, pathOf(target))
	if err != nil {
		out.Refusals = explainRefusal(err)
		return out
	}
	out.Route, out.NeedsKey = route.Name, needsKey(v.Config, route)
	customer, refused := in.customerByName(v, route, q.Customer)
	if customer != nil {
		out.Customer = &explain.Customer{
			Name: customer.Name, HasQuota: customer.RatePerSecond > 0,
			RatePerSecond: customer.RatePerSecond, Burst: customer.Burst,
		}
	}
	parts := route.Split
	if len(parts) == 0 {
		parts = []resource.WeightedService{{Service: route.Service, Weight: 1}}
	}
	for _, part := range parts {
		rq := &request{http: r, target: target, body: &reqbody.Body{}}
		p := explain.RoutePart{Service: part.Service, Weight: part.Weight, Candidates: []explain.Candidate{}}
		if err := rq.matchService(v.Config, route, part.Service); err != nil {
			p.Refusals = explainRefusal(err)
		} else {
			if refused != nil {
				p.Refusals = explainRefusal(refused)
			}
			in.explainPart(&p, v, rq, customer, now)
		}
		out.Parts = append(out.Parts, p)
	}
	return out
}

// customerByName returns the customer of a request on a route, or nil, and the refusal that the request would get
// with the customer's key. Without a name, it has no key.
func (in *Ingress) customerByName(v *board.View, route *resource.Route, name string) (*resource.Customer, error) {
	if !needsKey(v.Config, route) {
		return nil, nil
	}
	customer := v.Config.Customers[name]
	switch {
	case !in.isFresh(v):
		return customer, notFresh()
	case name == "":
		return nil, refuse(outcome.ReasonUnknownKey, "route %s needs exactly one key", route.Name)
	case customer == nil:
		return nil, refuse(outcome.ReasonUnknownKey, "there is no customer of that name")
	case len(customer.KeyDigests) == 0:
		return customer, refuse(outcome.ReasonUnknownKey, "customer %s has no key", name)
	}
	return customer, nil
}

// explainPart describes a request that has been matched to its kind, and its candidates.
func (in *Ingress) explainPart(p *explain.RoutePart, v *board.View, rq *request, customer *resource.Customer, now time.Time) {
	kind := rq.kind
	p.Kind, p.Idempotent = kind.Name, kind.Idempotent
	p.DeadlineMs, p.LatencyObjectiveMs = kind.DeadlineMs, kind.LatencyObjectiveMs
	p.LevelFrom = "default"
	if v.Config.Ranks[kind.Rank] != nil {
		p.LevelFrom = "rank " + kind.Rank
	}
	if customer != nil {
		rq.setCustomer(customer)
		if customer.Level != nil {
			p.LevelFrom = "customer " + customer.Name
		}
	}
	p.Level = rq.level
	if customer != nil && in.isOverRate(v, customer.Name, now) {
		p.Refusals = append(p.Refusals, explainRefusal(refuse(outcome.ReasonRateLimited, "caller %s is over its rate", customer.Name))...)
	}
	p.Refusals = append(p.Refusals, in.explainRoom(rq, now)...)
	if reason, share := in.explainCandidates(p, v, rq, now); share > 0 {
		p.Refusals = append(p.Refusals, refusalOfShare(&refusal{reason: reason, message: "no upstream may take it"}, share))
	}
}

// isOverRate reports what withinRate would refuse, without counting a request.
func (in *Ingress) isOverRate(v *board.View, caller string, now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	c, l := v.Config.Callers[caller], in.limits[caller]
	return c != nil && c.RatePerSecond > 0 && l != nil && l.rate == c.RatePerSecond && l.burst == c.Burst && l.limiter.TokensAt(now) < 1
}

// explainRoom returns the refusals of checkRoom. Which requests it refuses is drawn for each.
func (in *Ingress) explainRoom(rq *request, now time.Time) []explain.Refusal {
	if !in.cfg.RefuseForRoom {
		return nil
	}
	in.room.mu.Lock()
	admitted, d := in.room.admission.Peek(now, rq.kind.Name)
	in.room.mu.Unlock()
	if admitted >= 1 {
		return nil
	}
	return []explain.Refusal{refusalOfShare(noRoom(rq, d), 1-admitted)}
}

// explainCandidates adds the candidates to p. share is the share of requests for which none is left, for the
// given reason.
func (in *Ingress) explainCandidates(p *explain.RoutePart, v *board.View, rq *request, now time.Time) (reason outcome.Reason, share float64) {
	last := newBalanceRequest(v, rq) // the request once no candidate of its own region is left
	last.CrossAllowed = in.cfg.WouldCrossRegion == nil || in.cfg.WouldCrossRegion(rq.level, rq.crossingBytes())
	first := last
	first.CrossAllowed = last.CrossAllowed && in.crossRegion.allowed(rq.service.Name, now)
	candidates, upstreams := in.candidates(v, rq, now)
	reason, share = outcome.ReasonNoUpstream, 1
	order := map[string]int{}
	for i := range candidates {
		c := &candidates[i]
		e := in.explainCandidate(c, &upstreams[i], rq.level, now)
		tier, why := balance.TierOf(&first, c)
		place := int(tier)
		if why == balance.UnusableOtherRegion {
			if tier, why = balance.TierOf(&last, c); why == "" {
				e.Why = "once no other is left: another region declined work"
			}
			place += int(tier)
		} else if why != "" {
			place += int(balance.TierUnusable)
		}
		order[e.Upstream] = place
		e.Tier, e.Why = tier.String(), cmp.Or(e.Why, string(why))
		switch {
		case tier != balance.TierUnusable:
			reason, share = outcome.ReasonShed, min(share, e.RefusedShare)
		case why == balance.UnusableOtherRegion:
			reason, e.Why = outcome.ReasonShed, "other region: the traffic limit allows no request"
		}
		p.Candidates = append(p.Candidates, e)
	}
	slices.SortStableFunc(p.Candidates, func(a, b explain.Candidate) int { return order[a.Upstream] - order[b.Upstream] })
	return reason, share
}

func (in *Ingress) explainCandidate(c *balance.Candidate, u *board.Upstream, level int, now time.Time) explain.Candidate {
	load := in.loads.get(u.ID, now)
	e := explain.Candidate{
		Upstream: string(c.Upstream), Node: string(c.Node), Region: c.Region, FailureDomain: c.FailureDomain,
		Slots: c.Slots, InUse: c.InUse, Queued: c.Queued, ReportUsed: c.LoadKnown, Failing: c.Failing,
		Suspect: c.Suspect, Ejected: c.Ejected, Trial: c.Trial, Draining: c.Draining, RateLimited: c.RateLimited,
		Warming:      u.State == fleet.UpstreamWarming && u.Warming(now),
		PathFailed:   in.paths.hasFailed(u.Node),
		RefusedShare: load.threshold.ShareRefused(level),
	}
	if !load.reportedAt.IsZero() {
		age := now.Sub(load.reportedAt).Milliseconds()
		e.ReportAgeMs = &age
	}
	return e
}

func explainRefusal(err error) []explain.Refusal {
	return []explain.Refusal{refusalOfShare(asRefusal(err), 1)}
}

func refusalOfShare(r *refusal, share float64) explain.Refusal {
	e := explain.Refusal{Reason: string(r.reason), Message: r.message, Status: statusOf(outcome.HasNotRun(r.reason)), Share: share}
	if isRetryable(e.Status) {
		e.RetryAfterMs = cmp.Or(r.retryAfter, defaultRetryAfter).Milliseconds()
	}
	return e
}
