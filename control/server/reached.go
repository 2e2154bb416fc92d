package server

import (
	"cmp"
	"slices"

	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/resource"
)

// NodeVersionSource reports which version of the configuration is in force at each node.
type NodeVersionSource interface {
	// VersionsInForce returns one entry per node, without dead ones.
	VersionsInForce() []apiv1.NodeVersion
}

// FleetSource adapts a function that returns the nodes in fleet membership to a NodeVersionSource.
type FleetSource func() []fleet.Node

// VersionsInForce implements NodeVersionSource.
func (s FleetSource) VersionsInForce() []apiv1.NodeVersion {
	var out []apiv1.NodeVersion
	for _, n := range s() {
		if n.State == fleet.NodeDead {
			continue
		}
		out = append(out, apiv1.NodeVersion{
			Node: string(n.ID), Region: n.Region, FailureDomain: n.FailureDomain,
			State: n.State.String(), Version: n.ConfigVersion,
		})
	}
	return out
}

// summarizeNodes counts the nodes at each version and lists those below v.
func summarizeNodes(source NodeVersionSource, v resource.Version) apiv1.NodeVersions {
	if source == nil {
		return apiv1.NodeVersions{}
	}
	states := source.VersionsInForce()
	slices.SortFunc(states, func(a, b apiv1.NodeVersion) int {
		return cmp.Or(compareVersions(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	out := apiv1.NodeVersions{Known: true, Total: len(states)}
	for _, s := range states {
		n := len(out.ByVersion)
		if n == 0 || out.ByVersion[n-1].Version != s.Version {
			out.ByVersion = append(out.ByVersion, apiv1.VersionCount{Version: s.Version})
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
