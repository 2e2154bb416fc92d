package controld

import (
	"context"
	"fmt"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// leaveInterval is the time between requests to the leader to take the vote of a member that stops.
	leaveInterval = 100 * time.Millisecond
	// leaveTimeout bounds one such request, in which the leader commits the change.
	leaveTimeout = time.Second
)

// leaveReply answers a request to take the vote of a member that stops.
type leaveReply struct {
	// Done reports that the member has no vote, or that the group needs its vote.
	Done bool `cbor:"1,keyasint"`
	// Fault is the reason why the vote was not taken.
	Fault string `cbor:"2,keyasint,omitempty"`
}

// Leave implements Replication. A member of a self-repairing group that stops as planned gives its vote up if the
// group has more than targetVoters, since its successor votes already. Otherwise the vote would count until the
// leader has noticed the silence, and the group would tolerate one failure less meanwhile. The leader decides,
// since it knows the membership best; if this member knows of no surplus vote, it asks only once.
func (g *Group) Leave(ctx context.Context) {
	g.leaving.Store(true)
	r := g.replica.Load()
	if !g.selfRepair || r == nil {
		return
	}
	for {
		status := r.Status()
		if hasGivenUpVote(status.Status) {
			return
		}
		err := g.requestLeave(ctx, status.ID)
		if err == nil || !hasSurplusVote(status.Membership) {
			return
		}
		g.log.Debug("vote not given up yet", "cause", err)
		select {
		case <-r.Done():
			return
		case <-time.After(leaveInterval):
		case <-ctx.Done():
			g.log.Info("stopping with a vote that the group may not need", "cause", err)
			return
		}
	}
}

// requestLeave asks the leader to take the vote of this replica.
func (g *Group) requestLeave(ctx context.Context, id consensus.ReplicaID) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if _, leads := g.LeaderTerm(); leads {
		return g.takeSurplusVote(ctx, id)
	}
	addr, ok := g.LeaderLink()
	if !ok {
		return fmt.Errorf("controld: no leader is known")
	}
	var reply leaveReply
	err := link.Call(ctx, g.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameControlLeave, id); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameControlLeave, &reply)
	})
	switch {
	case err != nil:
		g.dialer.Replace(addr)
		return fmt.Errorf("controld: ask the leader: %w", err)
	case !reply.Done:
		return fmt.Errorf("controld: the leader did not take the vote: %s", reply.Fault)
	}
	return nil
}

// handleLeave answers a member that stops. A member may give up only its own vote.
func (g *Group) handleLeave(ctx context.Context, s link.Stream, first link.Frame) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var id consensus.ReplicaID
	if err := wire.Decode(first.Payload, &id); err != nil || !g.isReplicaOf(id, s.PeerName()) {
		g.log.Warn("request to give up a vote refused", "peer", s.PeerName(), "replica", id.String(), "fault", err)
		s.Reset()
		return
	}
	reply := leaveReply{Done: true}
	if err := g.takeSurplusVote(ctx, id); err != nil {
		reply = leaveReply{Fault: err.Error()}
	}
	if wire.Write(s, wire.FrameControlLeave, reply) != nil {
		s.Reset()
		return
	}
	s.Close()
}

// isReplicaOf reports whether a replica is not a member or has the given node id.
func (g *Group) isReplicaOf(id consensus.ReplicaID, node string) bool {
	r := g.replica.Load()
	if r == nil {
		return true
	}
	m, found := r.Status().Membership.Find(id)
	return !found || parseAddress(m.Addr).id == node
}

// takeSurplusVote turns a voter into a learner if the group has more than targetVoters. It fails unless this
// member leads.
func (g *Group) takeSurplusVote(ctx context.Context, id consensus.ReplicaID) error {
	return g.changeMembers(ctx, func(c *memberChange) error {
		if !mayGiveUpVote(c.membership(), id) {
			return nil
		}
		return c.change(consensus.MemberChange{Kind: consensus.Demote, ID: id})
	})
}
