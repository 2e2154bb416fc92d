package controld

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// joinInterval is the time between join requests of a replica that is not a voter.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one join request, in which the leader adds the replica, waits until it has
	// caught up, and promotes it. It also bounds the removal of a silent voter.
	joinTimeout = 5 * time.Second
	// targetVoters is the number of voters of a self-repairing group. Five voters tolerate the loss
	// of two disks.
	targetVoters = 5
	// pruneInterval is the time between checks for voters to remove. pruneAfter is how long a voter
	// has to be silent before it is removed. A planned replacement adds the new voter first and the
	// old one then stops without asking to be removed, so the surplus voter has to be found here.
	pruneInterval = time.Second
	pruneAfter    = 10 * time.Second
)

// joinReply answers a join request.
type joinReply struct {
	// Done reports that the member is a voter now.
	Done bool `cbor:"1,keyasint"`
	// Leader is the link address of the leader, which is to be asked instead. It is empty if this
	// member leads or knows no leader.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Fault is the reason why the member was not added.
	Fault string `cbor:"3,keyasint,omitempty"`
}

// joiner asks the group to add this member while it is not a voter. While this member leads, it
// adds other members on request and removes surplus voters that are silent.
type joiner struct {
	*Group
	log *slog.Logger
	// candidateAddrs returns the link addresses of processes that may be members.
	candidateAddrs func() []string
}

// run sends join requests while this replica is not a voter, until ctx ends. An error is logged
// when it differs from the last one.
func (j *joiner) run(ctx context.Context) {
	lastLogged := ""
	for sleep(ctx, joinInterval) {
		r := j.replica.Load()
		if r == nil || r.Status().Membership.IsVoter(j.store.ID()) {
			continue
		}
		if err := j.requestJoin(ctx); err != nil && err.Error() != lastLogged {
			lastLogged = err.Error()
			j.log.Info("this replica could not join the group yet", "cause", lastLogged)
		}
	}
}

// requestJoin asks each candidate in turn, followed by any leader that a candidate names.
func (j *joiner) requestJoin(ctx context.Context) error {
	lastErr := errors.New("no other control process is known")
	addrs := j.candidateAddrs()
	for i := 0; i < len(addrs); i++ {
		if addrs[i] == j.self.linkAddr {
			continue
		}
		reply, err := j.requestJoinAt(ctx, addrs[i])
		switch {
		case err != nil:
			lastErr = err
		case reply.Done:
			j.log.Info("taken into the group", "replica", j.store.ID().String(), "by", addrs[i])
			return nil
		case reply.Leader != "" && !slices.Contains(addrs, reply.Leader):
			addrs = append(addrs, reply.Leader)
		case reply.Fault != "":
			lastErr = fmt.Errorf("%s: %s", addrs[i], reply.Fault)
		}
	}
	return lastErr
}

func (j *joiner) requestJoinAt(ctx context.Context, addr string) (joinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply joinReply
	self := control.Member{ID: j.self.id, LinkAddr: j.self.linkAddr, APIAddr: j.self.apiAddr, Voter: true}
	err := link.Call(ctx, j.dialer, addr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameControlJoin, self); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameControlJoin, &reply)
	})
	if err != nil {
		j.dialer.Replace(addr)
	}
	return reply, err
}

// handleJoin answers a join request. The peer may only request to join under its own name.
func (j *joiner) handleJoin(ctx context.Context, s link.Stream, first link.Frame) {
	var m control.Member
	if err := wire.Decode(first.Payload, &m); err != nil || s.PeerName() != m.ID {
		j.log.Warn("join refused", "peer", s.PeerName(), "member", m.ID, "fault", err)
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if wire.Write(s, wire.FrameControlJoin, j.admit(ctx, m)) != nil {
		s.Reset()
		return
	}
	s.Close()
}

func (j *joiner) admit(ctx context.Context, m control.Member) joinReply {
	r := j.replica.Load()
	if r == nil {
		return joinReply{Fault: "the group is not founded yet"}
	}
	if leader, addr, ok := r.Leader(); !ok {
		return joinReply{Fault: "no leader is known"}
	} else if leader != j.store.ID() {
		return joinReply{Leader: parseAddress(addr).linkAddr}
	}
	replaced := memberToReplace(m.ID, r.Status().Membership, r.Status().Heard, j.store.ID())
	j.log.Info("member joins", "member", m.ID, "replaces", replaced)
	if err := j.ReplaceMember(ctx, replaced, m); err != nil {
		j.log.Warn("member not added to the group", "member", m.ID, "fault", err)
		return joinReply{Fault: err.Error()}
	}
	return joinReply{Done: true}
}

// memberToReplace returns the id of the member that a joining member replaces: a silent voter if the
// group has targetVoters voters and the joining id is not a member, and the joining id itself
// otherwise.
func memberToReplace(id string, members consensus.Membership, heard map[consensus.ReplicaID]bool, self consensus.ReplicaID) string {
	voters, silent := 0, ""
	for _, m := range members {
		a := parseAddress(m.Addr)
		if a.id == id {
			return id
		}
		if !m.Voter {
			continue
		}
		voters++
		if m.ID != self && !heard[m.ID] {
			silent = a.id
		}
	}
	if voters >= targetVoters && silent != "" {
		return silent
	}
	return id
}

// prune removes voters beyond targetVoters that have been silent for pruneAfter, while this member
// leads.
func (j *joiner) prune(ctx context.Context) {
	silentSince := map[consensus.ReplicaID]time.Time{}
	for sleep(ctx, pruneInterval) {
		r := j.replica.Load()
		if r == nil {
			continue
		}
		if leader, _, ok := r.Leader(); !ok || leader != j.store.ID() {
			clear(silentSince)
			continue
		}
		id, ok := voterToPrune(silentSince, r.Status().Membership, r.Status().Heard, j.store.ID(), time.Now())
		if !ok {
			continue
		}
		removeCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := j.changeMembers(removeCtx, func(c *memberChange) error {
			return c.change(consensus.MemberChange{Kind: consensus.Remove, ID: id})
		})
		cancel()
		j.log.Info("removal of silent voter finished", "replica", id.String(), "fault", err)
	}
}

// voterToPrune updates silentSince, which holds since when each silent voter has not been heard. If
// the group has more than targetVoters voters, it returns the one that has been silent longest,
// provided that this is at least pruneAfter.
func voterToPrune(silentSince map[consensus.ReplicaID]time.Time, members consensus.Membership, heard map[consensus.ReplicaID]bool, self consensus.ReplicaID, now time.Time) (consensus.ReplicaID, bool) {
	voters := 0
	var longest consensus.ReplicaID
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if m.ID == self || heard[m.ID] {
			delete(silentSince, m.ID)
			continue
		}
		if silentSince[m.ID].IsZero() {
			silentSince[m.ID] = now
		}
		if now.Sub(silentSince[m.ID]) >= pruneAfter && (longest == 0 || silentSince[m.ID].Before(silentSince[longest])) {
			longest = m.ID
		}
	}
	return longest, voters > targetVoters && longest != 0
}
