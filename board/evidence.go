package board

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
)

// Evidence holds the detectors that judge the health of this VM's upstreams, and the pools of
// summaries for the services that this node aggregates.
type Evidence struct {
	detectors map[fleet.UpstreamID]*health.Detector
	// baselines holds the latest baseline of each upstream.
	baselines       map[fleet.UpstreamID]health.Baseline
	pools           map[string]*pool
	nextIntervalEnd time.Time
}

// pool holds the summaries of one service.
type pool struct {
	*health.Pool
	lastUsed time.Time
}

// poolIdleTimeout is how long the pool of a service is kept without new summaries. By then
// another node aggregates the service.
const poolIdleTimeout = 10 * time.Second

func newEvidence() Evidence {
	return Evidence{
		detectors: map[fleet.UpstreamID]*health.Detector{},
		baselines: map[fleet.UpstreamID]health.Baseline{},
		pools:     map[string]*pool{},
	}
}

// Observed reports a batch of attempts at upstreams of this VM.
type Observed struct{ Attempts []Attempt }

// Attempt is the result of one attempt, as evidence about its upstream.
type Attempt struct {
	Upstream fleet.UpstreamID
	Kind     string
	Result   health.Result
	Latency  time.Duration
	At       time.Time
}

// SummariesReceived delivers another node's summaries of its upstreams of a service. Reply is
// called with one baseline for each summary and must not block.
type SummariesReceived struct {
	Service   string
	Summaries []health.Summary
	Reply     func([]health.Baseline)
}

// BaselinesReceived delivers the aggregator's answer to SendSummaries.
type BaselinesReceived struct {
	Upstreams []fleet.UpstreamID
	Baselines []health.Baseline
}

func (Observed) isEvent()          {}
func (SummariesReceived) isEvent() {}
func (BaselinesReceived) isEvent() {}

// SendSummaries sends the summaries of a service's upstreams to the node that aggregates them.
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

// updateEvidence feeds attempts and baselines to the detectors and applies their verdicts.
func updateEvidence(s *State, e Event, now time.Time) {
	ev := &s.Evidence
	switch e := e.(type) {
	case Observed:
		for _, a := range e.Attempts {
			if d := s.detector(a.Upstream); d != nil {
				d.Observe(a.At, a.Kind, a.Result, a.Latency)
				s.observeTrial(a, now)
			}
		}
		s.updateVerdicts(now)
	case SummariesReceived:
		e.Reply(s.addToPool(e.Service, e.Summaries, now))
	case BaselinesReceived:
		for i, id := range e.Upstreams {
			if i < len(e.Baselines) {
				s.applyBaseline(id, e.Baselines[i])
			}
		}
		s.updateVerdicts(now)
	case Tick:
		if now.Before(ev.nextIntervalEnd) {
			return
		}
		ev.nextIntervalEnd = now.Add(health.Interval)
		s.dropUnusedEvidence(now)
		s.endInterval(now)
		s.updateVerdicts(now)
	}
}

func (s *State) applyBaseline(id fleet.UpstreamID, b health.Baseline) {
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

// dropUnusedEvidence removes the evidence of upstreams that are gone, and idle pools.
func (s *State) dropUnusedEvidence(now time.Time) {
	maps.DeleteFunc(s.Evidence.detectors, func(id fleet.UpstreamID, _ *health.Detector) bool {
		return s.Local[id] == nil
	})
	maps.DeleteFunc(s.Evidence.baselines, func(id fleet.UpstreamID, _ health.Baseline) bool {
		return s.Local[id] == nil
	})
	maps.DeleteFunc(s.Evidence.pools, func(_ string, p *pool) bool {
		return now.Sub(p.lastUsed) > poolIdleTimeout
	})
}

// endInterval ends the interval of each detector and sends the summaries of each service to
// its aggregator.
func (s *State) endInterval(now time.Time) {
	byService := map[string][]health.Summary{}
	for _, id := range slices.Sorted(maps.Keys(s.Evidence.detectors)) {
		service := s.Local[id].Service
		byService[service] = append(byService[service], s.Evidence.detectors[id].EndInterval())
	}
	for service, summaries := range byService {
		aggregator := s.aggregator(service)
		if aggregator.ID != s.Self.ID {
			s.RequestAction(SendSummaries{service, aggregator.LinkAddr, summaries})
			continue
		}
		for i, b := range s.addToPool(service, summaries, now) {
			s.applyBaseline(summaries[i].Upstream, b)
		}
	}
}

// aggregator returns the node that pools the summaries of a service: the one with the highest
// hash among the live nodes of this region that host upstreams of the service. Summaries do
// not cross regions because the links between them have little bandwidth. Each node derives
// the aggregator from membership, so no agreement is needed: while nodes disagree, each
// baseline is only based on fewer upstreams.
func (s *State) aggregator(service string) *fleet.Node {
	best, bestHash := &s.Self, hashPair(service, s.Self.ID)
	for id, n := range s.Nodes {
		if n.State != fleet.NodeAlive || n.Region != s.Self.Region || !hostsService(&n, service) {
			continue
		}
		if h := hashPair(service, id); h > bestHash {
			best, bestHash = &n, h
		}
	}
	return best
}

func hostsService(n *fleet.Node, service string) bool {
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

// addToPool adds summaries to the pool of a service and returns a baseline for
// each.
func (s *State) addToPool(service string, summaries []health.Summary, now time.Time) []health.Baseline {
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

// updateVerdicts reads the detectors' verdicts, and marks upstreams as suspect or clears them.
func (s *State) updateVerdicts(now time.Time) {
	for id, d := range s.Evidence.detectors {
		u := s.Local[id]
		if u == nil {
			continue
		}
		v := d.Verdict(now)
		u.Verdict = v
		if suspect := v.Level >= health.Suspect; suspect != u.Suspect {
			u.Suspect, u.suspectSince = suspect, now
			s.RequestAction(MarkSuspect{id, suspect})
		}
	}
}
