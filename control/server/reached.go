package server

import (
	"cmp"
	"slices"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// ReachedSource reports which version of the configuration is in force at each node.
type ReachedSource interface {
	// Reached returns one entry per node, without dead ones.
	Reached() []apiv1.ReachedState
}

// MemberSource adapts a function that returns the nodes in fleet membership to a ReachedSource.
type MemberSource func() []fleet.Node

// Reached implements ReachedSource.
func (s MemberSource) Reached() []apiv1.ReachedState {
	var out []apiv1.ReachedState
	for _, n := range s() {
		if n.State == fleet.NodeDead {
			continue
		}
		out = append(out, apiv1.ReachedState{
			Node: string(n.ID), Region: n.Region, FailureDomain: n.FailureDomain,
			State: n.State.String(), Version: n.Config,
		})
	}
	return out
}

// summarizeNodes counts the nodes at each version and lists those below v.
func summarizeNodes(source ReachedSource, v resource.Version) apiv1.Nodes {
	if source == nil {
		return apiv1.Nodes{}
	}
	states := source.Reached()
	slices.SortFunc(states, func(a, b apiv1.ReachedState) int {
		return cmp.Or(compareVersions(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	out := apiv1.Nodes{Known: true, Total: len(states)}
	for _, s := range states {
		n := len(out.ByVersion)
		if n == 0 || out.ByVersion[n-1].Version != s.Version {
			out.ByVersion = append(out.ByVersion, apiv1.NodesAt{Version: s.Version})
			n++
		}
		out.ByVersion[n-1].Nodes++
		switch {
		case !s.Version.Less(v):
			out.Reached++
		case len(out.Laggards) < apiv1.MaxLaggards:
			out.Laggards = append(out.Laggards, s)
		}
	}
	slices.Reverse(out.ByVersion)
	return out
}

func compareVersions(a, b resource.Version) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Revision, b.Revision))
}
