package board

import (
	"time"

	"github.com/godwithub/godwithub/announce"
	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/resource"
)

// State is the control state of a node. Only the board's goroutine reads or writes it.
type State struct {
	// Self is the node as it announces itself to the fleet.
	Self fleet.Node
	// Leaving is set once a planned stop has begun.
	Leaving bool
	// Config is the configuration in force, or nil.
	Config *resource.Config
	// Closed is set when the upstreams of this VM accept no more requests, shortly before the end of a planned stop.
	Closed bool
	// Nodes holds the other nodes that membership reports, without dead ones and control VMs.
	Nodes map[fleet.NodeID]fleet.Node
	// LeavingSince is when this node learned that a node, which may be itself, is leaving.
	LeavingSince map[fleet.NodeID]time.Time
	// Local holds the upstreams of this VM.
	Local map[fleet.UpstreamID]*LocalUpstream
	// Evidence holds the health evidence about the upstreams of this VM.
	Evidence Evidence
	// Ledgers holds what was sent to the groups' ledgers.
	Ledgers Ledgers

	// changed collects the services whose upstreams changed since the last
	// publication.
	changed map[string]bool
	// actions collects the actions that controllers request while one event is handled.
	actions []Action
}

// LocalUpstream is an upstream of this VM.
type LocalUpstream struct {
	announce.Announcement
	FirstSeen time.Time
	LeaseEnds time.Time
	Suspect   bool
	// suspectSince is when Suspect last changed.
	suspectSince time.Time
	// failingSince is when its requests began to fail; zero if they do not.
	failingSince time.Time
	// leaving is set once it has said in an answer that it leaves.
	leaving bool
	// Verdict is the latest verdict of its detector.
	Verdict health.Verdict
	// Ledger is its state in the ledger of its service's group.
	Ledger ejection.Status
	// ledgerConfirmedAt is when Ledger was last confirmed.
	ledgerConfirmedAt time.Time
	// ejectRequestedAt is when its ejection was last requested.
	ejectRequestedAt time.Time
	trial            *health.Trial
}

// State returns the state that the node advertises for the upstream at now.
func (u *LocalUpstream) State(now time.Time) fleet.UpstreamState {
	switch {
	case u.Draining, u.leaving:
		return fleet.UpstreamDraining
	case now.Before(u.WarmUntil(now)):
		return fleet.UpstreamWarming
	default:
		return fleet.UpstreamReady
	}
}

// suspectAdvertiseDelay is how long an upstream must have been suspect before membership
// advertises it. Shorter suspicions are common among healthy upstreams, and with 9,300
// upstreams they would cause more membership traffic than everything else. The ingresses that
// send requests to the upstream learn of them from its answers.
const suspectAdvertiseDelay = 5 * time.Second

// failingAdvertiseDelay is how long an upstream must have been failing before membership
// advertises it as suspect. Its dispatcher declines requests for it meanwhile, and most
// failing phases end sooner.
const failingAdvertiseDelay = 10 * time.Second

// advertiseSuspect reports whether the node advertises the upstream as suspect, so that the
// fleet avoids it.
func (u *LocalUpstream) advertiseSuspect(now time.Time) bool {
	failing := !u.failingSince.IsZero() && now.Sub(u.failingSince) >= failingAdvertiseDelay
	return u.ejected() || failing || u.Suspect && now.Sub(u.suspectSince) >= suspectAdvertiseDelay
}

// WarmUntil returns the end of the upstream's cold start, or of its slow start after an
// ejection.
func (u *LocalUpstream) WarmUntil(now time.Time) time.Time {
	end := u.FirstSeen.Add(u.WarmUp())
	if u.Ledger.State == ejection.SlowStart {
		slow := u.ledgerConfirmedAt.Add(time.Duration(u.Ledger.RemainingMs) * time.Millisecond)
		if slow.After(now) && slow.After(end) {
			// Rounded, so that the advertised entry does not change with each confirmation.
			return slow.Round(time.Second)
		}
	}
	return end
}

// MarkServiceChanged records that the upstreams of a service have changed, so that the next View
// rebuilds its list.
func (s *State) MarkServiceChanged(service string) { s.changed[service] = true }

// RequestAction requests an action, which is performed once all controllers have handled the event.
func (s *State) RequestAction(a Action) { s.actions = append(s.actions, a) }

// Event is an input of the controllers, posted to the board.
type Event interface{ isEvent() }

// Events.
type (
	// Tick is generated every tickInterval.
	Tick struct{}
	// ConfigChanged delivers a configuration.
	ConfigChanged struct{ Config *resource.Config }
	// NodeChanged reports a change of a node in membership.
	NodeChanged struct{ Node fleet.Node }
	// Announced delivers an announcement of an upstream of this VM.
	Announced struct{ Announcement announce.Announcement }
	// Withdrawn reports that an upstream of this VM is gone. StartMs, here and below, is that of the
	// process of the upstream (see announce.Announcement): a report on an earlier one may come late.
	// 0 stands for any.
	Withdrawn struct {
		ID      fleet.UpstreamID
		StartMs int64
	}
	// FailingChanged reports that the requests of an upstream of this VM have begun to fail,
	// or no longer fail.
	FailingChanged struct {
		ID      fleet.UpstreamID
		StartMs int64
		Failing bool
	}
	// UpstreamLeaving reports that an upstream of this VM has said in an answer that it leaves.
	UpstreamLeaving struct {
		ID      fleet.UpstreamID
		StartMs int64
	}
	// LeaveRequested asks the node to begin a planned stop.
	LeaveRequested struct{}
	// UpstreamsClosed reports that the upstreams of this VM accept no more requests until the node has stopped.
	UpstreamsClosed struct{}
)

func (Tick) isEvent()            {}
func (ConfigChanged) isEvent()   {}
func (NodeChanged) isEvent()     {}
func (Announced) isEvent()       {}
func (Withdrawn) isEvent()       {}
func (FailingChanged) isEvent()  {}
func (UpstreamLeaving) isEvent() {}
func (LeaveRequested) isEvent()  {}
func (UpstreamsClosed) isEvent() {}

// Action is an effect outside the board that a controller requests.
type Action interface{ isAction() }

// Actions.
type (
	// PublishSelf publishes Node, this node's own entry, through membership.
	PublishSelf struct{ Node fleet.Node }
	// DropUpstream tells the dispatcher that an upstream's lease has expired.
	DropUpstream struct{ ID fleet.UpstreamID }
)

func (PublishSelf) isAction()  {}
func (DropUpstream) isAction() {}

// Controller handles an event by changing the state and requesting actions. It depends only on
// its arguments and has no other side effects than the Reply of SummariesReceived.
type Controller func(s *State, e Event, now time.Time)
