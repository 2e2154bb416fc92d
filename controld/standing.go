package controld

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/placement"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	// statusTimeout bounds the questions to nodes of one look at the placement.
	statusTimeout = 500 * time.Millisecond
	// maxStatusCalls bounds the questions that are asked at the same time.
	maxStatusCalls = 32
)

// standings returns what the nodes say of the groups whose members have been replaced, unless they are known to be settled.
func (p *placer) standings(ctx context.Context, groups map[string]*resource.Group, nodes []fleet.Node) map[string]placement.Standing {
	var unsettled []*resource.Group
	out := map[string]placement.Standing{}
	for name, g := range groups {
		switch generation, settled := p.settled[name]; {
		case len(g.Replaced) == 0:
		case settled && generation == g.Generation:
			out[name] = placement.Standing{Settled: true}
		default:
			unsettled = append(unsettled, g)
		}
	}
	statuses := p.askStatuses(ctx, unsettled, nodes)
	lost := map[string]lostGroup{}
	for _, g := range unsettled {
		s := placement.Assess(g, statuses[g.Name])
		if s.Settled {
			p.settled[g.Name] = g.Generation
		}
		if s.Lost {
			lost[g.Name] = lostGroup{g.Generation, s.Holders}
			before, seen := p.lost[g.Name]
			s.Lost = seen && before.generation == g.Generation && slices.Equal(before.holders, s.Holders)
		}
		out[g.Name] = s
	}
	p.lost = lost
	return out
}

// askStatuses asks the nodes of the groups for their replicas. It returns the answers by the names of group and node.
func (p *placer) askStatuses(ctx context.Context, groups []*resource.Group, nodes []fleet.Node) map[string]map[string]wire.GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	byID := make(map[string]*fleet.Node, len(nodes))
	for i := range nodes {
		byID[string(nodes[i].ID)] = &nodes[i]
	}
	var mu sync.Mutex
	var asking sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	out := make(map[string]map[string]wire.GroupStatus, len(groups))
	for _, g := range groups {
		answers := map[string]wire.GroupStatus{}
		out[g.Name] = answers
		asked := map[string]bool{}
		for _, m := range slices.Concat(g.Members, g.Replaced) {
			n := byID[m.Node]
			if n == nil || asked[m.Node] {
				continue
			}
			asked[m.Node] = true
			asking.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				status, err := p.askStatus(ctx, n, wire.GroupStatusRequest{Group: g.Name, Epoch: g.Epoch, Generation: g.Generation})
				if err != nil {
					p.log.Debug("a node did not report its replica", "node", n.ID, "group", g.Name, "cause", err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answers[m.Node] = status
			})
		}
	}
	asking.Wait()
	return out
}

// askStatus asks a node for its replica of a group.
func (f *Fleet) askStatus(ctx context.Context, n *fleet.Node, q wire.GroupStatusRequest) (status wire.GroupStatus, err error) {
	err = link.Call(ctx, f.dialer, n.LinkAddr, func(s link.Stream) error {
		if err := wire.Write(s, wire.FrameGroupStatus, q); err != nil {
			return err
		}
		return wire.Read(s, wire.FrameGroupStatus, &status)
	})
	if err != nil {
		f.dialer.Replace(n.LinkAddr)
	}
	return status, err
}
