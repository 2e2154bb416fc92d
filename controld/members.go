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

// changeMembers calls run after the leadership was confirmed. Only one change runs at a time; others wait for it.
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
	if err := r.LeadershipBarrier(ctx); err != nil {
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
	return g.changeMembers(ctx, func(c *memberChange) error { return c.put(id, m, consensus.Remove) })
}

// RemoveMember implements server.MemberChanger.
func (g *Group) RemoveMember(ctx context.Context, id string) error {
	return g.changeMembers(ctx, func(c *memberChange) error { return c.removeReplicas(id, 0) })
}

// put adds the replica of m to the group, retires the replicas under the node id replaced, and removes
// older ones under its own node id.
func (c *memberChange) put(replaced string, m control.Member, retire consensus.ChangeKind) error {
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
	changes, err := planPut(c.replica.Status().Status, putRequest{replaced: replaced, retire: retire, member: m, info: info})
	if err != nil {
		return err
	}
	for _, change := range changes {
		if err := c.change(change); err != nil {
			return err
		}
	}
	return nil
}

func (c *memberChange) membership() consensus.Membership { return c.replica.Status().Membership }

// removeReplicas removes all replicas under a node id except one.
func (c *memberChange) removeReplicas(id string, except consensus.ReplicaID) error {
	for _, r := range replicasOf(c.membership(), id, except) {
		if err := c.change(consensus.MemberChange{Kind: consensus.Remove, ID: r}); err != nil {
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
