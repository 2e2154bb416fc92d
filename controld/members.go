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

// memberChange is one change of members under way.
type memberChange struct {
	*Group
	replica *replica.Replica
	ctx     context.Context
}

// changeMembers runs one change at a time.
func (g *Group) changeMembers(ctx context.Context, run func(*memberChange) error) error {
	r := g.replica.Load()
	if r == nil {
		return control.ErrNotLeader
	}
	select {
	case g.changing <- struct{}{}:
		defer func() { <-g.changing }()
	case <-ctx.Done():
		return fmt.Errorf("controld: another change of members is under way: %w", ctx.Err())
	}
	// The membership that the change starts from must be the present one.
	if err := r.ReadBarrier(ctx); err != nil {
		return mapError(err)
	}
	return run(&memberChange{g, r, ctx})
}

// PutMember implements server.MemberChanger. If m has another disk than the
// present replica under its id, the new replica takes the place of that one.
func (g *Group) PutMember(ctx context.Context, m control.Member) error {
	return g.ReplaceMember(ctx, m.ID, m)
}

// ReplaceMember implements server.MemberChanger.
func (g *Group) ReplaceMember(ctx context.Context, id string, m control.Member) error {
	return g.changeMembers(ctx, func(c *memberChange) error { return c.put(id, m) })
}

// RemoveMember implements server.MemberChanger.
func (g *Group) RemoveMember(ctx context.Context, id string) error {
	return g.changeMembers(ctx, func(c *memberChange) error { return c.removeAll(id, 0) })
}

func (c *memberChange) put(replaced string, m control.Member) error {
	a := memberAddress(m)
	if a != parseAddress(a.String()) || hostIP(m.LinkAddr) == nil || hostIP(m.APIAddr) == nil {
		return fmt.Errorf("%w: %q is no member with addresses of the form IP:port", server.ErrMemberRefused, a)
	}
	info, err := c.ask(c.ctx, m.ID, m.LinkAddr)
	var wrong *wrongNameError
	switch {
	case errors.As(err, &wrong):
		return fmt.Errorf("%w: %w", server.ErrMemberRefused, err)
	case err != nil:
		return err
	}
	present, found := c.membership().Find(info.ID)
	switch {
	case found && present.Voter && !m.Voter:
		return fmt.Errorf("%w: a voter does not become a learner; remove it first", server.ErrMemberRefused)
	case !found && !info.Blank:
		// Its log may be that of another group, or of an earlier membership.
		return fmt.Errorf("%w: the data folder of %s is not blank", server.ErrMemberRefused, m.ID)
	}
	// The loss of a second voter is survived best if a dead replica is removed
	// before its successor comes, and if a running one stays until then; see
	// TestSecondLossDuringReplacement of package consensus.
	early := c.anyDead(replaced, info.ID)
	if early {
		if err := c.removeAll(replaced, info.ID); err != nil {
			return err
		}
	}
	if err := c.add(info.ID, a, m.Voter, early); err != nil {
		return err
	}
	if err := c.removeAll(m.ID, info.ID); err != nil {
		return err
	}
	return c.removeAll(replaced, info.ID)
}

func (c *memberChange) membership() consensus.Membership { return c.replica.Status().Membership }

// replicasOf returns the replicas under a node id, other than the given one.
func (c *memberChange) replicasOf(id string, other consensus.ReplicaID) []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, m := range c.membership() {
		if m.ID != other && parseAddress(m.Addr).id == id {
			out = append(out, m.ID)
		}
	}
	return out
}

// anyDead reports whether a replica under the id, other than the given one, has
// not been heard from within an election timeout.
func (c *memberChange) anyDead(id string, other consensus.ReplicaID) bool {
	heard := c.replica.Status().Heard
	return slices.ContainsFunc(c.replicasOf(id, other), func(r consensus.ReplicaID) bool {
		return r != c.store.ID() && !heard[r]
	})
}

// add adds a replica as a learner and, if it is to vote, promotes it. An early
// promotion does not wait until the learner has caught up.
func (c *memberChange) add(id consensus.ReplicaID, a address, voter, early bool) error {
	err := c.change(consensus.MemberChange{Kind: consensus.AddLearner, ID: id, Addr: a.String()})
	if err != nil {
		return err
	}
	if err := c.change(consensus.MemberChange{Kind: consensus.SetAddr, ID: id, Addr: a.String()}); err != nil || !voter {
		return err
	}
	return c.change(consensus.MemberChange{Kind: consensus.Promote, ID: id, Early: early})
}

// removeAll removes all replicas under a node id but one.
func (c *memberChange) removeAll(id string, but consensus.ReplicaID) error {
	for _, r := range c.replicasOf(id, but) {
		if err := c.change(consensus.MemberChange{Kind: consensus.Remove, ID: r}); err != nil {
			return err
		}
	}
	return nil
}

func (c *memberChange) change(change consensus.MemberChange) error {
	err := c.replica.Change(c.ctx, change)
	if errors.Is(err, consensus.ErrBadChange) {
		return fmt.Errorf("%w: %w", server.ErrMemberRefused, err)
	}
	if err != nil {
		return mapError(err)
	}
	c.log.Info("members changed", "change", change.Kind.String(), "replica", change.ID.String())
	return nil
}
