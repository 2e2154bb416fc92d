package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwithub/godwithub/ejection"
	"github.com/godwithub/godwithub/health"
	"github.com/godwithub/godwithub/resource"
)

const (
	// registrationInterval is the time between registrations of a service's upstreams with its
	// ledger, and registrationLease is how long a registration is valid. Changes are registered
	// at once, so the lease only matters for a VM that dies: until it expires, the ledger may
	// count capacity that is gone. Each registration is committed by five replicas. With 9,300
	// upstreams, an interval of 16 s makes about 600 registrations per second in the fleet; an
	// interval of 2 s would by itself use up the 10 KB/s that a node may spend on control traffic.
	registrationInterval = 16 * time.Second
	registrationLease    = 48 * time.Second
	// floorInterval is the time between two reports of an unchanged floor. It is
	// reported again because a report may be lost.
	floorInterval = 30 * time.Second
	// ejectRequestInterval is the time between two requests to eject the same upstream,
	// for instance after a denial.
	ejectRequestInterval = 2 * time.Second
	// ledgerStaleAfter is how long an ejection stays in force without confirmation by the
	// group. After that the upstream is only advertised as suspect: capacity may have fallen
	// meanwhile, and without the group nothing can return the upstream to service.
	ledgerStaleAfter = 30 * time.Second
)

// Ledgers holds what this node has sent to the ledgers of its services. A ledger belongs to a
// service's group, counts the service's capacity and permits ejections.
type Ledgers struct {
	services map[string]*ledger
}

// ledger records what was last sent to the ledger of one service.
type ledger struct {
	nextRegistration time.Time
	registered       []ejection.Registration
	sentFloorVersion resource.Version
	floorSentAt      time.Time
}

func newLedgers() Ledgers { return Ledgers{services: map[string]*ledger{}} }

// LedgerAnswered reports the result of a command to a service's ledger.
type LedgerAnswered struct {
	Service   string
	Operation ejection.Operation
	Result    ejection.Result
}

func (LedgerAnswered) isEvent() {}

// AskLedger sends a command to the ledger of its service, to be committed there.
type AskLedger struct{ Command ejection.Command }

func (AskLedger) isAction() {}

// ejected reports whether the upstream is ejected according to its last known ledger state.
func (u *LocalUpstream) ejected() bool { return u.Ledger.State == ejection.Ejected }

// ledgerStale reports whether the group's last confirmation is older than ledgerStaleAfter.
func (u *LocalUpstream) ledgerStale(now time.Time) bool {
	return now.Sub(u.ledgerConfirmedAt) > ledgerStaleAfter
}

// syncLedgers registers this VM's upstreams, requests the ejection of unhealthy ones
// and applies the states that the ledgers return.
func syncLedgers(s *State, e Event, now time.Time) {
	switch e := e.(type) {
	case Tick:
		if s.Config != nil {
			s.register(now)
			s.requestEjections(now)
		}
	case LedgerAnswered:
		if l := s.Ledgers.services[e.Service]; l != nil && e.Result.Floor == 0 {
			// A new ledger does not know the floor yet, so send it again.
			l.sentFloorVersion = resource.Version{}
		}
		for _, st := range e.Result.Upstreams {
			s.applyStatus(st, now)
		}
	}
}

// register sends each ledger its floor and the registrations of this VM's upstreams, at once
// when they have changed and otherwise before the lease expires.
func (s *State) register(now time.Time) {
	byService := map[string][]ejection.Registration{}
	for _, id := range slices.Sorted(maps.Keys(s.Local)) {
		u := s.Local[id]
		byService[u.Service] = append(byService[u.Service], registrationOf(u, now))
	}
	for service := range s.Ledgers.services {
		if byService[service] == nil {
			// The service has no upstream left on this VM: register an empty list.
			byService[service] = []ejection.Registration{}
		}
	}
	for service, list := range byService {
		c := s.Config.Services[service]
		if c == nil || c.Group == "" {
			continue
		}
		l := s.Ledgers.services[service]
		if l == nil {
			l = &ledger{}
			s.Ledgers.services[service] = l
		}
		s.sendFloor(l, c, now)
		if now.Before(l.nextRegistration) && slices.EqualFunc(l.registered, list, sameRegistration) {
			continue
		}
		l.nextRegistration, l.registered = now.Add(registrationInterval), list
		s.sendToLedger(ejection.Command{Operation: ejection.OpRegister, Service: service, Upstreams: list, LeaseMs: registrationLease.Milliseconds()}, now)
		if len(list) == 0 {
			delete(s.Ledgers.services, service)
		}
	}
}

