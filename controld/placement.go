package controld

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/placement"
	"github.com/godwithub/godwithub/resource"
	"github.com/godwithub/godwithub/wire"
)

const (
	// placementInterval is the time between checks of the placement.
	placementInterval = time.Second
	// leaderSettleTime is how long a member must lead before it changes groups, so that it has learned
	// of all nodes through membership.
	leaderSettleTime = 3 * time.Second
	// placementTimeout bounds the writing of one plan.
	placementTimeout = 5 * time.Second
	// maxServicesPerWrite bounds the services that get a group at once.
	maxServicesPerWrite = 500
)

// placer assigns idempotency groups to nodes, and services to groups, while this member leads.
type placer struct {
	id         string
	machine    *control.Machine
	replicator control.Replicator
	nodes      func() []fleet.Node
	log        *slog.Logger
	// askStatus asks a node for its replica of a group.
	askStatus func(ctx context.Context, n *fleet.Node, q wire.GroupStatusRequest) (wire.GroupStatus, error)
	// settled holds the generations of groups whose members are known to be the voters, by name.
	settled map[string]uint64
	// lost holds what the last look knew of groups that seemed lost, by name.
	lost map[string]lostGroup
}

// lostGroup is a group that seemed lost in one look. It is lost if the next look finds the same.
type lostGroup struct {
	generation uint64
	holders    []uint64 // see placement.Standing
}

func (p *placer) run(ctx context.Context) {
	p.log = logging.Part(p.log, "placement")
	p.settled = map[string]uint64{}
	tick := time.NewTicker(placementInterval)
	defer tick.Stop()
	var leadsSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if id, _, ok := p.replicator.Leader(); !ok || id != p.id {
			leadsSince = time.Time{}
			continue
		}
		if leadsSince.IsZero() {
			leadsSince = time.Now()
		}
		if time.Since(leadsSince) < leaderSettleTime {
			continue
		}
		if err := p.placeOnce(ctx); err != nil && ctx.Err() == nil {
			p.log.Warn("placement of groups failed", "fault", err)
		}
	}
}

// placeOnce plans the groups for the current nodes and writes those that change. If none changes, it
// assigns services to groups. Each write names the revision that it replaces, so that two members
// that both believe they are the leader cannot undo each other's plans.
func (p *placer) placeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	if err := p.replicator.ReadBarrier(ctx); err != nil {
		return err
	}
	groups := map[string]*resource.Group{}
	for _, o := range p.machine.List(resource.TypeGroup, "", p.machine.Count(resource.TypeGroup)).Objects {
		g := o.(*resource.Group)
		groups[g.Name] = g
	}
	nodes := p.nodes()
	plan := placement.Plan(groups, nodes, p.standings(ctx, groups, nodes))
	if len(plan) == 0 {
		if len(groups) == 0 {
			return nil
		}
		return p.assignServices(ctx, groups)
	}
	objects := make([]resource.Object, len(plan))
	for i, g := range plan {
		objects[i] = g
		p.log.Info("group placed", "group", g.Name, "epoch", g.Epoch, "members", len(g.Members))
	}
	return p.write(ctx, objects)
}

// assignServices writes services without a group again, unchanged, because the state machine assigns
// a group on each write of a service. Services whose home region has no group are left until it has
// one.
func (p *placer) assignServices(ctx context.Context, groups map[string]*resource.Group) error {
	regions := map[string]bool{"": true}
	for _, g := range groups {
		regions[g.HomeRegion] = true
	}
	var objects []resource.Object
	for _, o := range p.machine.List(resource.TypeService, "", p.machine.Count(resource.TypeService)).Objects {
		s := o.(*resource.Service)
		if s.Group == "" && regions[s.HomeRegion] && len(objects) < maxServicesPerWrite {
			objects = append(objects, o)
		}
	}
	if len(objects) == 0 {
		return nil
	}
	return p.write(ctx, objects)
}

func (p *placer) write(ctx context.Context, objects []resource.Object) error {
	c := control.Command{Op: control.OpWrite, At: time.Now().Unix()}
	for _, o := range objects {
		body, err := cbor.Marshal(o)
		if err != nil {
			return fmt.Errorf("controld: %w", err)
		}
		c.Writes = append(c.Writes, control.Write{Key: resource.KeyOf(o), Revision: o.Metadata().Revision, Body: body})
	}
	command, err := c.Encode()
	if err != nil {
		return err
	}
	answer, err := p.replicator.Propose(ctx, command)
	if err != nil {
		return err
	}
	r, err := control.DecodeResult(answer)
	if err != nil {
		return err
	}
	if r.Code != control.CodeOK {
		return fmt.Errorf("controld: write refused: %s %s %v", r.Code, r.Message, r.Faults)
	}
	return nil
}
