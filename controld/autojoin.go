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
	// joinInterval is the time between attempts of a replica that does not vote
	// to be taken into the group.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one attempt: the leader adds the replica, waits until
	// it has caught up, and promotes it.
	joinTimeout = 5 * time.Second
	// targetVoters is the size of a group that repairs itself. Five voters bear
	// the loss of two disks.
	targetVoters = 5
	// pruneInterval is the time between looks for voters to remove, and
	// pruneAfter how long one has to be silent. A planned replacement adds the
	// new voter first, and the old one then ends without a word.
	pruneInterval = time.Second
	pruneAfter    = 10 * time.Second
)

// joinReply answers a member that asks to be taken in.
type joinReply struct {
	// Done says that the member votes.
	Done bool `cbor:"1,keyasint"`
	// Leader is the link address of the member to ask instead, if it is known.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Fault says why the member was not taken in.
	Fault string `cbor:"3,keyasint,omitempty"`
}

// joiner takes this member into the group when its disk is blank, and members
// that ask for it while this one leads.
type joiner struct {
	*Group
	log *slog.Logger
	// candidates returns the link addresses of processes that may be members.
	candidates func() []string
}

// run asks to be taken in until ctx ends, whenever this replica has no vote.
func (j *joiner) run(ctx context.Context) {
	told := ""
	for sleep(ctx, joinInterval) {
		r := j.replica.Load()
		if r == nil || r.Status().Membership.Voter(j.store.ID()) {
			continue
		}
		if err := j.ask(ctx); err != nil && err.Error() != told {
			told = err.Error()
			j.log.Info("not taken into the group yet", "cause", told)
		}
	}
}

// ask asks each candidate in turn, and the leader that one names.
func (j *joiner) ask(ctx context.Context) error {
	last := errors.New("no other control process is known")
	addrs := j.candidates()
	for i := 0; i < len(addrs); i++ {
		if addrs[i] == j.self.linkAddr {
			continue
		}
		reply, err := j.askAt(ctx, addrs[i])
		switch {
		case err != nil:
			last = err
		case reply.Done:
			j.log.Info("taken into the group", "replica", j.store.ID().String(), "by", addrs[i])
			return nil
		case reply.Leader != "" && !slices.Contains(addrs, reply.Leader):
			addrs = append(addrs, reply.Leader)
		case reply.Fault != "":
			last = fmt.Errorf("%s: %s", addrs[i], reply.Fault)
		}
	}
	return last
}

func (j *joiner) askAt(ctx context.Context, addr string) (joinReply, error) {
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

// serve takes in a member that asks for it.
func (j *joiner) serve(ctx context.Context, s link.Stream, first link.Frame) {
	var m control.Member
	if err := wire.Decode(first.Payload, &m); err != nil || s.PeerName() != m.ID {
		j.log.Warn("join refused", "peer", s.PeerName(), "member", m.ID, "fault", err)
		s.Reset()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if wire.Write(s, wire.FrameControlJoin, j.take(ctx, m)) != nil {
		s.Reset()
		return
	}
	s.Close()
}

func (j *joiner) take(ctx context.Context, m control.Member) joinReply {
	r := j.replica.Load()
	if r == nil {
		return joinReply{Fault: "the group is not founded yet"}
	}
	if leader, addr, ok := r.Leader(); !ok {
		return joinReply{Fault: "no leader is known"}
	} else if leader != j.store.ID() {
		return joinReply{Leader: parseAddress(addr).linkAddr}
	}
	replaced := replacedBy(m.ID, r.Status().Membership, r.Status().Heard, j.store.ID())
	j.log.Info("member joins", "member", m.ID, "replaces", replaced)
	if err := j.ReplaceMember(ctx, replaced, m); err != nil {
		j.log.Warn("member was not taken in", "member", m.ID, "fault", err)
		return joinReply{Fault: err.Error()}
	}
	return joinReply{Done: true}
}

// replacedBy returns the id of the member whose place a newcomer takes: its
// own, or that of a silent voter once the group has its size.
func replacedBy(id string, members consensus.Membership, heard map[consensus.ReplicaID]bool, self consensus.ReplicaID) string {
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

// prune removes voters beyond the size of the group that have been silent for
// long, while this member leads.
func (j *joiner) prune(ctx context.Context) {
	since := map[consensus.ReplicaID]time.Time{}
	for sleep(ctx, pruneInterval) {
		r := j.replica.Load()
		if r == nil {
			continue
		}
		if leader, _, ok := r.Leader(); !ok || leader != j.store.ID() {
			clear(since)
			continue
		}
		id, ok := silentSince(since, r.Status().Membership, r.Status().Heard, j.store.ID(), time.Now())
		if !ok {
			continue
		}
		removing, cancel := context.WithTimeout(ctx, joinTimeout)
		err := j.changeMembers(removing, func(c *memberChange) error {
			return c.change(consensus.MemberChange{Kind: consensus.Remove, ID: id})
		})
		cancel()
		j.log.Info("silent voter removed", "replica", id.String(), "fault", err)
	}
}

// silentSince keeps account of when each voter was last heard, and returns one
// to remove, if the group has more voters than it needs.
func silentSince(since map[consensus.ReplicaID]time.Time, members consensus.Membership, heard map[consensus.ReplicaID]bool, self consensus.ReplicaID, now time.Time) (consensus.ReplicaID, bool) {
	voters := 0
	var longest consensus.ReplicaID
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if m.ID == self || heard[m.ID] {
			delete(since, m.ID)
			continue
		}
		if since[m.ID].IsZero() {
			since[m.ID] = now
		}
		if now.Sub(since[m.ID]) >= pruneAfter && (longest == 0 || since[m.ID].Before(since[longest])) {
			longest = m.ID
		}
	}
	return longest, voters > targetVoters && longest != 0
}
