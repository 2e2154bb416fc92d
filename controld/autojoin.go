package controld

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/consensus/replica"
	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// joinInterval is the time between join requests of a replica that is not a voter.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one join request, in which the leader adds the replica, waits until it has
	// caught up, and promotes it. It also bounds a change for a silent member.
	joinTimeout = 5 * time.Second
	// voterCheckInterval is the time between checks whether all voters have replied since a request to join.
	voterCheckInterval = 50 * time.Millisecond
	// silenceCheckInterval is the time between checks for silent members.
	silenceCheckInterval = 250 * time.Millisecond
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
	// Excluded is set if the member was not added because it holds a log, but is no member.
	Excluded *exclusion `cbor:"4,keyasint,omitempty"`
}

// joiner asks the group to add this member while it is not a voter. While this member leads, it
// adds other members on request and takes the votes of surplus voters that are silent.
type joiner struct {
	*Group
	log    *slog.Logger
	silent silentMembers
	// candidateAddrs returns the link addresses of processes that may be members.
	candidateAddrs func() []string
}

// run sends join requests while this replica is not a voter, or may no longer be one, until ctx ends. A replica that is a voter
// only in a founding of its own gives that up first, if the others have founded a group without it, and so does one that the
// leader has excluded. An error is logged when it differs from the last one.
func (j *joiner) run(ctx context.Context) {
	lastLogged, leaderAt := "", time.Now()
	for sleep(ctx, joinInterval) {
		r := j.replica.Load()
		if r == nil {
			continue
		}
		view := j.view()
		if view.status == nil || view.leaving {
			continue
		}
		status := *view.status
		if status.Leader != 0 {
			leaderAt = time.Now()
		}
		action := view.action()
		if action == actCompareFounding && j.othersHaveGroup(ctx, status) {
			j.discardReplica(ctx, r, "the others have founded a group without this replica")
			continue
		}
		if action != actRequestJoin && !j.mayBeExcluded(ctx, status, time.Since(leaderAt)) {
			continue
		}
		err := j.requestJoin(ctx, r)
		var excluded *excludedError
		if errors.As(err, &excluded) {
			j.discardReplica(ctx, r, err.Error())
			continue
		}
		if err != nil && err.Error() != lastLogged {
			lastLogged = err.Error()
			j.log.Info("this replica could not join the group yet", "cause", lastLogged)
		}
	}
}

// requestJoin asks each candidate in turn, followed by any leader that a candidate names.
// It returns an excludedError if this replica may give up its log.
func (j *joiner) requestJoin(ctx context.Context, r *replica.Replica) error {
	lastErr := errors.New("no other control process is known")
	leader, _ := j.LeaderLink()
	addrs := joinAddrs(leader, j.candidateAddrs())
	for i := 0; i < len(addrs); i++ {
		if addrs[i] == j.self.linkAddr {
			continue
		}
		reply, err := j.requestJoinAt(ctx, addrs[i])
		switch {
		case err != nil:
			lastErr = err
		case reply.Done:
			j.log.Info("taken into the group", "replica", j.replicaID().String(), "by", addrs[i])
			return nil
		case reply.Leader != "" && !slices.Contains(addrs, reply.Leader):
			addrs = append(addrs, reply.Leader)
		case reply.Excluded.appliesTo(r.Status().Status):
			return &excludedError{addrs[i]}
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
	status := r.Status()
	for asked := status.Now; ; status = r.Status() {
		if leads, reply := leadsJoin(status.Status, status.LeaderAddr); !leads {
			return reply
		}
		voter, undecided := undecidedVoter(status.Status, m.ID, asked)
		if !undecided {
			break
		}
		if !sleep(ctx, voterCheckInterval) {
			return joinReply{Fault: fmt.Sprintf("the leader does not know yet whether %s is lost", voter)}
		}
	}
	replaced := memberToReplace(m.ID, status.Membership, j.silent.update(status.Status, time.Now()))
	j.log.Info("member joins", "member", m.ID, "replaces", replaced)
	// The replaced voter may only be cut off, so it stays a member.
	err := j.changeMembers(ctx, func(c *memberChange) error { return c.put(replaced, m, consensus.Demote) })
	if err != nil {
		j.log.Warn("member not added to the group", "member", m.ID, "fault", err)
		reply := joinReply{Fault: err.Error()}
		var notBlank *notBlankError
		if errors.As(err, &notBlank) {
			reply.Excluded = notBlank.exclusion
		}
		return reply
	}
	return joinReply{Done: true}
}

// watchSilence changes the membership when members are silent, while this member leads.
func (j *joiner) watchSilence(ctx context.Context) {
	for sleep(ctx, silenceCheckInterval) {
		r := j.replica.Load()
		if r == nil {
			continue
		}
		if leader, _, ok := r.Leader(); !ok || leader != j.replicaID() {
			j.silent.clear()
			continue
		}
		status, now := r.Status(), time.Now()
		change, ok := changeForSilence(status.Membership, j.silent.update(status.Status, now), now)
		if !ok {
			continue
		}
		changeCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := j.changeMembers(changeCtx, func(c *memberChange) error { return c.change(change) })
		cancel()
		j.log.Info("change for a silent member finished", "change", change.Kind.String(), "replica", change.ID.String(), "fault", err)
	}
}
