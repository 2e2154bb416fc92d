package placement

import (
	"maps"
	"slices"

	"github.com/godwithub/godwithub/consensus/quorum"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

// Standing is what control knows of a group whose members have been replaced. The resource alone does not tell which of
// them vote: a member that was replaced may still do, and its successor may not hold anything yet.
type Standing struct {
	// Settled says that the members of the resource are the voters of the group, and that it has a leader.
	Settled bool
	// Lost says that no replica that may hold the group's state can get a quorum of the voters that it knows.
	Lost bool
	// Holders are the numbers of the replicas that hold some of the group's state, sorted. A group is lost for certain if
	// it was lost twice with the same ones: between two answers of one look, a membership may have changed and a replica ended.
	Holders []uint64
}

// Assess returns the standing of a group from the statuses of its nodes, by node ID. A node without a status may run its
// replica.
func Assess(g *resource.Group, statuses map[string]wire.GroupStatus) Standing {
	s := Standing{Lost: true}
	// holders are the replicas that hold some of the state. useless are those that cannot vote: they have lost their state,
	// or have not received any.
	holders, useless := map[uint64]wire.GroupStatus{}, map[uint64]bool{}
	for _, m := range slices.Concat(g.Members, g.Replaced) {
		switch status := statuses[m.Node]; {
		case !status.Known:
			s.Lost = false
		case status.Replica == m.Replica && len(status.Voters) > 0:
			holders[m.Replica] = status
		default:
			useless[m.Replica] = true
		}
	}
	members := slices.Sorted(slices.Values(replicaNumbers(g.Members)))
	for _, candidate := range holders {
		votes := 0
		for _, v := range candidate.Voters {
			if h, holds := holders[v]; !useless[v] && (!holds || h.MayVoteFor(candidate)) {
				votes++
			}
		}
		s.Lost = s.Lost && !quorum.Reached(votes, len(candidate.Voters))
		s.Settled = s.Settled || candidate.HasLeader && slices.Equal(slices.Sorted(slices.Values(candidate.Voters)), members)
	}
	s.Settled = s.Settled && !s.Lost
	s.Holders = slices.Sorted(maps.Keys(holders))
	return s
}
