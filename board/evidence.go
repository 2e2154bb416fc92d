package board

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
)

// Evidence is the section that judges the upstreams of this VM, and pools the
// summaries of services that this node aggregates.
type Evidence struct {
	detectors map[fleet.UpstreamID]*health.Detector
	// baselines holds the latest baseline of each upstream.
	baselines map[fleet.UpstreamID]health.Baseline
	pools     map[string]*pool
	nextClose time.Time
}

type pool struct {
	*health.Pool
	lastUsed time.Time
}

// poolIdle is how long the pool of a service is kept that gets no summaries.
// By then another node aggregates it.
const poolIdle = 10 * time.Second

func newEvidence() Evidence {
	return Evidence{
		detectors: map[fleet.UpstreamID]*health.Detector{},
		baselines: map[fleet.UpstreamID]health.Baseline{},
		pools:     map[string]*pool{},
	}
}

// Observed brings a batch of attempts at upstreams of this VM.
type Observed struct{ Attempts []Attempt }

// Attempt is what an attempt says of its upstream.
type Attempt struct {
	Upstream fleet.UpstreamID
	Kind     string
	Result   health.Result
	Latency  time.Duration
	At       time.Time
}

// SummariesReceived brings the summaries of another node's upstreams of a
// service. Reply takes one baseline for each and must not block.
type SummariesReceived struct {
	Service   string
	Summaries []health.Summary
	Reply     func([]health.Baseline)
}

// BaselinesReceived brings the aggregator's answer to SendSummaries.
type BaselinesReceived struct {
	Upstreams []fleet.UpstreamID
	Baselines []health.Baseline
}

func (Observed) isEvent()          {}
func (SummariesReceived) isEvent() {}
func (BaselinesReceived) isEvent() {}

// SendSummaries asks to send the summaries of a service's upstreams to the
// node that aggregates them.
type SendSummaries struct {
	Service   string
	LinkAddr  string
	Summaries []health.Summary
}

// MarkSuspect tells the dispatcher whether an upstream is suspect.
type MarkSuspect struct {
	ID      fleet.UpstreamID
	Suspect bool
}

func (SendSummaries) isAction() {}
func (MarkSuspect) isAction()   {}

// weighEvidence feeds the detectors and acts on their verdicts.
func weighEvidence(s *State, e Event, now time.Time) {
	ev := &s.Evidence
	switch e := e.(type) {
	case Observed:
		for _, a := range e.Attempts {
			if d := s.detector(a.Upstream); d != nil {
				d.Observe(a.At, a.Kind, a.Result, a.Latency)
				s.observeTrial(a, now)
			}
		}
		s.readVerdicts(now)
	case SummariesReceived:
		e.Reply(s.pooled(e.Service, e.Summaries, now))
	case BaselinesReceived:
		for i, id := range e.Upstreams {
			if i < len(e.Baselines) {
				s.takeBaseline(id, e.Baselines[i])
			}
		}
		s.readVerdicts(now)
	case Tick:
		if now.Before(ev.nextClose) {
			return
		}
		ev.nextClose = now.Add(health.Interval)
		s.dropEvidence(now)
		s.closeInterval(now)
		s.readVerdicts(now)
	}
}

func (s *State) takeBaseline(id fleet.UpstreamID, b health.Baseline) {
	if d := s.Evidence.detectors[id]; d != nil {
		d.Update(b)
		s.Evidence.baselines[id] = b
	}
}

// detector returns the detector of an upstream of this VM, or nil.
func (s *State) detector(id fleet.UpstreamID) *health.Detector {
	if s.Local[id] == nil {
		return nil
	}
	d := s.Evidence.detectors[id]
	if d == nil {
		d = health.NewDetector(id, health.Options{})
		s.Evidence.detectors[id] = d
	}
	return d
}

// dropEvidence forgets upstreams and pools that are gone.
func (s *State) dropEvidence(now time.Time) {
	maps.DeleteFunc(s.Evidence.detectors, func(id fleet.UpstreamID, _ *health.Detector) bool {
		return s.Local[id] == nil
	})
	maps.DeleteFunc(s.Evidence.baselines, func(id fleet.UpstreamID, _ health.Baseline) bool {
		return s.Local[id] == nil
	})
	maps.DeleteFunc(s.Evidence.pools, func(_ string, p *pool) bool {
		return now.Sub(p.lastUsed) > poolIdle
	})
}

// closeInterval summarises the work of the interval that has ended, and sends
// each service's summaries to its aggregator.
func (s *State) closeInterval(now time.Time) {
	byService := map[string][]health.Summary{}
	for _, id := range slices.Sorted(maps.Keys(s.Evidence.detectors)) {
		service := s.Local[id].Service
		byService[service] = append(byService[service], s.Evidence.detectors[id].Close())
	}
	for service, summaries := range byService {
		aggregator := s.aggregator(service)
		if aggregator.ID != s.Self.ID {
			s.Do(SendSummaries{service, aggregator.LinkAddr, summaries})
			continue
		}
		for i, b := range s.pooled(service, summaries, now) {
			s.takeBaseline(summaries[i].Upstream, b)
		}
	}
}

// aggregator returns the node that pools the summaries of a service: the one
// with the highest hash among the live nodes of the region that host its
// upstreams. Summaries do not cross regions, whose links are narrow.
// Membership spreads which these are, so that no agreement is needed; two
// aggregators for a while only make each baseline narrower.
func (s *State) aggregator(service string) *fleet.Node {
	best, bestHash := &s.Self, hashPair(service, s.Self.ID)
	for id, n := range s.Nodes {
		if n.State != fleet.NodeAlive || n.Region != s.Self.Region || !hosts(&n, service) {
			continue
		}
		if h := hashPair(service, id); h > bestHash {
			best, bestHash = &n, h
		}
	}
	return best
}

func hosts(n *fleet.Node, service string) bool {
	return slices.ContainsFunc(n.Upstreams, func(u fleet.Upstream) bool { return u.Service == service })
}

func hashPair(service string, id fleet.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(service)
	d.WriteString("\x00")
	d.WriteString(string(id))
	return d.Sum64()
}

// pooled adds summaries to the pool of a service and returns a baseline for
// each.
func (s *State) pooled(service string, summaries []health.Summary, now time.Time) []health.Baseline {
	p := s.Evidence.pools[service]
	if p == nil {
		p = &pool{Pool: health.NewPool()}
		s.Evidence.pools[service] = p
	}
	p.lastUsed = now
	for _, sum := range summaries {
		p.Add(now, sum)
	}
	out := make([]health.Baseline, len(summaries))
	for i, sum := range summaries {
		out[i] = p.Baseline(now, sum.Upstream)
	}
	return out
}

// readVerdicts marks upstreams as suspect or clears them.
func (s *State) readVerdicts(now time.Time) {
	for id, d := range s.Evidence.detectors {
		u := s.Local[id]
		if u == nil {
			continue
		}
		v := d.Verdict(now)
		u.Verdict = v
		if suspect := v.Level >= health.Suspect; suspect != u.Suspect {
			u.Suspect, u.suspectSince = suspect, now
			s.Do(MarkSuspect{id, suspect})
		}
	}
}
