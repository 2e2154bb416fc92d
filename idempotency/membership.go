package idempotency

import (
	"context"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/resource"
)

// advanceMembership starts the next membership change towards the configuration in a group that
// this node leads.
func (h *Host) advanceMembership(r *hostedReplica) {
	st := r.replica.Status()
	g := h.groups[r.name.group]
	if st.Role != consensus.Leader || r.changing || g == nil || g.Epoch != r.name.epoch {
		return
	}
	// A leader with an outdated configuration must not undo newer changes.
	actedOn := r.machine.generation.Load()
	if g.Generation < actedOn {
		return
	}
	change, ok := nextChange(st.Status, g)
	if !ok {
		return
	}
	r.changing = true
	h.tasks.Go(func() {
		err := h.changeMembership(r, change, g.Generation, actedOn)
		if err != nil {
			h.log.Warn("membership change failed", "group", r.name.group, "change", change.Kind.String(), "member", change.ID.String(), "error", err)
		} else {
			h.log.Info("membership changed", "group", r.name.group, "change", change.Kind.String(), "member", change.ID.String())
		}
		h.mu.Lock()
		r.changing = false
		h.mu.Unlock()
	})
}

func (h *Host) changeMembership(r *hostedReplica, change consensus.MemberChange, generation, actedOn uint64) error {
	ctx, cancel := context.WithTimeout(h.ctx, changeTimeout)
	defer cancel()
	if generation > actedOn {
		if _, err := r.replica.Propose(ctx, generationCommand(generation)); err != nil {
			return err
		}
	}
	return r.replica.ChangeMembership(ctx, change)
}

// nextChange returns the next change that leads from the membership of a group to the configured
// one. A dead member is removed first and its successor gets its vote at once, since a further loss
// would end the group. A running member is removed last, when its successor has caught up.
// consensus.TestSecondLossDuringReplacement measures both orders.
func nextChange(st consensus.Status, g *resource.Group) (consensus.MemberChange, bool) {
	wanted := map[consensus.ReplicaID]bool{}
	for _, m := range g.Members {
		wanted[consensus.ReplicaID(m.Replica)] = true
	}
	for _, m := range st.Membership {
		if !wanted[m.ID] && m.ID != st.ID && (!st.Heard[m.ID] || !m.Voter) {
			return consensus.MemberChange{Kind: consensus.Remove, ID: m.ID}, true
		}
	}
	for _, m := range g.Members {
		id := consensus.ReplicaID(m.Replica)
		current, ok := st.Membership.Find(id)
		switch {
		case !ok:
			return consensus.MemberChange{Kind: consensus.AddLearner, ID: id, Addr: m.Node}, true
		case current.Addr != m.Node:
			return consensus.MemberChange{Kind: consensus.SetAddr, ID: id, Addr: m.Node}, true
		}
	}
	allVote := true
	for _, m := range st.Membership {
		if !wanted[m.ID] || m.Voter {
			continue
		}
		if st.Heard[m.ID] {
			beforeCatchUp := st.Membership.VoterCount() < len(g.Members)
			return consensus.MemberChange{Kind: consensus.Promote, ID: m.ID, BeforeCatchUp: beforeCatchUp}, true
		}
		allVote = false
	}
	if !allVote {
		return consensus.MemberChange{}, false
	}
	return nextRemoval(st, wanted)
}

// nextRemoval returns the removal of a member that is no longer configured, the leader last.
func nextRemoval(st consensus.Status, wanted map[consensus.ReplicaID]bool) (consensus.MemberChange, bool) {
	for _, m := range st.Membership {
		if !wanted[m.ID] && m.ID != st.ID {
			return consensus.MemberChange{Kind: consensus.Remove, ID: m.ID}, true
		}
	}
	if !wanted[st.ID] {
		return consensus.MemberChange{Kind: consensus.Remove, ID: st.ID}, true
	}
	return consensus.MemberChange{}, false
}
