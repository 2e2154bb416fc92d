package controld

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/server"
)

var _ server.MemberChanger = (*Group)(nil)

// Members implements server.MemberChanger.
func (g *Group) Members() []control.Member {
	r := g.replica.Load()
	if r == nil {
		return nil
	}
	var out []control.Member
	for _, m := range r.Status().Membership {
		out = append(out, memberOf(m))
	}
	slices.SortFunc(out, func(a, b control.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// memberChange is one membership change in progress.
type memberChange struct {
	*Group
	replica *replica.Replica
	ctx     context.Context
}

// changeMembers calls run after a read barrier. Only one change runs at a time; others wait for it.
func (g *Group) changeMembers(ctx context.Context, run func(*memberChange) error) error {
	r := g.replica.Load()
	if r == nil {
		return control.ErrNotLeader
	}
	select {
	case g.changeSlot <- struct{}{}:
		defer func() { <-g.changeSlot }()
	case <-ctx.Done():
		return fmt.Errorf("controld: another change of members is under way: %w", ctx.Err())
	}
	// The change must be based on the latest membership.
	if err := r.ReadBarrier(ctx); err != nil {
		return mapError(err)
	}
	return run(&memberChange{g, r, ctx})
}

// PutMember implements server.MemberChanger. If the process of m has another disk than the replica
// that the group has under its node id, the new replica replaces that one.
func (g *Group) PutMember(ctx context.Context, m control.Member) error {
	return g.ReplaceMember(ctx, m.ID, m)
}

// ReplaceMember implements server.MemberChanger.
func (g *Group) ReplaceMember(ctx context.Context, id string, m control.Member) error {
	return g.changeMembers(ctx, func(c *memberChange) error { return c.put(id, m, c.removeReplicas) })
}

// RemoveMember implements server.MemberChanger.
func (g *Group) RemoveMember(ctx context.Context, id string) error {
	return g.changeMembers(ctx, func(c *memberChange) error { return c.removeReplicas(id, 0) })
}

// retireFunc takes the vote of all replicas under a node id except one.
type retireFunc func(id string, except consensus.ReplicaID) error

// put adds the replica of m to the group, retires the replicas under the node id replaced, and removes
// older ones under its own node id.
func (c *memberChange) put(replaced string, m control.Member, retire retireFunc) error {
	if replaced == m.ID {
		retire = c.removeReplicas
	}
	a := memberAddress(m)
	if a != parseAddress(a.String()) || hostIP(m.LinkAddr) == nil || hostIP(m.APIAddr) == nil {
		return fmt.Errorf("%w: %q is no member with addresses of the form IP:port", server.ErrMemberRefused, a)
	}
	info, err := c.fetchMemberInfo(c.ctx, m.ID, m.LinkAddr)
	var wrongName *wrongNameError
	switch {
	case errors.As(err, &wrongName):
		return fmt.Errorf("%w: %w", server.ErrMemberRefused, err)
	case err != nil:
		return err
	}
	status := c.replica.Status()
	existing, found := status.Membership.Find(info.ID)
	switch {
	case found && existing.Voter && !m.Voter:
		return fmt.Errorf("%w: a voter does not become a learner; remove it first", server.ErrMemberRefused)
	case !found && !info.Blank:
		// The disk may hold the log of another group, or of an earlier membership in this one.
		return &notBlankError{m.ID, exclusionOf(info.ID, status)}
	}
	// The group tolerates the loss of a second voter best if a dead replica is retired before its
	// replacement is added, and a running one only afterwards; see TestSecondLossDuringReplacement in
	// package consensus.
	beforeCatchUp := c.anySilent(replaced, info.ID)
	if beforeCatchUp {
		if err := retire(replaced, info.ID); err != nil {
			return err
		}
	}
	if err := c.add(info.ID, a, m.Voter, beforeCatchUp); err != nil {
		return err
	}
	if err := c.removeReplicas(m.ID, info.ID); err != nil {
		return err
	}
	return retire(replaced, info.ID)
}

func (c *memberChange) membership() consensus.Membership { return c.replica.Status().Membership }

// replicasOf returns the replicas under a node id, except other.
func (c *memberChange) replicasOf(id string, other consensus.ReplicaID) []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, m := range c.membership() {
		if m.ID != other && parseAddress(m.Addr).id == id {
			out = append(out, m.ID)
		}
	}
	return out
}

// anySilent reports whether a replica under a node id, except other and the local one, has not been
// heard from within an election timeout.
func (c *memberChange) anySilent(id string, other consensus.ReplicaID) bool {
	heard := c.replica.Status().Heard
	return slices.ContainsFunc(c.replicasOf(id, other), func(r consensus.ReplicaID) bool {
		return r != c.replicaID() && !heard[r]
	})
}

// add adds a replica as a learner, or updates its address, and promotes it if voter is set. If
// beforeCatchUp is set, the promotion does not wait until the learner has caught up.
func (c *memberChange) add(id consensus.ReplicaID, a address, voter, beforeCatchUp bool) error {
	err := c.change(consensus.MemberChange{Kind: consensus.AddLearner, ID: id, Addr: a.String()})
	if err != nil {
		return err
	}
	if err := c.change(consensus.MemberChange{Kind: consensus.SetAddr, ID: id, Addr: a.String()}); err != nil || !voter {
		return err
	}
	return c.change(consensus.MemberChange{Kind: consensus.Promote, ID: id, BeforeCatchUp: beforeCatchUp})
}

// removeReplicas removes all replicas under a node id except one.
func (c *memberChange) removeReplicas(id string, except consensus.ReplicaID) error {
	for _, r := range c.replicasOf(id, except) {
		if err := c.change(consensus.MemberChange{Kind: consensus.Remove, ID: r}); err != nil {
			return err
		}
	}
	return nil
}

// demoteReplicas turns all voters under a node id except one into learners. They get their votes back
// when they ask for them.
func (c *memberChange) demoteReplicas(id string, except consensus.ReplicaID) error {
	for _, r := range c.replicasOf(id, except) {
		if err := c.change(consensus.MemberChange{Kind: consensus.Demote, ID: r}); err != nil {
			return err
		}
	}
	return nil
}

func (c *memberChange) change(change consensus.MemberChange) error {
	err := c.replica.ChangeMembership(c.ctx, change)
	if errors.Is(err, consensus.ErrBadChange) {
		return fmt.Errorf("%w: %w", server.ErrMemberRefused, err)
	}
	if err != nil {
		return mapError(err)
	}
	c.log.Info("membership changed", "change", change.Kind.String(), "replica", change.ID.String())
	return nil
}
