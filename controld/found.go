package controld

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

const (
	// foundInterval is the time between attempts to found the group.
	foundInterval = 250 * time.Millisecond
	// infoTimeout bounds the question for a replica's identity.
	infoTimeout = 2 * time.Second
)

// memberInfo is the identity of a control replica.
type memberInfo struct {
	ID consensus.ReplicaID `cbor:"1,keyasint"`
	// Blank says that the replica's disk has never belonged to a group.
	Blank bool `cbor:"2,keyasint"`
	// Founders is the membership that the group began with, for as long as it
	// is known.
	Founders consensus.Membership `cbor:"3,keyasint,omitempty"`
	// Wanted are the node ids of the founders that a blank replica was told.
	Wanted []string `cbor:"4,keyasint,omitempty"`
}

// handleInfo answers a question for this replica's identity.
func (g *Group) handleInfo(_ context.Context, s link.Stream, _ link.Frame) {
	if err := wire.Write(s, wire.FrameMemberInfo, g.info()); err != nil {
		s.Reset()
		return
	}
	s.Close()
}

func (g *Group) info() memberInfo {
	g.mu.Lock()
	defer g.mu.Unlock()
	info := memberInfo{ID: g.store.ID(), Blank: g.blank, Founders: g.founded}
	if r := g.replica.Load(); r != nil && r.Status().Last > 0 {
		info.Blank = false
	}
	for _, f := range g.founders {
		info.Wanted = append(info.Wanted, f.id)
	}
	return info
}

// ask returns the identity of the replica at linkAddr, if that is a control
// process called id.
func (g *Group) ask(ctx context.Context, id, linkAddr string) (memberInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	s, err := g.dialer.Open(ctx, linkAddr)
	if err != nil {
		return memberInfo{}, fmt.Errorf("controld: %s at %s cannot be reached: %w", id, linkAddr, err)
	}
	defer s.Reset()
	s.SetReadDeadline(time.Now().Add(infoTimeout))
	if name := s.PeerName(); name != id {
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

// wrongNameError says that another process than expected has an address.
type wrongNameError struct{ want, got, addr string }

// Error implements error.
func (e *wrongNameError) Error() string {
	return fmt.Sprintf("controld: the certificate of the process at %s is for %q, not for %q", e.addr, e.got, e.want)
}

// found starts the replica of a blank disk once it is known whether the group
// exists. Each disk has a random id, so the founders have to learn each other's
// ids first. The founder with the least node id decides on the membership once
// all are there and blank, and the others take it over. A founder that has lost
// its disk finds a group that it is no member of, and waits to be added: it
// neither founds a second group nor takes part under its old identity.
func (g *Group) found(ctx context.Context) {
	for told := ""; ; {
		founders, exists, err := g.findFounders(ctx)
		if err == nil {
			if exists && founders == nil {
				g.log.Info("the group exists; this replica waits to be added", "replica", g.store.ID().String())
			}
			if err = g.start(founders); err == nil {
				return
			}
			g.log.Error("replica does not start", "error", err)
			g.fail()
			return
		}
		// The same obstacle is logged once.
		if text := err.Error(); text != told {
			g.log.Info("the group is not founded yet", "cause", text)
			told = text
		}
		select {
		case <-time.After(foundInterval):
		case <-ctx.Done():
			return
		}
	}
}

// findFounders returns the membership to start with. It is nil if the group
// exists and this replica was not a founder.
func (g *Group) findFounders(ctx context.Context) (founders consensus.Membership, exists bool, err error) {
	all := consensus.Membership{{ID: g.store.ID(), Addr: g.self.String(), Voter: true}}
	var obstacle error
	for _, f := range g.founders {
		if f.id == g.self.id {
			continue
		}
		info, err := g.ask(ctx, f.id, f.linkAddr)
		switch {
		case err != nil:
			obstacle = err
			continue
		case !info.Blank && info.Founders.Voter(g.store.ID()):
			return info.Founders, true, nil
		case !info.Blank:
			return nil, true, nil
		case !g.sameFounders(info.Wanted):
			obstacle = fmt.Errorf("controld: %s was given other founders: %q", f.id, info.Wanted)
			continue
		}
		all = append(all, consensus.Member{ID: info.ID, Addr: f.String(), Voter: true})
	}
	first := slices.MinFunc(g.founders, func(a, b address) int { return cmp.Compare(a.id, b.id) })
	switch {
	case obstacle != nil:
		return nil, false, obstacle
	case first.id != g.self.id:
		return nil, false, fmt.Errorf("controld: %s has not founded the group", first.id)
	}
	slices.SortFunc(all, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all, false, nil
}

func (g *Group) sameFounders(ids []string) bool {
	own := make([]string, len(g.founders))
	for i, f := range g.founders {
		own[i] = f.id
	}
	slices.Sort(own)
	return slices.Equal(own, slices.Sorted(slices.Values(ids)))
}
