package board

import (
	"time"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/resource"
)

// State is the control state of a node, in sections. Only the board's
// goroutine touches it.
type State struct {
	// Self is the node as it announces itself to the fleet.
	Self fleet.Node
	// Leaving is set by a planned stop.
	Leaving bool
	// Config is the configuration in force, or nil.
	Config *resource.Config
	// Nodes holds the other nodes that membership knows of.
	Nodes map[fleet.NodeID]fleet.Node
	// Local holds the upstreams of this VM.
	Local map[fleet.UpstreamID]*LocalUpstream
	// Evidence judges the upstreams of this VM.
	Evidence Evidence
	// Ledgers holds what is asked of the groups' ledgers.
	Ledgers Ledgers

	// changed collects the services whose upstreams changed since the last
	// publication.
	changed map[string]bool
	// actions collects what controllers ask for while one event is handled.
	actions []Action
}

// LocalUpstream is an upstream of this VM.
type LocalUpstream struct {
	announce.Announcement
	FirstSeen time.Time
	LeaseEnds time.Time
	Suspect   bool
	// suspectSince is when Suspect was last set.
	suspectSince time.Time
	// failingSince is when it began to fail its work; zero if it does not.
	failingSince time.Time
	// Verdict is the latest judgement of its work.
	Verdict health.Verdict
	// Ledger is its state in the ledger of its service's group.
	Ledger ejection.Status
	// ledgerAt is when Ledger was last confirmed.
	ledgerAt time.Time
	// askedAt is when its ejection was last asked for.
	askedAt time.Time
	trial   *health.Trial
}

// State returns what the fleet is told of the upstream at now.
func (u *LocalUpstream) State(now time.Time) fleet.UpstreamState {
	switch {
	case u.Draining:
		return fleet.UpstreamDraining
	case now.Before(u.WarmUntil(now)):
		return fleet.UpstreamWarming
	default:
		return fleet.UpstreamReady
	}
}

// suspectTold is how long a suspicion lasts before the fleet is told. Shorter
// ones are common among healthy upstreams, and at 9,300 upstreams they would
// take more of membership's traffic than all else; answers carry them to the
// ingresses that send work there.
const suspectTold = 5 * time.Second

// failingTold is how long an upstream has to fail its work before the fleet is
// told. Its dispatcher declines work meanwhile, and most failing phases end
// sooner.
const failingTold = 10 * time.Second

// tellSuspect reports whether the fleet is to avoid the upstream.
func (u *LocalUpstream) tellSuspect(now time.Time) bool {
	failing := !u.failingSince.IsZero() && now.Sub(u.failingSince) >= failingTold
	return u.ejected() || failing || u.Suspect && now.Sub(u.suspectSince) >= suspectTold
}

// WarmUntil returns the end of its cold start, or of its slow start after an
// ejection.
func (u *LocalUpstream) WarmUntil(now time.Time) time.Time {
	end := u.FirstSeen.Add(u.WarmUp())
	if u.Ledger.State == ejection.SlowStart {
		slow := u.ledgerAt.Add(time.Duration(u.Ledger.RemainingMs) * time.Millisecond)
		if slow.After(now) && slow.After(end) {
			// Rounded, so that each confirmation does not change the entry.
			return slow.Round(time.Second)
		}
	}
	return end
}

// TouchService marks a service's upstreams as changed.
func (s *State) TouchService(service string) { s.changed[service] = true }

// Do asks for an action once the event has been handled by all controllers.
func (s *State) Do(a Action) { s.actions = append(s.actions, a) }

// Event is something that happened, as posted to the board.
type Event interface{ isEvent() }

// Events.
type (
	// Tick comes at a regular interval.
	Tick struct{}
	// ConfigChanged brings a newer configuration.
	ConfigChanged struct{ Config *resource.Config }
	// NodeChanged brings news of another node.
	NodeChanged struct{ Node fleet.Node }
	// Announced brings an upstream's announcement.
	Announced struct{ Announcement announce.Announcement }
	// Withdrawn says that an upstream has gone.
	Withdrawn struct{ ID fleet.UpstreamID }
	// FailingChanged says that an upstream of this VM begins to fail its work, or
	// has recovered.
	FailingChanged struct {
		ID      fleet.UpstreamID
		Failing bool
	}
	// LeaveRequested begins a planned stop.
	LeaveRequested struct{}
)

func (Tick) isEvent()           {}
func (ConfigChanged) isEvent()  {}
func (NodeChanged) isEvent()    {}
func (Announced) isEvent()      {}
func (Withdrawn) isEvent()      {}
func (FailingChanged) isEvent() {}
func (LeaveRequested) isEvent() {}

// Action is something that a controller wants done outside the board.
type Action interface{ isAction() }

// Actions.
type (
	// PublishSelf gives Node to membership.
	PublishSelf struct{ Node fleet.Node }
	// DropUpstream tells the dispatcher that an upstream's lease has ended.
	DropUpstream struct{ ID fleet.UpstreamID }
)

func (PublishSelf) isAction()  {}
func (DropUpstream) isAction() {}

// Controller reacts to events by changing the state and asking for actions.
// It is a pure function of its arguments.
type Controller func(s *State, e Event, now time.Time)
