package ingress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwithub/godwithub/balance"
	"github.com/godwithub/godwithub/board"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/outcome"
	"github.com/godwithub/godwithub/retry"
	"github.com/godwithub/godwithub/wire"
)

// insistAfter is how many upstreams may decline a request before the one that
// is best by their answers has to take it. With fewer, a request would wait
// while others have free slots; with more, it would go around for longer when
// none has.
const insistAfter = 3

// shortRun is the run up to which an attempt counts as no load. Upstreams that
// fail their work do so at once: the request has used none of their capacity,
// and served to find out that they fail. If its next attempt had to wait behind
// all first attempts, it would get no slot while the others are busy.
const shortRun = 50 * time.Millisecond

// noteUpstream takes in how an attempt at an upstream ended. end is nil if the
// dispatcher reported nothing.
func (s *serving) noteUpstream(u *board.Upstream, e outcome.Ended, end *wire.AnswerEnd) {
	short := e.Outcome != outcome.NotRun && end != nil && end.Served() < shortRun
	s.loaded = s.loaded || e.Loaded() && !short
	if e.Outcome != outcome.NotRun {
		s.runs++
	}
	if !e.Declined() {
		s.tried = append(s.tried, u.ID)
		return
	}
	s.declined = append(s.declined, u.ID)
	if u.Region != s.v.Self.Region {
		s.in.cross.note(s.rq.service.Name, time.Now())
	}
}

// maxRuns returns how many upstreams may run the request.
func (s *serving) maxRuns() int { return cmp.Or(s.rq.kind.MaxAttempts, retry.MaxRuns) }

// lastRun reports whether no other run follows if the next one fails.
func (s *serving) lastRun(now time.Time) bool {
	return !s.rq.kind.Idempotent || s.runs+1 >= s.maxRuns() || !s.in.budget(s.rq.service.Name).left(now)
}

// insists reports whether the next attempt is to be taken in any case.
func (s *serving) insists() bool { return s.noneLeft || len(s.declined) >= insistAfter }

// avoided returns the upstreams that the next attempt leaves out.
func (s *serving) avoided() []fleet.UpstreamID {
	if s.insists() {
		return s.tried
	}
	return slices.Concat(s.tried, s.declined)
}

// selection is the choice of the upstream for one attempt.
type selection struct {
	*serving
	now time.Time
	req balance.Request
	// overBytes says that the link between regions has no room for the request.
	overBytes bool
	reason    outcome.Reason // why there is none
}

// pick chooses an upstream. Upstreams whose queue refuses such work are left
// out, so that an overload is refused here at no cost to the slots.
func (s *serving) pick(now time.Time) (*board.Upstream, outcome.Reason) {
	c := &selection{serving: s, now: now, reason: outcome.ReasonNoUpstream, req: balance.Request{
		Region:        s.v.Self.Region,
		FailureDomain: s.v.Self.FailureDomain,
		Level:         s.rq.level,
		Idempotent:    s.rq.kind.Idempotent,
		LastRun:       s.lastRun(now),
		Key:           s.rq.key,
		Tried:         s.avoided(),
		CrossAllowed:  s.insists() || s.in.cross.open(s.rq.service.Name, now),
		Settled:       s.insists(),
	}}
	candidates, upstreams := s.in.candidates(s.v, s.rq.service.Name, s.rq.level, now)
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		i, ok := balance.Pick(r, c.req, candidates)
		switch {
		case ok && c.admits(&upstreams[i]):
			return &upstreams[i], ""
		case !ok && !c.widen():
			return nil, c.reason
		}
	}
}

// admits reports whether the attempt may go to u. If not, the request is
// narrowed so that u is not chosen again.
func (c *selection) admits(u *board.Upstream) bool {
	crossing := u.Region != c.v.Self.Region
	switch {
	case c.in.loads.refuses(u.ID, c.rq, c.now):
		c.in.stats.shedEarly.Add(1)
		c.req.Tried = append(slices.Clip(c.req.Tried), u.ID)
	case crossing && c.in.cfg.CrossRegion != nil && !c.in.cfg.CrossRegion(c.rq.level, c.rq.kind.AnswerBytes):
		c.overBytes, c.req.CrossAllowed = true, false
	default:
		return true
	}
	c.reason = outcome.ReasonShed
	return false
}

// widen allows upstreams that were left out so far, once no other is left. It
// reports whether there may be any.
func (c *selection) widen() bool {
	switch {
	case len(c.declined) > 0 && !c.req.Settled:
		// Fewer upstreams are left than may decline.
		c.noneLeft = true
		c.req.Tried, c.req.Settled, c.req.CrossAllowed = c.tried, true, !c.overBytes
	case !c.req.CrossAllowed && !c.overBytes:
		c.req.CrossAllowed = true
	default:
		return false
	}
	return true
}
