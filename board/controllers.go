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
	return []Controller{followConfig, followNodes, keepLeases, weighEvidence, keepLedgers, leave, publishSelf}
}

// followConfig puts newer configurations in force.
func followConfig(s *State, e Event, _ time.Time) {
	c, ok := e.(ConfigChanged)
	if !ok || s.Config != nil && !s.Config.Version.Less(c.Config.Version) {
		return
	}
	s.Config = c.Config
}

// followNodes keeps the other nodes and forgets the dead.
func followNodes(s *State, e Event, _ time.Time) {
	c, ok := e.(NodeChanged)
	if !ok || c.Node.ID == s.Self.ID || c.Node.Control {
		return
	}
	old := s.Nodes[c.Node.ID]
	s.touchAll(old.Upstreams)
	s.touchAll(c.Node.Upstreams)
	if len(old.Upstreams) == 0 && len(c.Node.Upstreams) == 0 {
		// A node without upstreams can still relay, so the view must change.
		s.TouchService("")
	}
	if c.Node.State == fleet.NodeDead {
		delete(s.Nodes, c.Node.ID)
		return
	}
	s.Nodes[c.Node.ID] = c.Node
}

func (s *State) touchAll(upstreams []fleet.Upstream) {
	for _, u := range upstreams {
		s.TouchService(u.Service)
	}
}

// keepLeases keeps the upstreams of this VM as long as they renew.
func keepLeases(s *State, e Event, now time.Time) {
	switch e := e.(type) {
	case Announced:
		s.renew(e, now)
	case Withdrawn:
		// The dispatcher has been told, and may have had the next announcement.
		delete(s.Local, e.ID)
	case FailingChanged:
		s.noteFailing(e, now)
	case Tick:
		for id, u := range s.Local {
			if now.After(u.LeaseEnds) {
				delete(s.Local, id)
				s.Do(DropUpstream{id})
			}
		}
	}
}

func (s *State) noteFailing(e FailingChanged, now time.Time) {
	u := s.Local[e.ID]
	if u == nil {
		return
	}
	u.failingSince = time.Time{}
	if e.Failing {
		u.failingSince = now
	}
}

func (s *State) renew(e Announced, now time.Time) {
	a := e.Announcement
	u := s.Local[a.ID]
	if u == nil || u.Service != a.Service || u.Addr != a.Addr {
		u = &LocalUpstream{FirstSeen: now}
		s.Local[a.ID] = u
	}
	u.Announcement = a
	u.LeaseEnds = now.Add(a.Lease())
}

// leave begins a planned stop.
func leave(s *State, e Event, _ time.Time) {
	if _, ok := e.(LeaveRequested); ok {
		s.Leaving = true
	}
}

// publishSelf tells the fleet when this node's own entry has changed.
func publishSelf(s *State, _ Event, now time.Time) {
	next := s.Self
	next.Upstreams = s.localUpstreams(now)
	if s.Leaving {
		next.State = fleet.NodeLeaving
	}
	if s.Config != nil {
		next.Config = s.Config.Version
	}
	if sameNode(&next, &s.Self) {
		return
	}
	s.touchAll(s.Self.Upstreams)
	s.touchAll(next.Upstreams)
	s.Self = next
	s.Do(PublishSelf{next})
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
			Suspect:   u.tellSuspect(now),
			Ejected:   u.ejected() && !u.ledgerSilent(now),
			Trial:     u.Ledger.State == ejection.OnTrial,
		})
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func sameNode(a, b *fleet.Node) bool {
	return a.State == b.State && a.Config == b.Config && slices.Equal(a.Upstreams, b.Upstreams)
}
