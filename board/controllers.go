package board

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/fleet"
)

// Controllers returns the controllers of a node in the order in which they run.
func Controllers() []Controller {
	return []Controller{updateConfig, updateNodes, updateLocalUpstreams, updateEvidence, syncLedgers, startLeaving, publishSelf}
}

// updateConfig applies a configuration that is newer than the current one.
func updateConfig(s *State, e Event, _ time.Time) {
	c, ok := e.(ConfigChanged)
	if !ok || s.Config != nil && !s.Config.Version.Less(c.Config.Version) {
		return
	}
	s.Config = c.Config
}

// updateNodes records the other nodes of the fleet and removes dead ones.
func updateNodes(s *State, e Event, now time.Time) {
	c, ok := e.(NodeChanged)
	if !ok || c.Node.ID == s.Self.ID || c.Node.Control {
		return
	}
	old := s.Nodes[c.Node.ID]
	s.markServicesChanged(old.Upstreams)
	s.markServicesChanged(c.Node.Upstreams)
	if len(old.Upstreams) == 0 && len(c.Node.Upstreams) == 0 {
		// A node without upstreams can still relay, so a new View must be published.
		s.MarkServiceChanged("")
	}
	s.recordLeaving(&c.Node, now)
	if c.Node.State == fleet.NodeDead {
		delete(s.Nodes, c.Node.ID)
		return
	}
	s.Nodes[c.Node.ID] = c.Node
}

// recordLeaving sets or deletes the time since which this node knows that n is leaving.
func (s *State) recordLeaving(n *fleet.Node, now time.Time) {
	if n.State != fleet.NodeLeaving {
		delete(s.LeavingSince, n.ID)
		return
	}
	if _, known := s.LeavingSince[n.ID]; !known {
		s.LeavingSince[n.ID] = now
	}
}

func (s *State) markServicesChanged(upstreams []fleet.Upstream) {
	for _, u := range upstreams {
		s.MarkServiceChanged(u.Service)
	}
}

// updateLocalUpstreams records the upstreams of this VM and removes those whose lease expires.
func updateLocalUpstreams(s *State, e Event, now time.Time) {
	switch e := e.(type) {
	case Announced:
		s.renewLease(e, now)
	case Withdrawn:
		// No DropUpstream: the dispatcher has already been told of the withdrawal, and may have
		// received the upstream's next announcement since.
		if u := s.Local[e.ID]; u != nil && (e.StartMs == 0 || e.StartMs == u.StartMs) {
			delete(s.Local, e.ID)
		}
	case FailingChanged:
		s.setFailing(e, now)
	case UpstreamLeaving:
		if u := s.Local[e.ID]; u != nil && u.StartMs == e.StartMs {
			u.leaving = true
		}
	case Tick:
		for id, u := range s.Local {
			if now.After(u.LeaseEnds) {
				delete(s.Local, id)
				s.RequestAction(DropUpstream{id})
			}
		}
	}
}

func (s *State) setFailing(e FailingChanged, now time.Time) {
	u := s.Local[e.ID]
	if u == nil || u.StartMs != e.StartMs {
		return
	}
	u.failingSince = time.Time{}
	if e.Failing {
		u.failingSince = now
	}
}

func (s *State) renewLease(e Announced, now time.Time) {
	a := e.Announcement
	u := s.Local[a.ID]
	if u == nil || u.Service != a.Service || u.Addr != a.Addr || u.StartMs != a.StartMs {
		u = &LocalUpstream{FirstSeen: now}
		s.Local[a.ID] = u
	}
	u.Announcement = a
	u.LeaseEnds = now.Add(a.Lease())
}

// startLeaving begins a planned stop.
func startLeaving(s *State, e Event, now time.Time) {
	switch e.(type) {
	case LeaveRequested:
		s.Leaving = true
		s.LeavingSince[s.Self.ID] = now
		s.markServicesChanged(s.Self.Upstreams)
	case UpstreamsClosed:
		s.Closed = true
	}
}

// publishSelf publishes this node's own entry to the fleet when it has changed.
func publishSelf(s *State, _ Event, now time.Time) {
	next := s.Self
	next.Upstreams = s.localUpstreams(now)
	if s.Leaving {
		next.State = fleet.NodeLeaving
	}
	if s.Closed {
		for i := range next.Upstreams {
			next.Upstreams[i].State = fleet.UpstreamDraining
		}
	}
	if s.Config != nil {
		next.ConfigVersion = s.Config.Version
	}
	if sameNode(&next, &s.Self) {
		return
	}
	s.markServicesChanged(s.Self.Upstreams)
	s.markServicesChanged(next.Upstreams)
	s.Self = next
	s.RequestAction(PublishSelf{next})
}

func (s *State) localUpstreams(now time.Time) []fleet.Upstream {
	list := make([]fleet.Upstream, 0, len(s.Local))
	for id, u := range s.Local {
		list = append(list, fleet.Upstream{
			ID:        id,
			Service:   u.Service,
			Slots:     u.Slots,
			State:     u.State(now),
			WarmUntil: u.WarmUntil(now),
			Suspect:   u.advertiseSuspect(now),
			Ejected:   u.ejected() && !u.ledgerStale(now),
			Trial:     u.Ledger.State == ejection.OnTrial,
		})
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func sameNode(a, b *fleet.Node) bool {
	return a.State == b.State && a.ConfigVersion == b.ConfigVersion && slices.Equal(a.Upstreams, b.Upstreams)
}