func registrationOf(u *LocalUpstream, now time.Time) ejection.Registration {
	r := ejection.Registration{Upstream: u.ID, Draining: u.Draining}
	if left := u.FirstSeen.Add(u.WarmUp()).Sub(now); left > 0 {
		r.WarmInMs = left.Milliseconds()
	}
	return r
}

// sameRegistration reports whether a and b count the same in the ledger: the end of a cold
// start is a change, the passing of its remaining time is not.
func sameRegistration(a, b ejection.Registration) bool {
	return a.Upstream == b.Upstream && a.Draining == b.Draining && (a.WarmInMs > 0) == (b.WarmInMs > 0)
}

// sendFloor sends the service's floor to its ledger if it has changed or floorInterval has
// passed.
func (s *State) sendFloor(l *ledger, service *resource.Service, now time.Time) {
	v := resource.Version{Epoch: s.Config.Version.Epoch, Revision: service.Revision}
	if l.sentFloorVersion == v && now.Sub(l.floorSentAt) < floorInterval {
		return
	}
	l.sentFloorVersion, l.floorSentAt = v, now
	s.sendToLedger(ejection.Command{
		Operation: ejection.OpSetFloor, Service: service.Name, Floor: service.Floor,
		Epoch: v.Epoch, Revision: v.Revision,
	}, now)
}

// requestEjections asks the ledgers to eject the unhealthy upstreams of this VM.
func (s *State) requestEjections(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.Local)) {
		u := s.Local[id]
		if u.Verdict.Level < health.Unhealthy || u.Ledger.State != ejection.InService && u.Ledger.State != ejection.SlowStart {
			continue
		}
		if now.Sub(u.ejectRequestedAt) < ejectRequestInterval {
			continue
		}
		u.ejectRequestedAt = now
		s.sendToLedger(ejection.Command{Operation: ejection.OpEject, Service: u.Service, Upstream: id, Severity: u.Verdict.Severity}, now)
	}
}

func (s *State) sendToLedger(c ejection.Command, now time.Time) {
	c.Node = s.Self.ID
	c.At = now.UnixMilli()
	s.RequestAction(AskLedger{c})
}

// applyStatus records the state of an upstream in its ledger, and starts or ends its trial.
func (s *State) applyStatus(st ejection.Status, now time.Time) {
	u := s.Local[st.Upstream]
	if u == nil {
		return
	}
	old := u.Ledger
	u.Ledger, u.ledgerConfirmedAt = st, now
	if old.State == st.State && old.Ejections == st.Ejections {
		return
	}
	u.trial = nil
	if st.State == ejection.OnTrial {
		u.trial = &health.Trial{}
	}
	if d := s.Evidence.detectors[st.Upstream]; d != nil && old.State == ejection.Ejected {
		// Evidence from before the ejection does not describe the upstream as it is now.
		d.Reset()
	}
}

// observeTrial adds an attempt to the trial of its upstream, if one runs, and reports the
// result of the trial to the ledger once it is decided.
func (s *State) observeTrial(a Attempt, now time.Time) {
	u := s.Local[a.Upstream]
	if u.trial == nil {
		return
	}
	b := s.Evidence.baselines[a.Upstream]
	result := u.trial.Observe(b.Kind(a.Kind), a.Result, a.Latency)
	if result == health.TrialRunning {
		return
	}
	u.trial = nil
	s.sendToLedger(ejection.Command{
		Operation: ejection.OpTrial, Service: u.Service, Upstream: u.ID,
		Trial: u.Ledger.Ejections, Passed: result == health.TrialPassed,
		Severity: cmp.Or(u.Verdict.Severity, 1),
	}, now)
}
