package controld

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// foundInterval is the time between attempts to found the group.
	foundInterval = 250 * time.Millisecond
	// absenceTimeout is how long a founder has to be out of reach until a self-repairing group is founded
	// without it. It joins the group later, like any other member.
	absenceTimeout = 2 * time.Second
	// infoTimeout bounds one request for the memberInfo of another member.
	infoTimeout = 2 * time.Second
)

// memberInfo describes a replica of the control group to other members.
type memberInfo struct {
	ID consensus.ReplicaID `cbor:"1,keyasint"`
	// Blank reports that the replica's disk has never belonged to a group.
	Blank bool `cbor:"2,keyasint"`
	// InitialMembership is the initial membership of the group. It is empty if the replica does not
	// know it.
	InitialMembership consensus.Membership `cbor:"3,keyasint,omitempty"`
	// ConfiguredFounders are the node ids of the founders in the replica's settings.
	ConfiguredFounders []string `cbor:"4,keyasint,omitempty"`
	// Coordinator is the founder that is to found the group, according to this replica.
	Coordinator string `cbor:"5,keyasint,omitempty"`
	// Membership is the latest committed one that the replica knows. It is empty while the replica knows no leader.
	Membership consensus.Membership `cbor:"6,keyasint,omitempty"`
}

// handleInfo answers with the memberInfo of this replica.
func (g *Group) handleInfo(_ context.Context, s link.Stream, _ link.Frame) {
	if err := wire.Write(s, wire.FrameMemberInfo, g.info()); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

func (g *Group) info() memberInfo {
	v := g.view()
	return v.info()
}

// fetchMemberInfo returns the memberInfo of the replica at linkAddr. It fails with a wrongNameError
// if the process there is not certified as id, unless that is empty.
func (g *Group) fetchMemberInfo(ctx context.Context, id, linkAddr string) (memberInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	s, err := g.dialer.Open(ctx, linkAddr)
	if err != nil {
		return memberInfo{}, fmt.Errorf("controld: %s at %s cannot be reached: %w", id, linkAddr, err)
	}
	defer s.Reset()
	s.SetReadDeadline(time.Now().Add(infoTimeout))
	if name := s.PeerName(); id != "" && name != id {
		return memberInfo{}, &wrongNameError{id, name, linkAddr}
	}
	var info memberInfo
	if err := s.WriteFrame(wire.FrameMemberInfo, nil); err != nil {
		return info, fmt.Errorf("controld: ask %s: %w", id, err)
	}
	if err := wire.Read(s, wire.FrameMemberInfo, &info); err != nil {
		return info, fmt.Errorf("controld: ask %s: %w", id, err)
	}
	return info, nil
}

// wrongNameError reports that the process at an address has a certificate for another name than
// expected.
type wrongNameError struct{ want, got, addr string }

// Error implements error.
func (e *wrongNameError) Error() string {
	return fmt.Sprintf("controld: the certificate of the process at %s is for %q, not for %q", e.addr, e.got, e.want)
}

// found starts the replica of a blank disk once it is known whether the group exists. Each disk has
// a random replica id, so the founders have to learn each other's ids first. The coordinator sets the
// initial membership, and the others adopt it; see foundingView.plan. A founder that has lost its disk after
// that finds that the group exists without its new replica id, and waits to be added: it neither founds a
// second group nor takes part under its old id.
func (g *Group) found(ctx context.Context) {
	absentSince := time.Time{}
	for lastLogged := ""; ; {
		founders, exists, err := g.findFounders(ctx, &absentSince)
		if err == nil {
			if exists && founders == nil {
				g.log.Info("the group exists; this replica waits to be added", "replica", g.replicaID().String())
			}
			// The initial membership is not told to others before it is stored, so a founder whose
			// disk fails may try again.
			if err = g.start(founders); err == nil {
				return
			}
		}
		// An error is logged when it differs from the last one.
		if text := err.Error(); text != lastLogged {
			g.log.Info("the group is not founded yet", "cause", text)
			lastLogged = text
		}
		select {
		case <-time.After(foundInterval):
		case <-ctx.Done():
			return
		}
	}
}

// askFounders asks the other founders for their state, by node id.
func (g *Group) askFounders(ctx context.Context) map[string]founderState {
	var mu sync.Mutex
	var asking sync.WaitGroup
	states := map[string]founderState{}
	for _, f := range g.founders {
		if f.id == g.self.id {
			continue
		}
		asking.Go(func() {
			info, err := g.fetchMemberInfo(ctx, f.id, f.linkAddr)
			mu.Lock()
			defer mu.Unlock()
			states[f.id] = founderState{info, err}
		})
	}
	asking.Wait()
	return states
}

// findFounders asks the other founders for their state. It returns the initial membership to start
// the replica with, and whether the group exists. The membership is nil if the group exists and this
// replica is not in its initial membership. The error names what still prevents a decision.
// absentSince is since when founders have been out of reach; it is updated.
func (g *Group) findFounders(ctx context.Context, absentSince *time.Time) (founders consensus.Membership, exists bool, err error) {
	view := foundingView{self: g.self, selfID: g.replicaID(), founders: g.founders, others: g.askFounders(ctx)}
	if founders, exists = view.existing(); exists {
		return founders, true, nil
	}
	view.updateAbsence(absentSince, time.Now(), g.selfRepair)
	coordinator, members, err := view.plan()
	g.mu.Lock()
	g.coordinator = coordinator
	g.mu.Unlock()
	return members, false, err
}
