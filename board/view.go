package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// View is an immutable snapshot of the control state, for the request path.
type View struct {
	Self    fleet.Node
	Leaving bool
	// Config is nil until the node has a configuration.
	Config *resource.Config
	// Upstreams holds the usable upstreams of each service, by ID. Those of leaving nodes accept only
	// requests that end before the node stops.
	Upstreams map[string][]Upstream
	// Nodes holds the usable nodes other than Self, by ID.
	Nodes []fleet.Node
	// Replaced is closed once the board has published a later View. It is nil in a
	// View that was not published by a board.
	Replaced <-chan struct{}

	markReplaced func()
}

// withReplaced returns v with its Replaced channel, which markReplaced closes.
func withReplaced(v *View) *View {
	replaced := make(chan struct{})
	v.Replaced, v.markReplaced = replaced, func() { close(replaced) }
	return v
}

// Upstream is an upstream together with its location: the node of its VM and how to reach it.
type Upstream struct {
	fleet.Upstream
	Node          fleet.NodeID
	LinkAddr      string
	Region        string
	FailureDomain string
	// LeavingSince is when this node learned that the upstream's node is leaving. Zero: it is not.
	LeavingSince time.Time
}

// Node returns the usable node with the ID id. It does not find Self.
func (v *View) Node(id fleet.NodeID) (*fleet.Node, bool) {
	i, ok := slices.BinarySearchFunc(v.Nodes, id, func(n fleet.Node, id fleet.NodeID) int { return cmp.Compare(n.ID, id) })
	if !ok {
		return nil, false
	}
	return &v.Nodes[i], true
}

// Warming reports whether the upstream is in its cold start at now.
func (u *Upstream) Warming(now time.Time) bool { return now.Before(u.WarmUntil) }

// next returns the View of s that follows v. It returns v itself if nothing has changed, and
// shares with v the upstream lists of services that have not changed.
func (v *View) next(s *State) *View {
	if len(s.changed) == 0 && v.Config == s.Config && v.Leaving == s.Leaving {
		return v
	}
	n := &View{Self: s.Self, Leaving: s.Leaving, Config: s.Config, Upstreams: v.Upstreams, Nodes: v.Nodes}
	if len(s.changed) == 0 {
		return n
	}
	n.Upstreams = maps.Clone(v.Upstreams)
	if n.Upstreams == nil {
		n.Upstreams = map[string][]Upstream{}
	}
	for service := range s.changed {
		delete(n.Upstreams, service)
	}
	n.addNode(s, &s.Self)
	n.Nodes = make([]fleet.Node, 0, len(s.Nodes))
	for _, node := range s.Nodes {
		switch {
		case node.Usable():
			n.Nodes = append(n.Nodes, node)
			n.addNode(s, &node)
		case node.State == fleet.NodeLeaving:
			n.addNode(s, &node)
		}
	}
	slices.SortFunc(n.Nodes, func(a, b fleet.Node) int { return cmp.Compare(a.ID, b.ID) })
	for service := range s.changed {
		slices.SortFunc(n.Upstreams[service], func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return n
}

func (v *View) addNode(s *State, node *fleet.Node) {
	for _, u := range node.Upstreams {
		if !s.changed[u.Service] || u.State == fleet.UpstreamGone {
			continue
		}
		v.Upstreams[u.Service] = append(v.Upstreams[u.Service], Upstream{
			Upstream:      u,
			Node:          node.ID,
			LinkAddr:      node.LinkAddr,
			Region:        node.Region,
			FailureDomain: node.FailureDomain,
			LeavingSince:  s.LeavingSince[node.ID],
		})
	}
}
